"""The record of a case: what was sent, answered and run."""

import time


class Record:
    """Writes one line for each event, and keeps the starts and ends of runs for the judgement."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._begun = time.monotonic()
        # By task: (time, worker, run number, spec).
        self.starts = {}
        # By task: (time, worker, run number, how, end or None).
        self.ends = {}

    def now(self):
        return time.monotonic() - self._begun

    def write(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {text}\n")

    def close(self):
        self._file.close()

    def run_started(self, worker, task, number, spec):
        self.starts.setdefault(task, []).append((time.monotonic(), worker, number, spec))
        self.write("run_started", worker=worker, task=task, run=number)

    def run_ended(self, worker, task, number, how, end):
        self.ends.setdefault(task, []).append((time.monotonic(), worker, number, how, end))
        self.write("run_ended", worker=worker, task=task, run=number, how=how,
                   end=end.number if end else "-")

    def end_noted(self, worker, end):
        self.write("end_noted", worker=worker, end=end.number, task=end.task, run=end.run,
                   how=end.how, lease_lapsed=end.lapsed)

    def running(self, task):
        """Returns the number of runs of the task that have started and not ended."""
        return len(self.starts.get(task, [])) - len(self.ends.get(task, []))
