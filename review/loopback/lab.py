"""A small site on loopback addresses: stand-ins of the platform's store and of workers, written from
the protocol page, and the system's own processes. Used by the cases of the review."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

BINARY = "target/bin/parsleylead-platform"
PARTS = 16
HOST = "desk.example"
HOLD_MAX_MS = 1000


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


# --- HTTP ---------------------------------------------------------------------------------------


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


class Server:
    """`handler(method, target, headers, body)` returns (status, body)."""

    def __init__(self, handler):
        self.handler = handler
        self.listener = None

    async def listen(self, listen_address):
        ip, port = listen_address.split(":")
        self.listener = await asyncio.start_server(self.connection, ip, int(port), limit=1 << 22)

    async def connection(self, reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ")
                status, reply = await self.handler(method, target, headers, body)
                head = "HTTP/1.1 %d x\r\ncontent-length: %d\r\n\r\n" % (status, len(reply))
                writer.write(head.encode() + reply)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def call(server, method, target, body=b"", headers=None, timeout=2.0):
    """Returns (status, body); status 0 if there was no complete answer."""

    async def exchange():
        ip, port = server.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 22)
        try:
            fields = {"host": HOST, "content-type": "application/json", "connection": "close"}
            fields.update(headers or {})
            fields["content-length"] = str(len(body))
            head = "%s %s HTTP/1.1\r\n" % (method, target)
            head += "".join("%s: %s\r\n" % field for field in fields.items()) + "\r\n"
            writer.write(head.encode() + body)
            line, _, reply = await read_message(reader)
            return int(line.split(" ")[1]), reply
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""


# --- The platform's store -----------------------------------------------------------------------


class Store:
    def __init__(self, record, answer_ms=4, call_bytes=2 * 1024 * 1024, record_bytes=256 * 1024):
        self.record = record
        self.answer_ms = answer_ms
        self.call_bytes = call_bytes
        self.record_bytes = record_bytes
        self.topics = {}  # (topic, part) -> list of (key, value)
        self.changed = asyncio.Event()
        self.members = {}
        self.generation = 0
        self.holders = [""] * PARTS
        self.assigned = [""] * PARTS

    def put(self, topic, key, value):
        self.topics.setdefault((topic, 0), []).append((key.encode(), value.encode()))
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(self.answer_ms / 1000)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        log = self.topics.setdefault((query.get("topic"), int(query.get("part", 0))), [])
        if url.path == "/log-append":
            return self.append(log, query, body)
        if url.path == "/log-newest":
            return self.newest(log, query)
        if url.path == "/log-read":
            return await self.read(log, query)
        if url.path == "/log-join":
            return self.join(json.loads(body))
        if url.path == "/log-leave":
            self.members.pop(json.loads(body)["member"], None)
            self.assign()
            return 200, b"{}"
        if url.path == "/log-owners":
            rows = [["keyed.jobs", part, member, 0] for part, member in enumerate(self.holders)]
            return 200, json.dumps({"parts": rows}).encode()
        return 404, b"{}"

    def append(self, log, query, body):
        if "at" in query and int(query["at"]) != len(log):
            return 412, json.dumps({"end": len(log)}).encode()
        records, position, total = [], 0, 0
        while position < len(body):
            (length,) = struct.unpack(">I", body[position : position + 4])
            content = body[position + 4 : position + 4 + length]
            if length > self.record_bytes:
                return 400, b"{}"
            total += length
            key_length = content[0]
            records.append((content[1 : 1 + key_length], content[1 + key_length :]))
            position += 4 + length
        if total > self.call_bytes:
            self.record("store: append of %d bytes is over the limit of a call" % total)
            return 400, b"{}"
        offset = len(log)
        log.extend(records)
        self.wake()
        return 200, json.dumps({"offset": offset, "end": len(log)}).encode()

    def newest(self, log, query):
        newest = {}
        for offset, (key, value) in enumerate(log):
            newest[key] = (value, offset)
        after = query.get("after", "").encode()
        keys = sorted(key for key, (value, _) in newest.items() if value and key > after)
        items, size = [], 0
        for key in keys:
            value, offset = newest[key]
            if len(items) == 500 or size + len(value) > 1_000_000:
                break
            size += len(value)
            items.append(
                {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
            )
        more = len(items) < len(keys)
        return 200, json.dumps({"items": items, "has_more": more, "end": len(log)}).encode()

    async def read(self, log, query):
        begin = int(query["from"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(log) <= begin and time.monotonic() < end:
            try:
                await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                break
        reply = struct.pack(">QQ", len(log), 0)
        for key, value in log[begin:]:
            content = bytes([len(key)]) + key + value
            if len(reply) + len(content) > 1024 * 1024 and len(reply) > 16:
                break
            reply += struct.pack(">I", len(content)) + content
        return 200, reply

    def assign(self):
        self.generation += 1
        names = sorted(self.members)
        for part in range(PARTS):
            self.assigned[part] = names[part % len(names)] if names else ""
            if self.holders[part] not in self.members:
                self.holders[part] = self.assigned[part]

    def join(self, request):
        now = time.monotonic()
        lapsed = [name for name, end in self.members.items() if end < now]
        for name in lapsed:
            del self.members[name]
        member = request["member"]
        added = member not in self.members
        self.members[member] = now + request["ttl_ms"] / 1000
        if added or lapsed:
            self.assign()
        rows = []
        for part in range(PARTS):
            if self.holders[part] == member and self.assigned[part] != member:
                if request["generation"] >= self.generation:
                    self.holders[part] = self.assigned[part]
            if self.holders[part] == member and self.assigned[part] == member:
                rows.append([request["topics"][0], part, 0])
        return 200, json.dumps({"generation": self.generation, "parts": rows}).encode()


# --- Workers ------------------------------------------------------------------------------------


class Worker:
    """A task's spec is `{"work_ms": N}`."""

    def __init__(self, record, name, address, agent, cpu=16000, mem_mb=32768, labels=("a", "r1")):
        self.record = record
        self.name = name
        self.address = address
        self.agent = agent
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.labels = list(labels)
        self.state = "ready"
        self.on_start = lambda worker, task, run: None
        self.on_end = lambda worker, task, run, how: None
        self.born = int(time.time() * 1000)
        self.clock_start = time.monotonic()
        self.runs = {}  # task -> [run, end of the work, stopping, begin]
        self.ended = {}  # task -> highest run that ended or was stopped
        self.finished = []
        self.last_end = 0
        self.sequence = 0
        self.fence = 0
        self.lease_end = 0

    def clock(self):
        return int((time.monotonic() - self.clock_start) * 1000)

    async def start(self):
        await Server(self.handle).listen(self.address)
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.tick())]

    async def beat(self):
        while True:
            await self.announce()
            await asyncio.sleep(1.0)

    async def announce(self):
        self.sequence += 1
        body = {
            "service": "desk", "address": self.address, "zone": "z0", "version": "v1", "slots": 8,
            "state": self.state, "cold_remaining_ms": 0, "capacity": self.capacity,
            "labels": self.labels, "clock_ms": self.clock(), "born": self.born,
            "sequence": self.sequence,
        }
        return await call(self.agent, "POST", "/Workers.Heartbeat/" + self.name,
                          json.dumps(body).encode(), timeout=1.0)

    async def tick(self):
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            lapsed = self.clock() > self.lease_end
            for task, (run, end, stopping, _) in list(self.runs.items()):
                if lapsed:
                    self.end(task, run, "lapsed")
                elif stopping:
                    self.end(task, run, "stopped")
                elif now >= end:
                    self.end(task, run, "done")

    def end(self, task, run, how):
        del self.runs[task]
        self.ended[task] = max(run, self.ended.get(task, 0))
        self.last_end += 1
        self.finished.append([self.last_end, task, run, how, ""])
        self.record("%s: %s run %d ended %s" % (self.name, task, run, how))
        self.on_end(self, task, run, how)

    def refuse(self, reason):
        return 409, json.dumps({"clock_ms": self.clock(), "reason": reason}).encode()

    async def handle(self, method, target, headers, body):
        if headers.get("x-target-instance", self.name) != self.name:
            return 421, b"{}"
        request = json.loads(body)
        if request.get("fencing_token", 0) < self.fence:
            return self.refuse("fence")
        self.fence = request.get("fencing_token", 0)
        if target == "/hold":
            return await self.hold(request)
        if target == "/run-stop":
            task, run = request["task"], request["run"]
            if task in self.runs and self.runs[task][0] <= run:
                self.runs[task][2] = True
            self.ended[task] = max(run, self.ended.get(task, 0))
            return 200, json.dumps({"clock_ms": self.clock()}).encode()
        if target == "/run-start":
            return self.run_start(request)
        return 404, b"{}"

    def extend(self, until):
        self.lease_end = max(self.lease_end, min(until, self.clock() + HOLD_MAX_MS))

    def run_start(self, request):
        task, run = request["task"], request["run"]
        if request["until_ms"] < self.clock():
            return self.refuse("late")
        self.extend(request["until_ms"])
        if task in self.runs:
            if self.runs[task][0] != run:
                return self.refuse("old")
        elif run <= self.ended.get(task, 0):
            return self.refuse("old")
        else:
            work = json.loads(request["spec"])["work_ms"] / 1000
            now = time.monotonic()
            self.runs[task] = [run, now + work, False, now]
            self.record("%s: %s run %d started" % (self.name, task, run))
            self.on_start(self, task, run)
        return 200, json.dumps({"clock_ms": self.clock()}).encode()

    async def hold(self, request):
        if "until_ms" in request:
            self.extend(request["until_ms"])
        self.finished = [end for end in self.finished if end[0] > request["ack_cursor"]]
        deadline = time.monotonic() + request.get("wait_ms", 0) / 1000
        while not self.finished and time.monotonic() < deadline:
            await asyncio.sleep(0.004)
        now = time.monotonic()
        active = []
        for task, (run, end, _, begin) in self.runs.items():
            share = (now - begin) / max(end - begin, 0.001)
            active.append([task, run, "", int(100 * min(1.0, share))])
        return 200, json.dumps(
            {"clock_ms": self.clock(), "born": self.born, "active_runs": active,
             "finished_runs": self.finished[:500]}
        ).encode()


