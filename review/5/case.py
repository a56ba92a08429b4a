"""A new owner of a job doesn't count all failed runs, so a task is started too often."""

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
# Jobs that can never be done, one in twenty; the others are sound. All are kept.
HOPELESS, SOUND, SOUND_PER_S = 16, 320, 80
CUT_AFTER_S, CUT_S = 0.05, 5.5


async def play():
    site = stub.Site(FOLDER, stub.IAIA_BOUNDS, ZONES)
    paths = []
    try:
        for zone in ZONES:
            entry = site.add_entry(zone)
            paths.append(proxy.Proxy((site.store_ip, stub.STORE)))
            await paths[-1].start(entry.ip, stub.STORE)
            entry.change_settings(platform={"address": f"{entry.ip}:{stub.STORE}"})
            site.add_worker(zone, CAPACITY, ["a", "r1-1"])
        await site.start(stub.configuration(MAX_ATTEMPTS))
        return await case(site, paths[0])
    finally:
        for path in paths:
            path.stop()
        site.stop()


async def case(site, path):
    sound = asyncio.create_task(offer_sound(site))
    await asyncio.sleep(SOUND / SOUND_PER_S / 2)
    submissions = [asyncio.create_task(submit(site, fails=True)) for _ in range(HOPELESS)]
    accepted = [job for job, status in await asyncio.gather(*submissions) if status == 200]
    await asyncio.sleep(CUT_AFTER_S)
    if stub.trouble_wanted():
        site.record.write("cut_from_store", entry=site.entries[0].name)
        path.cut()
        await asyncio.sleep(CUT_S)
        path.heal()
        site.record.write("healed", entry=site.entries[0].name)
    await sound
    await asyncio.sleep(site.bounds["finish_s"])
    states = [await site.state(job) for job in accepted]
    if len(accepted) < HOPELESS or set(states) != {"failed"}:
        raise stub.CannotRun(f"{len(accepted)} jobs accepted, states {states}")
    broken = []
    for job in accepted:
        for task in stub.task_names(job, [TASKS]):
            if (late := starts_beyond_budget(site, task)):
                broken.append(task)
                site.record.write("budget", task=task, starts=json.dumps(late))
    return not broken, (f"{len(broken)} of {HOPELESS * TASKS} tasks of hopeless jobs were started "
                        f"after {MAX_ATTEMPTS} runs of them had ended as failed, all of which were "
                        "taken note of")


def starts_beyond_budget(site, task):
    """Returns the run numbers of the starts after `max_attempts` runs had ended as failed. Ends
    that were not taken note of, or only after the worker's lease had lapsed, don't count."""
    failed = [at for at, _, _, how, end in site.record.ends.get(task, [])
              if how == "failed" and end.noted_at is not None and not end.lapsed]
    return [number for at, _, number, _ in site.record.starts.get(task, [])
            if sum(ended < at for ended in failed) >= MAX_ATTEMPTS]


async def offer_sound(site):
    sent = []
    for _ in range(SOUND):
        sent.append(asyncio.create_task(submit(site, fails=False)))
        await asyncio.sleep(1 / SOUND_PER_S)
    await asyncio.gather(*sent)


async def submit(site, fails):
    job = site.new_job_id()
    body = stub.job([stub.step(TASKS, CPU, JOB_MS)], [JOB_MS], CPU, fails=fails)
    return job, await site.submit(job, body)


sys.exit(stub.play(play, FOLDER))
