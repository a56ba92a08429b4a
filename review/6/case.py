"""A configuration with a queue whose jobs have two days is ignored as a whole, and entries that start
while it is the newest one have none."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "loopback"))
import lab  # noqa: E402

CONFIG_APPLY_S = 2.0
RECOVERY_S = 12.0
FINISH_S = 14.0
# `down_s` of the site file's `kill_all` is 0.58 to 1.1.
RESTART_S = 0.6
HOUR_MS = 3_600_000
JOB = {"spec": json.dumps({"work_ms": 100}),
       "steps": [{"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 100}]}


async def case(site, trouble):
    number = 0

    async def hand_in(prefix):
        """Sends one job to each entry; returns the accepted ones and all statuses."""
        nonlocal number
        accepted, statuses = [], []
        for entry in range(site.entries):
            number += 1
            job_id = "%016x" % (0x5C0E7A21D94B36F8 + number * 7919)
            statuses.append(await site.submit(entry, job_id, JOB, prefix))
            if statuses[-1] == 200:
                accepted.append(job_id)
        return accepted, statuses

    for agent in range(site.agents):
        site.add_worker(agent)
    await site.start()
    stored, before = await hand_in("/q1/")
    hours = 48 if trouble else 12
    routes = [site.route("q1", "/q1/"), site.route("q2", "/q2/"),
              site.route("weekly", "/w/", target_duration_ms=hours * HOUR_MS)]
    site.publish(5, routes)
    site.record("operator: version 5 is acknowledged; it adds q2, and weekly with %d h" % hours)
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)
    _, added = await hand_in("/q2/")
    config_broken = 404 in added
    site.record("CONFIG: q2 is answered %s" % added)

    site.publish(6, routes + [site.route("q3", "/q3/")])
    site.record("operator: version 6 is acknowledged; it adds q3")
    site.kill_all()
    await asyncio.sleep(RESTART_S)
    site.start_all()
    site.record("all processes were killed and are started again")
    await asyncio.sleep(RECOVERY_S)
    served = sent = 0
    for _ in range(6):
        accepted, statuses = await hand_in("/q1/")
        served += len(accepted)
        sent += len(statuses)
        await asyncio.sleep(1.0)
    ready = await site.ready_entries()
    site.record("RECOVER: %d of 4 requests were served before; %d of %d later than recovery_s after "
                "the start; %d entries are ready" % (before.count(200), served, sent, ready))
    await asyncio.sleep(FINISH_S)
    known = 0
    for job_id in stored:
        status, _ = await site.state(0, job_id)
        known += status == 200
    site.record("LOST: %d of %d accepted jobs are known" % (known, len(stored)))
    return not config_broken and 4 * served >= sent and known == len(stored)


lab.main(case, FOLDER)
