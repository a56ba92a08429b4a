"""Starts and stops a site of real processes on 127.0.0.1. Processes are stopped by id."""

import json
import os
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.request


def fetch(address, path, body=None):
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(f"http://{address}{path}", data=data, timeout=5) as answer:
        return answer.read().decode()


def metrics(address):
    """Returns all samples of /metrics by name with labels."""
    samples = {}
    for line in fetch(address, "/metrics").splitlines():
        if line and not line.startswith("#"):
            name, value = line.rsplit(" ", 1)
            samples[name] = float(value)
    return samples


def metric(address, name):
    """Returns the sum of the samples of `name` over all labels; 0 if there is none."""
    return sum(value for key, value in metrics(address).items() if key.split("{")[0] == name)


def wait_until(what, condition, seconds=20):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise RuntimeError(f"timed out: {what}")


class Site:
    """A log, entries, agents and upstreams. Use it in a `with` block."""

    def __init__(self, binaries, region="bench"):
        self.bin = binaries
        self.region = region
        self.folder = tempfile.mkdtemp(prefix="parsleylead-site-")
        self.processes = {}
        self.log = None
        self.callers, self.operations, self.rpc = [], [], []
        self.agent_operations, self.upstreams = [], []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def path(self, name):
        return os.path.join(self.folder, name)

    def spawn(self, name, *command):
        with open(self.path(name + ".log"), "ab") as output:
            self.processes[name] = subprocess.Popen(command, stdout=output, stderr=output)

    def ports(self, name):
        file = self.path(name + ".ports")
        wait_until(f"{name} writes its ports", lambda: os.path.exists(file) and os.path.getsize(file))
        with open(file, encoding="utf-8") as text:
            return [f"127.0.0.1:{port}" for port in text.read().split()]

    def start_log(self, *options):
        self.spawn("log", f"{self.bin}/standin-log", "--port_file", self.path("log.ports"), *options)
        self.log = self.ports("log")[0]

    def common_settings(self, name, zone):
        return {
            "name": name, "region": self.region, "availability_zone": zone,
            "rpc_address": "127.0.0.1:0", "operations_address": "127.0.0.1:0",
            "seeds": list(self.rpc), "logging": {"level": "warning"},
        }

    def write_settings(self, name, settings):
        with open(self.path(name + ".json"), "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def start_entry(self, number, count, threads=512, **extra):
        name = f"entry-{number}"
        settings = self.common_settings(name, f"zone-{number}")
        settings.update(entry_slot=number, entry_slots=count, drain_notice_ms=100,
                        callers={"address": "127.0.0.1:0", "threads": threads},
                        log={"address": self.log}, **extra)
        self.write_settings(name, settings)
        self.spawn(name, f"{self.bin}/parsleylead-entry", "--settings", self.path(name + ".json"),
                   "--port_file", self.path(name + ".ports"))
        caller, operations, rpc = self.ports(name)
        self.callers.append(caller)
        self.operations.append(operations)
        self.rpc.append(rpc)

    def start_workers(self, kinds, speeds, slots=8):
        first = len(self.upstreams) + 1
        numbered = list(enumerate(speeds, start=first))
        for number, _ in numbered:
            name = f"agent-{number}"
            settings = self.common_settings(name, f"zone-{number % 4 + 1}")
            settings["upstream"] = {"announce_address": "127.0.0.1:0", "slots": slots,
                                    "connections": 64}
            self.write_settings(name, settings)
            self.spawn(name, f"{self.bin}/parsleylead-agent", "--settings",
                       self.path(name + ".json"), "--port_file", self.path(name + ".ports"))
        for number, speed in numbered:
            _, operations, announce = self.ports(f"agent-{number}")
            self.agent_operations.append(operations)
            name = f"upstream-{number}"
            self.spawn(name, f"{self.bin}/standin-upstream", "--name", name, "--kinds", kinds,
                       "--speed", str(speed), "--slots", str(slots), "--announce", announce,
                       "--port_file", self.path(name + ".ports"))
        for number, _ in numbered:
            self.upstreams.append(self.ports(f"upstream-{number}")[0])

    def publish(self, changes, operator="bench"):
        file = self.path("catalogue.json")
        with open(file, "w", encoding="utf-8") as text:
            json.dump(changes, text)
        subprocess.run([f"{self.bin}/parsleyctl", "publish", file, "--log", self.log,
                        "--operator", operator], check=True, stdout=subprocess.DEVNULL)

    def wait_ready(self, workers):
        for address in self.operations:
            wait_until(f"{address} is ready", lambda a=address: fetch(a, "/ready") is not None)
            wait_until(f"{address} has {workers} sessions", lambda a=address: metric(
                a, "parsleylead_entry_open_sessions") == workers)

    def stop(self):
        """Stops the processes of this site by id: SIGTERM, then SIGKILL after 3 s."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        end = time.monotonic() + 3
        for process in self.processes.values():
            try:
                process.wait(max(0.01, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes = {}
        shutil.rmtree(self.folder, ignore_errors=True)
