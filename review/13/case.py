"""Review 3, case 13: a worker that comes back under its id as another kind is given work by what its
earlier life had announced, until its first heartbeat."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "site3"))
from small_site import new_id, run_case  # noqa: E402

# As the site file has them: kinds a and b, and b is 1.5 times as large.
KIND_A = {"cpu": 32000, "labels": ["a", "r1-1"]}
KIND_B = {"cpu": 48000, "labels": ["b", "r1-1"]}
WORKERS = 8
CRASHING_WORKER = 2  # One of eight: a share of 0.125.
CRASHES = 3
DOWN_S = 2.0
TASK_CPU = 3100
TASK_WORK_MS = 900
JOBS_PER_S = 16


async def case(site, trouble):
    wrong_kind = []
    overloaded = []

    def started(worker, task, _run, spec):
        label = json.loads(spec)["requires"]
        if label and label not in worker.labels:
            wrong_kind.append(task)
            site.record.write(f"ROUTE: {task} requires {label}, {worker.id} has {worker.labels}")
        used = sum(each["cpu"] for each in worker.runs.values())
        if used > worker.cpu:
            overloaded.append(task)
            site.record.write(f"{worker.id} has {used} of {worker.cpu} in use")

    for worker in site.workers:
        worker.on_start = started

    async def submit(i):
        label = "b" if i % 2 == 0 else ""
        step = {"count": 4, "cpu": TASK_CPU, "mem_mb": 64, "estimate_ms": TASK_WORK_MS}
        if label:
            step["requires"] = label
        body = {"spec": json.dumps({"work_ms": TASK_WORK_MS, "cpu": TASK_CPU, "requires": label}),
                "best_effort": True, "steps": [step]}
        await site.request(i % site.entry_count, "POST", f"/drafts/{new_id()}", body, 4000)

    async def traffic():
        i = 0
        while True:
            asyncio.ensure_future(submit(i))
            i += 1
            await asyncio.sleep(1 / JOBS_PER_S)

    load = asyncio.ensure_future(traffic())
    await asyncio.sleep(3)
    worker = site.workers[CRASHING_WORKER]
    for i in range(CRASHES):
        if trouble:
            worker.crash()
            await asyncio.sleep(DOWN_S)
            kind = KIND_A if i % 2 == 0 else KIND_B
            worker.cpu, worker.labels = kind["cpu"], kind["labels"]
            await worker.start()
        else:
            await asyncio.sleep(DOWN_S)
        await asyncio.sleep(5)
    load.cancel()
    await asyncio.sleep(4)
    site.record.write(f"{len(wrong_kind)} starts without the required label, "
                      f"{len(overloaded)} starts over the capacity (not judged)")
    return not wrong_kind


sys.exit(run_case(FOLDER, case, entries=2, workers=WORKERS,
                  worker_options={"all": {**KIND_A, "first_heartbeat_s":
                                          float(os.environ.get("FIRST_HEARTBEAT_S", "0.4"))},
                                  CRASHING_WORKER: KIND_B, 5: KIND_B}))
