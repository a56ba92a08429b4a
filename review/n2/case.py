"""A configuration with a queue whose jobs have two days is ignored as a whole."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "loopback"))
import lab  # noqa: E402

CONFIG_APPLY_S = 2.0
HOUR_MS = 3_600_000
JOB = {"spec": json.dumps({"work_ms": 100}),
       "steps": [{"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 100}]}


async def case(site, trouble):
    for number in range(site.agents):
        site.add_worker(number)
    await site.start()
    for entry in range(site.entries):
        await site.submit(entry, "%016x" % (0x100 + entry), JOB, "/q1/")
    hours = 48 if trouble else 12
    routes = [site.route("q1", "/q1/"), site.route("q2", "/q2/"),
              site.route("weekly", "/w/", target_duration_ms=hours * HOUR_MS)]
    site.publish(5, routes)
    site.record("operator: version 5 is acknowledged; it adds q2, and weekly with %d h" % hours)
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)
    held = True
    for entry in range(site.entries):
        for number, prefix in enumerate(("/q2/", "/w/")):
            status = await site.submit(entry, "%016x" % (0x200 + 16 * entry + number), JOB, prefix)
            held = held and status != 404
    return held


lab.main(case, FOLDER)
