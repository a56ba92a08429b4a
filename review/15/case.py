"""Review 3, case 15: after the loss of the other entries an entry in touch gives fewer than half of
the waiting stored jobs as `pending_count`."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "site3"))
from small_site import new_id, run_case, spec  # noqa: E402

ENTRIES = 4
WORKERS = 3
WORKER_CPU = 32000
JOBS = 90
WORK_MS = 3600
DARK_S = 3.5
# visible_ms + 2 s: jobs that were accepted sooner are not counted.
COUNTED_AGE_S = 5.0
WATCHED_S = 10.0


async def case(site, trouble):
    now = asyncio.get_running_loop().time
    begun = set()

    def started(_worker, task, _run, _spec):
        begun.add(task[:16])

    for worker in site.workers:
        worker.on_start = started
    accepted = []

    async def submit(i):
        job = new_id()
        # Each task takes half of a worker, so that most jobs wait.
        body = {"spec": spec(WORK_MS, WORKER_CPU // 2),
                "steps": [{"count": 1, "cpu": WORKER_CPU // 2, "mem_mb": 64,
                           "estimate_ms": WORK_MS}]}
        status, _ = await site.request(i % ENTRIES, "POST", f"/drafts/{job}", body)
        if status == 200:
            accepted.append((now(), job))

    await asyncio.gather(*(submit(i) for i in range(JOBS)))
    await asyncio.sleep(COUNTED_AGE_S + 1)

    async def kill_others():
        for i in range(1, ENTRIES):
            site.processes[f"edge-{i}"].kill()
        site.record.write(f"edge-1 to edge-{ENTRIES - 1} are killed")
        await asyncio.sleep(DARK_S)
        for i in range(1, ENTRIES):
            site.spawn_entry(i)

    killing = asyncio.ensure_future(kill_others()) if trouble else None
    end = now() + WATCHED_S
    too_low = 0
    while now() < end:
        sent = now()
        status, body = await site.request(0, "GET", "/drafts/")
        answered = now()
        # Jobs that have waited all the while, from before the request until after its answer.
        waiting = sum(1 for at, job in accepted if sent - at > COUNTED_AGE_S and job not in begun)
        if status == 200 and answered - sent < 1 and \
                json.loads(body)["pending_count"] < waiting / 2:
            too_low += 1
            site.record.write(f"too low: {waiting} jobs have waited for over {COUNTED_AGE_S} s")
        await asyncio.sleep(0.05)
    if killing:
        await killing
    site.record.write(f"{len(accepted)} jobs accepted; {too_low} counts were too low")
    return too_low == 0


sys.exit(run_case(FOLDER, case, entries=ENTRIES, workers=WORKERS))