# --- The system's own processes -----------------------------------------------------------------


# Ports of a host, as the settings name them, and those of the metrics.
PORTS = {"frontend": 8161, "control_plane": 8166, "ready": 8167, "app": 8080, "store": 8169,
         "link": 7720, "metrics": 9464}


def address(ip, port_name):
    return "%s:%d" % (ip, PORTS[port_name])


def find_free_network():
    """Returns the second and third byte of a loopback network none of whose ports is in use."""
    for _ in range(50):
        network = (random.randrange(10, 250), random.randrange(0, 250, 3))
        try:
            for kind in range(3):
                for host in range(1, 9):
                    for port in PORTS.values():
                        with socket.socket() as probe:
                            ip = "127.%d.%d.%d" % (network[0], network[1] + kind, host)
                            probe.bind((ip, port))
            return network
        except OSError:
            continue
    raise RuntimeError("no free ports")


class Site:
    """Entries and agents as processes, the store, and the clients' and the operator's calls."""

    def __init__(self, folder, entries=4, agents=2, routes=None):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.network = find_free_network()
        self.entries = entries
        self.agents = agents
        self.work = tempfile.mkdtemp(prefix="review")
        self.children = {}
        self.store = Store(self.record)
        self.routes = routes or [self.route("q1", "/q1/")]
        self.workers = []

    @staticmethod
    def route(name, prefix, **more):
        terms = {"name": name, "host": HOST, "path_prefix": prefix, "service": "desk",
                 "target_duration_ms": 400, "stretch": 2.0, "max_attempts": 4, "priority": 0}
        terms.update(more)
        return terms

    def ip(self, kind, number):
        return "127.%d.%d.%d" % (self.network[0], self.network[1] + kind, number + 1)

    def entry(self, number):
        return address(self.ip(1, number), "frontend")

    def store_address(self):
        return address(self.ip(0, 0), "store")

    def add_worker(self, number, **options):
        ip = self.ip(2, number)
        worker = Worker(self.record, "i-%04x" % (0x7F00 + number), address(ip, "app"),
                        address(ip, "control_plane"), **options)
        self.workers.append(worker)
        return worker

    def settings(self, entry, number):
        ip = self.ip(1 if entry else 2, number)
        settings = {
            "node_name": "%s-%d" % ("edge" if entry else "side", number), "role": "x",
            "machine_class": "edge" if entry else "side", "ip": ip, "zone": "z0", "region": "r0",
            "zones": {"z0": "r0"}, "internal_ports": [PORTS["link"], PORTS["link"] + 15], "seeds": [], "bootstrap": True,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260 if entry else 128,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "heartbeat_ms": 1500, "orders": "call",
            "bounds": {"grace_s": 6, "hold_max_ms": HOLD_MAX_MS, "stable_window_ms": 3000,
                       "cancel_ms": 3000, "visible_ms": 3000, "require_fencing": True},
            "platform": {"address": self.store_address(), "form": "log", "writes_per_s": 800,
                         "reads_per_s": 2000, "parts": PARTS, "record_bytes": 262144,
                         "call_bytes": 2097152, "keep_s": 300, "ttl_min_ms": 1000},
        }
        if entry:
            settings["bind_addresses"] = {name: address(ip, name)
                                          for name in ("frontend", "ready", "control_plane")}
        else:
            settings["bind_addresses"] = {"control_plane": address(ip, "control_plane")}
            settings["app"] = address(ip, "app")
        return settings

    def start_process(self, entry, number):
        name = "%s-%d" % ("entry" if entry else "agent", number)
        path = os.path.join(self.work, name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(entry, number), file)
        log = open(os.path.join(self.work, name + ".log"), "ab")
        child = subprocess.Popen([BINARY, "entry" if entry else "agent"], stdout=log, stderr=log,
                                 stdin=subprocess.DEVNULL,
                                 env={"PATH": os.environ["PATH"], "PARSLEYLEAD_BOOT": path})
        self.children[name] = child
        return child

    def publish(self, version, routes):
        config = {"version": version, "routes": routes, "services": [{"name": "desk"}],
                  "limits": []}
        self.store.put("keyed.op", "config", json.dumps(config))

    def start_all(self):
        for number in range(self.entries):
            self.start_process(True, number)
        for number in range(self.agents):
            self.start_process(False, number)

    def kill_all(self):
        for child in self.children.values():
            child.kill()
        for child in self.children.values():
            child.wait()

    async def ready_entries(self):
        answers = [await call(address(self.ip(1, number), "ready"), "GET", "/readiness", timeout=1)
                   for number in range(self.entries)]
        return sum(status == 200 for status, _ in answers)

    async def start(self):
        self.record("site: %d entries, %d agents" % (self.entries, self.agents))
        await Server(self.store.handle).listen(self.store_address())
        self.publish(1, self.routes)
        self.start_all()
        for worker in self.workers:
            await worker.start()
        deadline = time.monotonic() + 15
        while await self.ready_entries() < self.entries:
            if time.monotonic() > deadline:
                raise RuntimeError("the entries don't become ready")
            await asyncio.sleep(0.1)
        # The partitions of stored jobs are settled by then.
        await asyncio.sleep(4.5)
        self.record("site: ready")

    async def submit(self, entry, job_id, job, prefix="/q1/", timeout=4.0, deadline_ms=4000):
        body = json.dumps(job).encode()
        status, reply = await call(self.entry(entry), "POST", prefix + job_id, body,
                                   {"x-deadline-ms": str(deadline_ms)}, timeout)
        self.record("client: POST %s%s at entry %d -> %d" % (prefix, job_id, entry, status))
        return status

    async def state(self, entry, job_id, prefix="/q1/"):
        status, reply = await call(self.entry(entry), "GET", prefix + job_id, timeout=3.0)
        state = json.loads(reply).get("state") if status == 200 else None
        self.record("client: GET %s%s at entry %d -> %d %s" % (prefix, job_id, entry, status, state))
        return status, state

    async def pending(self, entry, prefix="/q1/"):
        status, reply = await call(self.entry(entry), "GET", prefix, timeout=2.0)
        return json.loads(reply)["pending_count"] if status == 200 else None

    def stop(self):
        for child in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.children.values():
            child.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.work, file=sys.stderr)
        else:
            shutil.rmtree(self.work, ignore_errors=True)


def partition_of(job_id):
    """The partition of the topic keyed.jobs that has the job."""
    mixed = (int(job_id, 16) * 0x9E3779B97F4A7C15) & ((1 << 64) - 1)
    return ((mixed >> 32) & ((1 << 32) - 1)) % PARTS


def main(case, folder, **options):
    """Runs `case(site, trouble)`, which returns True if the rule held. Exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # Ends the processes, too.

    async def play():
        site = Site(folder, **options)
        try:
            held = await asyncio.wait_for(case(site, trouble), 110)
            site.record("the rule %s" % ("held" if held else "was broken"))
            return 0 if held else 1
        finally:
            site.stop()

    try:
        code = asyncio.run(play())
    except Exception as error:  # The case could not run.
        print("could not run: %r" % error, file=sys.stderr)
        code = 2
    sys.exit(code)
