"""A stored job is shown as failed after its workers crashed, though none of its runs failed."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
import site_stub as stub  # noqa: E402

ZONES = ["rw-central-a", "rw-central-b", "rw-central-c", "rw-central-d"]
CAPACITY = {"cpu": 32_000, "mem_mb": 65_536, "gpu": 0}
JOB_MS = 3600
CRASHES = 3
DOWN_S = 4.5
JOB_LIMIT_S = 60


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
    job = site.new_job_id()
    body = stub.job([stub.step(1, 3100, JOB_MS)], [JOB_MS], 3100)
    if await site.submit(job, body) != 200:
        raise stub.CannotRun("the job was not accepted")
    task = f"{job}.0.0.0"
    if stub.trouble_wanted():
        for _ in range(CRASHES):
            await crash_worker_of(site, task)
    loop = asyncio.get_running_loop()
    end = loop.time() + JOB_LIMIT_S
    state = None
    while loop.time() < end and state not in ("completed", "failed", "cancelled", "unknown"):
        await asyncio.sleep(0.5)
        state = await site.state(job)
    runs = [how for _, _, _, how, _ in site.record.ends.get(task, [])]
    if state in (None, "pending", "running"):
        raise stub.CannotRun(f"the job has not ended after {JOB_LIMIT_S} s: {state}")
    return state == "completed", (f"the job is shown as {state}; its {len(runs)} runs ended as "
                                  f"{', '.join(runs)}; max_attempts is 4")


async def crash_worker_of(site, task):
    """The worker crashes while it is at work on the task, and a new one comes in its place."""
    loop = asyncio.get_running_loop()
    end = loop.time() + 20
    while loop.time() < end:
        for worker in site.workers:
            if worker.up and task in worker.runs:
                await asyncio.sleep(1)
                worker.crash()
                loop.call_later(DOWN_S, lambda: asyncio.ensure_future(worker.start()))
                return
        await asyncio.sleep(0.02)


sys.exit(stub.play(play, FOLDER))
