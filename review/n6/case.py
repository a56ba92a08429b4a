"""Tasks are started on a worker that has restarted as a smaller one and has not announced itself."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "loopback"))
import lab  # noqa: E402

CPU = 4000
WORK_MS = 900
JOBS_PER_S = 15
LOAD_S = 12.0
DOWN_S = 2.0
# Half of `heartbeat_ms`.
FIRST_BEAT_S = 0.75
SMALLER_CPU = 8000


async def case(site, trouble):
    over = []

    def on_start(worker, task, run):
        used = CPU * len(worker.runs)
        if used > worker.capacity["cpu"]:
            over.append(task)
            site.record("%s: %d of %d CPU are used" % (worker.name, used, worker.capacity["cpu"]))

    for number in range(site.agents):
        site.add_worker(number).on_start = on_start
    await site.start()
    step = {"count": 2, "cpu": CPU, "mem_mb": 64, "estimate_ms": WORK_MS}
    job = {"spec": json.dumps({"work_ms": WORK_MS}), "steps": [step]}

    async def load():
        for number in range(int(LOAD_S * JOBS_PER_S)):
            job_id = "%016x" % (0x5C0E7A21D94B36F8 + number * 7919)
            asyncio.ensure_future(site.submit(number % site.entries, job_id, job))
            await asyncio.sleep(1 / JOBS_PER_S)

    traffic = asyncio.ensure_future(load())
    await asyncio.sleep(3)
    if trouble:
        worker = site.workers[0]
        await worker.crash(DOWN_S)
        worker.capacity = dict(worker.capacity, cpu=SMALLER_CPU)
        await asyncio.sleep(FIRST_BEAT_S)
        worker.up = True
        await worker.announce()
        site.record("%s: announced with %d CPU" % (worker.name, SMALLER_CPU))
    await traffic
    await asyncio.sleep(3)
    site.record("%d starts above the capacity" % len(over))
    return not over


lab.main(case, FOLDER, agents=8)
