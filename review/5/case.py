"""A failed run on a machine that was cut off is not counted, so a task starts too often."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
import proxy  # noqa: E402
import site_stub as stub  # noqa: E402

ZONES = ["rw-central-a", "rw-central-b", "rw-central-c", "rw-central-d"]
CAPACITY = {"cpu": 32_000, "mem_mb": 65_536, "gpu": 0}
MAX_ATTEMPTS = 4
TASKS, JOB_MS, CPU = 2, 200, 1500
# Jobs that can never be done, one in twenty; the others need not be kept.
HOPELESS, SOUND, SOUND_PER_S = 16, 320, 80
CUT_AFTER_S, CUT_S = 0.1, 5.5
AGENTS = [f"side-{letter}-1" for letter in "abcd"]


def agent_of(first_bytes):
    """Names the agent that opened a connection: its first frame holds its name."""
    for name in AGENTS:
        if name.encode() in first_bytes:
            return name
    return ""


async def play():
    # Seeds would name the entries' own addresses, beside those of the proxies.
    site = stub.Site(FOLDER, stub.IAIA_BOUNDS, ZONES, seeds=0)
    proxies = []
    try:
        for zone, name in zip(ZONES, AGENTS):
            # The links between the machines go through a proxy, which `--advertise` names.
            flag = f"--advertise={site.network}.1.{len(site.entries) + 1}:{stub.PROXY}"
            entry = site.add_entry(zone, [flag])
            proxies.append(proxy.Proxy((entry.ip, stub.LINK), agent_of))
            await proxies[-1].start(entry.ip, stub.PROXY)
            site.add_worker(zone, CAPACITY, ["a", "r1-1"], name)
        await site.start(stub.configuration(MAX_ATTEMPTS))
        return await case(site, proxies)
    finally:
        for each in proxies:
            each.stop()
        site.stop()


async def case(site, proxies):
    sound = asyncio.create_task(offer_sound(site))
    await asyncio.sleep(SOUND / SOUND_PER_S / 2)
    submissions = [asyncio.create_task(submit(site, fails=True)) for _ in range(HOPELESS)]
    accepted = [job for job, status in await asyncio.gather(*submissions) if status == 200]
    await asyncio.sleep(CUT_AFTER_S)
    if stub.trouble_wanted():
        cut_off = max(site.workers, key=hopeless_runs)
        site.record.write("cut", machine=cut_off.name, runs=len(cut_off.runs))
        for each in proxies:
            each.cut(cut_off.name)
        await asyncio.sleep(CUT_S)
        for each in proxies:
            each.heal(cut_off.name)
        site.record.write("healed", machine=cut_off.name)
    await asyncio.sleep(15)
    await sound
    states = [await site.state(job) for job in accepted]
    if len(accepted) < HOPELESS or set(states) != {"failed"}:
        raise stub.CannotRun(f"{len(accepted)} jobs accepted, states {states}")
    broken = []
    for job in accepted:
        for task in stub.task_names(job, [TASKS]):
            if (late := starts_beyond_budget(site, task)):
                broken.append(task)
                site.record.write("budget", task=task, starts=json.dumps(late))
    return not broken, (f"{len(broken)} of {HOPELESS * TASKS} tasks of hopeless jobs were started after {MAX_ATTEMPTS} "
                        "runs of them had ended as failed, all of which were taken note of")


def starts_beyond_budget(site, task):
    """Returns the run numbers of the starts after `max_attempts` runs had ended as failed. Ends
    that were not taken note of, or only after the worker's lease had lapsed, don't count."""
    failed = [at for at, _, _, how, end in site.record.ends.get(task, [])
              if how == "failed" and end.noted_at is not None and not end.lapsed]
    return [number for at, _, number, _ in site.record.starts.get(task, [])
            if sum(ended < at for ended in failed) >= MAX_ATTEMPTS]


def hopeless_runs(worker):
    return sum(run.fails for run in worker.runs.values())


async def offer_sound(site):
    sent = []
    for _ in range(SOUND):
        sent.append(asyncio.create_task(submit(site, fails=False)))
        await asyncio.sleep(1 / SOUND_PER_S)
    await asyncio.gather(*sent)


async def submit(site, fails):
    job = site.new_job_id()
    body = stub.job([stub.step(TASKS, CPU, JOB_MS)], [JOB_MS], CPU, not fails, fails=fails)
    if fails:
        return job, await site.submit(job, body)
    return job, await site.submit(job, body, tries=1, deadline_ms=1500)


sys.exit(stub.play(play, FOLDER))
