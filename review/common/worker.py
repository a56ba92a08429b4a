"""Stand-in of a worker, after PROTOCOL.md, "Running tasks" and "Service discovery"."""

import asyncio
import json
import time

from http_stub import HttpServer, NoAnswer, NotSent, call

TICK_S = 0.005
DEFAULT_LEASE_MS = 1000


class Run:
    def __init__(self, task, number, spec, began):
        self.task = task
        self.number = number
        self.cpu = spec.get("cpu", 0)
        self.fails = spec.get("fails", False)
        self.ms = spec["ms"][int(task.split(".")[2])]
        self.began = began
        self.stopping = False


class End:
    def __init__(self, number, run, how, at):
        self.number = number
        self.task = run.task
        self.run = run.number
        self.how = how
        self.at = at
        # The worker's lease has lapsed since the run ended.
        self.lapsed = False
        # When the acknowledgements reached this end.
        self.noted_at = None


class Worker:
    """The spec of a job is JSON: `ms` (run time, a list with one for each step), `cpu`, and `fails`
    if every run fails."""

    MAX_LISTED_ENDS = 500

    def __init__(self, record, name, service, address, agent, capacity, labels, heartbeat_s=1.5,
                 lease_ms=DEFAULT_LEASE_MS):
        self.record = record
        self.name = name
        self.service = service
        self.address = address
        self.agent = agent
        self.capacity = capacity
        self.labels = labels
        self.heartbeat_s = heartbeat_s
        self.max_lease_ms = lease_ms
        self.lives = 0
        self.up = False
        self.runs = {}
        self.unacknowledged = []
        self._tasks = []

    # Life of the process.

    async def start(self):
        self.lives += 1
        self.id = f"i-{self.name}-{self.lives}"
        self.born = int(time.time() * 1000)
        self._clock_start = time.monotonic()
        self.fence = 0
        self.lease_end = 0
        self.sequence = 0
        self.last_end = 0
        self.runs = {}
        self.last_ended_run = {}
        self.unacknowledged = []
        self._ended = asyncio.Event()
        self._server = HttpServer(self._handle)
        await self._server.start(*self.address)
        self.up = True
        self._tasks = [asyncio.create_task(self._tick()), asyncio.create_task(self._announce())]
        self.record.write("worker_up", worker=self.id, labels=self.labels, cpu=self.capacity["cpu"])

    def crash(self):
        """The process ends: its runs, connections and all that it knew are gone."""
        self.record.write("worker_crash", worker=self.id, runs=sorted(self.runs))
        for run in self.runs.values():
            self.record.run_ended(self.id, run.task, run.number, "crashed", None)
        self.stop()

    def stop(self):
        self.up = False
        self.runs = {}
        self.unacknowledged = []
        for task in self._tasks:
            task.cancel()
        self._server.stop()

    def clock_ms(self):
        return int((time.monotonic() - self._clock_start) * 1000)

    def used_cpu(self):
        return sum(run.cpu for run in self.runs.values())

    async def _announce(self):
        while True:
            self.sequence += 1
            body = {"service": self.service, "address": "%s:%d" % self.address, "zone": "z",
                    "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                    "capacity": self.capacity, "labels": self.labels, "clock_ms": self.clock_ms(),
                    "sequence": self.sequence, "born": self.born}
            begun = time.monotonic()
            try:
                await call(self.agent, "POST", f"/Workers.Heartbeat/{self.id}", body=body,
                           timeout=1.0)
            except (NoAnswer, NotSent):
                pass
            await asyncio.sleep(max(0, self.heartbeat_s - (time.monotonic() - begun)))

    # Runs.

    def _end(self, run, how):
        del self.runs[run.task]
        self.last_end += 1
        end = End(self.last_end, run, how, time.monotonic())
        self.unacknowledged.append(end)
        self.last_ended_run[run.task] = max(self.last_ended_run.get(run.task, 0), run.number)
        self.record.run_ended(self.id, run.task, run.number, how, end)
        self._ended.set()
        self._ended = asyncio.Event()

    def _update(self):
        """Ends the runs that are due. Called before each answer and by the clock."""
        now = time.monotonic()
        lapsed = self.clock_ms() > self.lease_end
        for run in list(self.runs.values()):
            if lapsed:
                self._end(run, "lapsed")
            elif run.stopping:
                self._end(run, "stopped")
            elif now >= run.began + run.ms / 1000:
                self._end(run, "failed" if run.fails else "done")
        if lapsed:
            for end in self.unacknowledged:
                end.lapsed = True

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_S)
            self._update()

    def _extend(self, until_ms):
        self.lease_end = max(self.lease_end, min(until_ms, self.clock_ms() + self.max_lease_ms))

    def _lists(self):
        now = time.monotonic()
        active = [[run.task, run.number, "",
                   min(99, int(100 * (now - run.began) * 1000 / run.ms)),
                   run.cpu] for run in self.runs.values()]
        ended = [[end.number, end.task, end.run, end.how, ""]
                 for end in self.unacknowledged[:self.MAX_LISTED_ENDS]]
        return {"clock_ms": self.clock_ms(), "born": self.born, "active_runs": active,
                "finished_runs": ended}

    def _refuse(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    async def _handle(self, request):
        target = request.headers.get("x-target-instance", "")
        if target and target != self.id:
            return 421, {"clock_ms": self.clock_ms()}
        body = json.loads(request.body)
        self._update()
        if body.get("fencing_token", 0) < self.fence:
            return self._refuse("fence")
        self.fence = body.get("fencing_token", 0)
        if request.path == "/run-start":
            return self._start_run(body)
        if request.path == "/run-stop":
            return self._stop_run(body)
        if request.path == "/hold":
            return await self._hold(body)
        return 400, {"clock_ms": self.clock_ms()}

    def _start_run(self, body):
        task, number = body["task"], body["run"]
        if body["until_ms"] < self.clock_ms():
            return self._refuse("late")
        self._extend(body["until_ms"])
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return 200, {"clock_ms": self.clock_ms()}
        if present is not None or number <= self.last_ended_run.get(task, 0):
            return self._refuse("old")
        run = Run(task, number, json.loads(body["spec"]), time.monotonic())
        self.runs[task] = run
        self.record.run_started(self.id, task, number, body["spec"])
        return 200, {"clock_ms": self.clock_ms()}

    def _stop_run(self, body):
        task, number = body["task"], body["run"]
        present = self.runs.get(task)
        if present is not None and present.number <= number:
            present.stopping = True
        self.last_ended_run[task] = max(self.last_ended_run.get(task, 0), number)
        return 200, {"clock_ms": self.clock_ms()}

    async def _hold(self, body):
        for end in self.unacknowledged:
            if end.number <= body["ack_cursor"]:
                end.noted_at = time.monotonic()
                self.record.end_noted(self.id, end)
        self.unacknowledged = [end for end in self.unacknowledged
                               if end.number > body["ack_cursor"]]
        if "until_ms" in body:
            self._extend(body["until_ms"])
        wait_ms = min(body.get("wait_ms", 0), 2000)
        if wait_ms > 0 and not self.unacknowledged:
            try:
                await asyncio.wait_for(self._ended.wait(), wait_ms / 1000)
            except TimeoutError:
                pass
        return 200, self._lists()
