"""Entries that look for workers stop telling each other how many stored jobs wait."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "loopback"))
import lab  # noqa: E402

WAITING_JOBS = 40
# 5 % of 100 jobs a second for 3 s.
IMPOSSIBLE_JOBS = 15
# `visible_ms` and 2 s.
COUNTED_AFTER_S = 5.0
WATCH_S = 20.0


def job(work_ms, cpu, **more):
    step = {"count": 1, "cpu": cpu, "mem_mb": 64, "estimate_ms": work_ms}
    step.update(more)
    return {"spec": json.dumps({"work_ms": work_ms}), "steps": [step]}


async def hand_in(site, entry, job_id, sent_job, prefix):
    """Sends the job again, to another entry, until it is accepted or refused."""
    for attempt in range(5):
        status = await site.submit((entry + attempt) % site.entries, job_id, sent_job, prefix)
        if status == 200:
            return True
        if status in (429, 503):
            return False
        await asyncio.sleep(0.5)
    return False


async def case(site, trouble):
    begun = set()
    for number in range(site.agents):
        worker = site.add_worker(number)
        worker.on_start = lambda _, task, run: begun.add(task.split(".")[0])
    await site.start()
    accepted = {}
    for number in range(WAITING_JOBS):
        job_id = "%016x" % (0x1000 + number * 7919)
        # Each needs a whole worker.
        if await hand_in(site, number, job_id, job(3000, 16000), "/q1/"):
            accepted[job_id] = site.record.now()
    if trouble:
        for number in range(IMPOSSIBLE_JOBS):
            job_id = "%016x" % (0x90000 + number * 104729)
            # A rack that the site doesn't have.
            sent = job(100, 1000, requires="r9-%d" % number)
            await hand_in(site, number, job_id, sent, "/q2/")
            await asyncio.sleep(3.0 / IMPOSSIBLE_JOBS)
    broken = 0
    polls = 0
    end = site.record.now() + WATCH_S
    while site.record.now() < end:
        for entry in range(site.entries):
            asked = site.record.now()
            given = await site.pending(entry)
            waiting = sum(1 for job_id, at in accepted.items()
                          if job_id not in begun and at < asked - COUNTED_AFTER_S)
            if given is not None:
                polls += 1
                broken += given * 2 < waiting
                site.record("client: GET /q1/ at entry %d -> pending_count %d; %d jobs wait"
                            % (entry, given, waiting))
        await asyncio.sleep(0.5)
    site.record("%d of %d counts are below half" % (broken, polls))
    return broken == 0


lab.main(case, FOLDER, routes=[lab.Site.route("q1", "/q1/"), lab.Site.route("q2", "/q2/")])
