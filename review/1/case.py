"""A heartbeat of another writer makes an agent give up its worker's runs, which go on."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
import site_stub as stub  # noqa: E402
from http_stub import NoAnswer, NotSent, call  # noqa: E402

ZONES = ["rw-central-a", "rw-central-b", "rw-central-c", "rw-central-d"]
CAPACITY = {"cpu": 32_000, "mem_mb": 65_536, "gpu": 0}
TASKS, JOB_MS, CPU = 1, 1800, 3100
JOBS, JOBS_PER_S = 40, 2
INTERVAL_S = 3


async def play():
    site = stub.Site(FOLDER, stub.IAIA_BOUNDS, ZONES)
    try:
        for zone in ZONES:
            site.add_entry(zone)
            site.add_worker(zone, CAPACITY, ["a", "r1-1"])
        await site.start(stub.configuration())
        return await case(site)
    finally:
        site.stop()


async def case(site):
    sent = []
    load = asyncio.create_task(offer(site, sent))
    await asyncio.sleep(2)
    if stub.trouble_wanted():
        for worker in site.workers:
            await foreign_heartbeat(site, worker)
            await asyncio.sleep(INTERVAL_S)
    await load
    answers = await asyncio.gather(*sent)
    await asyncio.sleep(3)
    served = sum(status == 200 for status in answers)
    if served < len(answers) / 2:
        raise stub.CannotRun(f"only {served} of {len(answers)} jobs were served or accepted")
    broken = stub.overlapping_runs(site)
    for task, first, second in broken:
        site.record.write("twice", task=task, first=first, second=second)
    tasks = {task for task, _, _ in broken}
    return not tasks, f"{len(tasks)} tasks had two runs at the same time on workers that were up"


async def foreign_heartbeat(site, worker):
    """A well-formed heartbeat of a service that the configuration does not name."""
    body = {"service": "zofi22b", "address": "%s:%d" % (worker.address[0], 8099), "zone": "z",
            "version": "v9", "slots": 2, "state": "ready", "cold_remaining_ms": 0,
            "capacity": {"cpu": 2000, "mem_mb": 4096, "gpu": 0}, "labels": ["a", "r1-1"],
            "clock_ms": 5113, "sequence": 4, "born": int(time.time() * 1000) - 5113}
    try:
        status, _ = await call(worker.agent, "POST", "/Workers.Heartbeat/i-9c41d07e", body=body,
                               timeout=1.0)
    except (NoAnswer, NotSent) as error:
        status = error
    site.record.write("foreign_heartbeat", machine=worker.name, service="zofi22b", status=status)


async def offer(site, sent):
    for number in range(JOBS):
        kept = number % 2 == 0
        sent.append(asyncio.create_task(submit(site, kept)))
        await asyncio.sleep(1 / JOBS_PER_S)


async def submit(site, kept):
    job = site.new_job_id()
    body = stub.job([stub.step(TASKS, CPU, JOB_MS)], [JOB_MS], CPU, not kept)
    return await site.submit(job, body, tries=20 if kept else 1, deadline_ms=3000)


sys.exit(stub.play(play, FOLDER))
