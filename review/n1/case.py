"""Stored jobs that no worker can do use up the bounded list of searches of an entry, so that it never
looks for the worker of a later job."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "loopback"))
import lab  # noqa: E402

# As on the grown deployment: 5 % of 206 jobs a second for 3 s, again and again.
EVENTS = 9
JOBS_OF_EVENT = 31
EVENT_S = 3.0
FINISH_S = 14.0
IDLE_S = 3.0


def job(label):
    step = {"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 200, "requires": label}
    return {"spec": json.dumps({"work_ms": 200}), "steps": [step]}


async def hand_in(site, entry, job_id, label, prefix):
    """Sends the job again, to another entry, until it is accepted or refused."""
    for attempt in range(5):
        status = await site.submit((entry + attempt) % site.entries, job_id, job(label), prefix)
        if status == 200:
            return True
        if status in (429, 503):
            return False
        await asyncio.sleep(0.5)
    return False


async def case(site, trouble):
    started, done = set(), set()
    for number in range(site.agents):
        worker = site.add_worker(number, labels=("b" if number == 0 else "a", "r1-%d" % number))
        worker.on_start = lambda _, task, run: started.add(task.split(".")[0])
        worker.on_end = lambda _, task, run, how: how == "done" and done.add(task.split(".")[0])
    await site.start()
    if trouble:
        for number in range(EVENTS * JOBS_OF_EVENT):
            job_id = "%016x" % (0x900000 + number * 104729)
            # A rack that the site doesn't have.
            await hand_in(site, number, job_id, "r9-%d" % number, "/q2/")
            await asyncio.sleep(EVENT_S / JOBS_OF_EVENT - 0.01)
    # One job for each partition, and so for each entry, that only worker 0 can do.
    accepted = {}
    number = 0
    while len(accepted) < lab.PARTS:
        number += 1
        job_id = "%016x" % (0x5C0E7A21D94B36F8 + number * 7919)
        part = lab.partition_of(job_id)
        if part not in accepted.values():
            if await hand_in(site, number, job_id, "b", "/q1/"):
                accepted[job_id] = part
    site.record("the traffic ends")
    end = time.monotonic() + FINISH_S
    while time.monotonic() < end and not set(accepted) <= done:
        await asyncio.sleep(0.2)
    # Worker 0 has capacity for 16 of these tasks and runs none, nor do the others run anything.
    idle = set(accepted) - started
    if idle:
        await asyncio.sleep(IDLE_S)
        idle -= started
    for job_id in sorted(idle):
        holder = site.store.holders[accepted[job_id]]
        site.record("%s, owned by %s: nothing has run" % (job_id, holder))
        await site.state(0, job_id)
    site.record("%d of %d jobs have nothing running" % (len(idle), len(accepted)))
    return not idle


lab.main(case, FOLDER, entries=8, agents=8,
         routes=[lab.Site.route("q1", "/q1/"), lab.Site.route("q2", "/q2/")])
