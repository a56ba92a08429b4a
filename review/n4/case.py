"""Job ids in upper case are changed to lower case."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "loopback"))
import lab  # noqa: E402

JOBS = 8


async def case(site, trouble):
    sent, started, foreign = set(), set(), set()

    def on_start(_, task, run):
        job_id = task.split(".")[0]
        started.add(job_id)
        if job_id not in sent:
            foreign.add(job_id)
            site.record("no client sent a job %s" % job_id)

    for number in range(site.agents):
        site.add_worker(number).on_start = on_start
    await site.start()
    job = {"spec": json.dumps({"work_ms": 100}),
           "steps": [{"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 100}]}
    for number in range(JOBS):
        job_id = "%016x" % (0x5C0E7A21D94B36F8 + number * 7919)
        if trouble:
            job_id = job_id.upper()
        sent.add(job_id)
        await site.submit(number % site.entries, job_id, job)
    await asyncio.sleep(3)
    site.record("%d jobs were sent; %d of them were started, and %d that nobody sent"
                % (len(sent), len(sent & started), len(foreign)))
    return not foreign


lab.main(case, FOLDER)
