"""A former owner of a partition acknowledges the cancelling of a job that it doesn't know."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "loopback"))
import lab  # noqa: E402

CANCEL_S = 3.0
STABLE_WINDOW_S = 3.0
STEP_MS = 2000
STEPS = 6
ROUNDS = 5
ROUND_S = 6.0


def job():
    steps = [{"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": STEP_MS}]
    steps += [dict(steps[0], after=[number]) for number in range(STEPS - 1)]
    return {"spec": json.dumps({"work_ms": STEP_MS}), "steps": steps}


async def case(site, trouble):
    acknowledged = {}  # job -> when its cancelling was acknowledged, and how
    reassigned_at = [time.monotonic() - 3600]
    late = []

    def on_start(_, task, run):
        job_id = task.split(".")[0]
        now = time.monotonic()
        if job_id not in acknowledged:
            return
        at, status = acknowledged[job_id]
        if now > at + CANCEL_S and now > reassigned_at[0] + STABLE_WINDOW_S:
            late.append(task)
            site.record("%s starts %.1f s after the %d to its job's cancelling"
                        % (task, now - at, status))

    for number in range(site.agents):
        site.add_worker(number).on_start = on_start
    await site.start()
    number = 0

    async def submit_and_cancel(part, owner, former):
        nonlocal number
        while True:
            number += 1
            job_id = "%016x" % (0x5C0E7A21D94B36F8 + number * 7919)
            if lab.partition_of(job_id) == part:
                break
        if await site.submit(owner, job_id, job()) != 200:
            return
        status, _ = await lab.call(site.entry(former), "DELETE", "/q1/" + job_id)
        site.record("client: DELETE /q1/%s at entry %d -> %d" % (job_id, former, status))
        if status in (200, 410):
            acknowledged[job_id] = (time.monotonic(), status)

    entries = {site.entry(entry): entry for entry in range(site.entries)}
    for _ in range(ROUNDS):
        before = list(site.store.holders)
        if trouble:
            site.store.reassign_all()
            reassigned_at[0] = time.monotonic()
            site.record("store: all partitions are reassigned")
        after = list(site.store.holders)
        for _ in range(6):
            calls = []
            for part in range(site.entries):
                owner, former = entries[after[part]], entries[before[part]]
                other = (owner + 1) % site.entries if owner == former else former
                calls.append(submit_and_cancel(part, owner, other))
            await asyncio.gather(*calls)
            await asyncio.sleep(0.06)
        await asyncio.sleep(ROUND_S)
    site.record("%d tasks started late" % len(late))
    return not late


lab.main(case, FOLDER)
