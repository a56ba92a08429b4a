"""Stand-ins of the platform for the scripts of review 3: the store, workers and callers.

They follow PROTOCOL.md; everything runs in one asyncio loop, on loopback addresses and the real
clock. Only the standard library is used.
"""

import asyncio
import base64
import json
import time
import traceback
import urllib.parse

STATUS_TEXT = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
               412: "Precondition Failed", 421: "Misdirected Request", 503: "Unavailable"}


class Record:
    """Writes what is sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f}  {text}\n")
        self.file.flush()


class HttpServer:
    """A minimal HTTP/1.1 server. `handle(method, target, headers, body)` returns (status, body), or
    None to close the connection. `answer_at_once` does the same without waiting; if it returns None,
    `handle` is asked."""

    def __init__(self, handle):
        self.handle = handle
        self.answer_at_once = lambda method, target, headers, body: None
        self.server = None
        self.connections = set()

    async def start(self, ip, port):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: HttpConnection(self), ip, port,
                                               reuse_address=True)

    def stop(self):
        """Closes the listening socket and resets the connections, as a killed process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.transport.abort()


class HttpConnection(asyncio.Protocol):
    """A connection of an HttpServer; serves one request after the other."""

    def __init__(self, server):
        self.server = server
        self.received = b""
        self.busy = False

    def connection_made(self, transport):
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, error):
        self.server.connections.discard(self)

    def data_received(self, data):
        self.received += data
        self.serve()

    def serve(self):
        while not self.busy and not self.transport.is_closing():
            end = self.received.find(b"\r\n\r\n")
            if end < 0:
                return
            first, headers = parse_head(self.received[:end])
            length = int(headers.get("content-length", "0"))
            if len(self.received) < end + 4 + length:
                return
            body = self.received[end + 4:end + 4 + length]
            self.received = self.received[end + 4 + length:]
            method, target, _ = first.split(" ", 2)
            answer = self.server.answer_at_once(method, target, headers, body)
            if answer is not None:
                self.respond(answer)
                continue
            self.busy = True
            asyncio.ensure_future(self.handle(method, target, headers, body))

    async def handle(self, method, target, headers, body):
        try:
            answer = await self.server.handle(method, target, headers, body)
        except Exception:  # A fault of the stand-in: shown, and the connection ends.
            traceback.print_exc()
            answer = None
        self.busy = False
        if answer is None:
            self.transport.abort()
            return
        self.respond(answer)
        self.serve()

    def respond(self, answer):
        if self.transport.is_closing():
            return
        status, payload = answer
        if not isinstance(payload, bytes):
            payload = json.dumps(payload).encode()
        kind = "application/json" if payload[:1] == b"{" else "application/octet-stream"
        self.transport.write((f"HTTP/1.1 {status} {STATUS_TEXT.get(status, 'X')}\r\n"
                              f"content-type: {kind}\r\ncontent-length: {len(payload)}\r\n\r\n")
                             .encode() + payload)


def parse_head(head):
    """Returns the first line of a message and its headers, with names in lower case."""
    first, *fields = head.decode("latin-1").split("\r\n")
    headers = {}
    for field in fields:
        name, _, value = field.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers


async def read_message(reader):
    """Reads one HTTP message with a content length. Returns (first line, headers, body) or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, headers = parse_head(head[:-4])
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return first, headers, body


async def call(ip, port, method, target, body=b"", headers=None, timeout=5.0):
    """One request on a connection of its own. Returns (status, body), or (None, cause)."""
    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}",
                     "Content-Type: application/json"]
            fields = dict(headers or {})
            fields.setdefault("Host", f"{ip}:{port}")
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None, "connection closed"
            return int(message[0].split(" ")[1]), message[2]
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, "no answer in time"
    except (OSError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
        return None, str(error)


class Store:
    """The platform's store: a log with keyed topics and one group per name."""

    def __init__(self, partitions=16, append_ms=3.0, record_bytes=262144, call_bytes=2097152):
        self.partitions = partitions
        self.append_ms = append_ms
        self.record_bytes = record_bytes
        self.call_bytes = call_bytes
        self.logs = {}
        self.newest = {}
        self.changed = asyncio.Event()
        self.members = {}
        self.holders = [None] * partitions
        self.assigned = [None] * partitions
        self.generation = 1
        self.http = HttpServer(self.handle)
        self.refused_appends = 0
        self.on_refused = lambda text: None

    def put(self, topic, part, key, value):
        log = self.logs.setdefault((topic, part), [])
        newest = self.newest.setdefault((topic, part), {})
        if value:
            newest[key] = (len(log), value)
        else:
            newest.pop(key, None)
        log.append((key, value))

    async def handle(self, method, target, headers, body):
        parts = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(parts.query).items()}
        name = (query.get("topic", ""), int(query.get("part", "0")))
        if parts.path == "/log-append":
            return await self.append(name, query, body)
        if parts.path == "/log-newest":
            return self.read_newest(name, query)
        if parts.path == "/log-read":
            return await self.read(name, query)
        if parts.path == "/log-join":
            return self.join(json.loads(body))
        if parts.path == "/log-leave":
            self.expire()
            if self.members.pop(json.loads(body)["member"], None) is not None:
                self.assign()
            return 200, {}
        if parts.path == "/log-owners":
            return 200, {"parts": [["keyed.jobs", i, holder, 0]
                                   for i, holder in enumerate(self.holders) if holder]}
        return 404, {}

    async def append(self, name, query, body):
        await asyncio.sleep(self.append_ms / 1000)
        log = self.logs.setdefault(name, [])
        if "at" in query and int(query["at"]) != len(log):
            return 412, {"end": len(log)}
        records = []
        position = 0
        while position + 4 <= len(body):
            length = int.from_bytes(body[position:position + 4], "big")
            records.append(body[position + 4:position + 4 + length])
            position += 4 + length
        largest = max((len(record) for record in records), default=0)
        if largest > self.record_bytes or sum(map(len, records)) > self.call_bytes:
            self.refused_appends += 1
            self.on_refused(f"store refuses an append to {name}: {len(records)} records, the "
                            f"largest of {largest} bytes")
            return 400, {"error": "a record or the call is too large"}
        offset = len(log)
        for record in records:
            key_length = record[0]
            key = record[1:1 + key_length].decode()
            self.put(name[0], name[1], key, record[1 + key_length:])
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, {"offset": offset, "end": len(log)}

    def read_newest(self, name, query):
        newest = self.newest.get(name, {})
        keys = sorted(key for key in newest if key > query.get("after", ""))
        items = []
        size = 0
        for key in keys:
            offset, value = newest[key]
            if len(items) >= 500 or (items and size + len(value) > 1_000_000):
                break
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "has_more": len(items) < len(keys),
                     "end": len(self.logs.get(name, []))}

    async def read(self, name, query):
        start = int(query["from"])
        deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while len(self.logs.get(name, [])) <= start and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        log = self.logs.get(name, [])
        body = len(log).to_bytes(8, "big") + (0).to_bytes(8, "big")
        size = 0
        for key, value in log[start:]:
            record = bytes([len(key)]) + key.encode() + value
            size += len(record)
            if size > int(query.get("max_fetch_kb", "1024")) * 1024:
                break
            body += len(record).to_bytes(4, "big") + record
        return 200, body

    def expire(self):
        now = time.monotonic()
        gone = [name for name, expiry in self.members.items() if expiry < now]
        for name in gone:
            del self.members[name]
        if gone:
            self.assign()

    def assign(self):
        self.generation += 1
        names = sorted(self.members)
        for i in range(self.partitions):
            self.assigned[i] = names[i % len(names)] if names else None
            if self.holders[i] not in self.members:
                self.holders[i] = self.assigned[i]

    def join(self, body):
        self.expire()
        member = body["member"]
        added = member not in self.members
        self.members[member] = time.monotonic() + body["ttl_ms"] / 1000
        if added:
            self.assign()
        held = []
        for i in range(self.partitions):
            leaves = self.holders[i] == member and self.assigned[i] != member
            if leaves and body["generation"] >= self.generation:
                self.holders[i] = self.assigned[i]
            if self.holders[i] == member and self.assigned[i] == member:
                held.append([body["topics"][0], i, 0])
        return 200, {"generation": self.generation, "parts": held}


class Worker:
    """A worker of the service "desk". A task's work and CPU stand in its job's spec, as JSON."""

    def __init__(self, name, ip, port, agent, record, cpu=32000, labels=("a", "r1-1"), mem_mb=65536,
                 heartbeat_s=1.5, first_heartbeat_s=0.0):
        self.id = name
        self.ip, self.port, self.agent = ip, port, agent
        self.record = record
        self.cpu, self.labels, self.mem_mb = cpu, list(labels), mem_mb
        self.heartbeat_s = heartbeat_s
        self.first_heartbeat_s = first_heartbeat_s
        self.up = False
        self.http = HttpServer(self.handle)
        self.life = 0
        self.born = 0
        self.draining = False
        self.on_start = lambda worker, task, run, spec: None
        self.on_end = lambda worker, task, run, how: None

    def clock_ms(self):
        return int((time.monotonic() - self.clock_start) * 1000)

    async def start(self):
        self.clock_start = time.monotonic()
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.life += 1
        self.sequence = 0
        self.runs = {}
        self.last_ended = {}
        self.ends = []
        self.end_number = 0
        self.token = 0
        self.lease_until = 0
        self.ended = asyncio.Event()
        await self.http.start(self.ip, self.port)
        self.up = True
        self.record.write(f"{self.id} starts, life {self.life}, cpu {self.cpu}, {self.labels}")
        asyncio.ensure_future(self.heartbeats(self.life))
        asyncio.ensure_future(self.work(self.life))

    def crash(self):
        self.up = False
        self.life += 1
        self.http.stop()
        self.record.write(f"{self.id} goes down with {sorted(self.runs)}")
        for task, run in self.runs.items():
            self.on_end(self, task, run["run"], "crashed")
        self.runs = {}

    async def heartbeats(self, life):
        await asyncio.sleep(self.first_heartbeat_s)
        while self.up and self.life == life:
            self.sequence += 1
            body = {"service": "desk", "address": f"{self.ip}:{self.port}", "zone": "z-a",
                    "version": "v1", "slots": 8, "state": "draining" if self.draining else "ready",
                    "cold_remaining_ms": 0,
                    "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
                    "labels": self.labels, "clock_ms": self.clock_ms(), "born": self.born,
                    "sequence": self.sequence}
            first = self.sequence == 1
            status, _ = await call(*self.agent, "POST", "/Workers.Heartbeat/" + self.id,
                                   json.dumps(body).encode(), timeout=1.0)
            if first or status != 200:
                self.record.write(f"{self.id} heartbeat {self.sequence}: {status}")
            if status is None and self.sequence == 1:
                self.sequence = 0  # The agent does not listen yet.
                await asyncio.sleep(0.1)
                continue
            await asyncio.sleep(self.heartbeat_s)

    async def work(self, life):
        last = time.monotonic()
        while self.up and self.life == life:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            elapsed, last = (now - last) * 1000, now
            lapsed = self.clock_ms() > self.lease_until
            for task, run in list(self.runs.items()):
                run["left"] -= elapsed
                if lapsed:
                    self.end(task, "lapsed")
                elif run["stopping"]:
                    self.end(task, "stopped")
                elif run["left"] <= 0:
                    self.end(task, "done")

    def end(self, task, how):
        run = self.runs.pop(task)["run"]
        self.last_ended[task] = max(run, self.last_ended.get(task, 0))
        self.end_number += 1
        self.ends.append([self.end_number, task, run, how, ""])
        self.record.write(f"{self.id} ended {task} run {run}: {how}")
        self.on_end(self, task, run, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "born": self.born, "reason": reason}

    async def handle(self, method, target, headers, body):
        if headers.get("x-target-instance", self.id) != self.id:
            return 421, {}
        request = json.loads(body)
        token = request.get("fencing_token", 0)
        if token < self.token:
            return self.refuse("fence")
        self.token = token
        if target == "/run-start":
            return self.start_run(request)
        if target == "/run-stop":
            return self.stop_run(request)
        if target == "/hold":
            return await self.hold(request)
        return 404, {}

    def extend(self, until_ms):
        self.lease_until = max(self.lease_until, min(until_ms, self.clock_ms() + 1000))

    def start_run(self, request):
        task, run = request["task"], request["run"]
        if request["until_ms"] < self.clock_ms():
            return self.refuse("late")
        self.extend(request["until_ms"])
        present = self.runs.get(task)
        if present is not None:
            if present["run"] == run:
                return 200, {"clock_ms": self.clock_ms(), "born": self.born}
            return self.refuse("old")
        if run <= self.last_ended.get(task, 0):
            return self.refuse("old")
        spec = json.loads(request["spec"])
        self.runs[task] = {"run": run, "left": float(spec["work_ms"]), "stopping": False,
                           "cpu": spec["cpu"]}
        self.record.write(f"{self.id} starts {task} run {run}, in use "
                          f"{sum(each['cpu'] for each in self.runs.values())} of {self.cpu}")
        self.on_start(self, task, run, request["spec"])
        return 200, {"clock_ms": self.clock_ms(), "born": self.born}

    def stop_run(self, request):
        task, run = request["task"], request["run"]
        present = self.runs.get(task)
        if present is not None and present["run"] <= run:
            present["stopping"] = True
        self.last_ended[task] = max(run, self.last_ended.get(task, 0))
        return 200, {"clock_ms": self.clock_ms(), "born": self.born}

    async def hold(self, request):
        if "until_ms" in request:
            self.extend(request["until_ms"])
        self.ends = [end for end in self.ends if end[0] > request["ack_cursor"]]
        wait_ms = request.get("wait_ms", 0)
        if wait_ms and not self.ends:
            try:
                await asyncio.wait_for(self.ended.wait(), wait_ms / 1000)
            except asyncio.TimeoutError:
                pass
        active = [[task, run["run"], "", 50] for task, run in self.runs.items()]
        return 200, {"clock_ms": self.clock_ms(), "born": self.born, "active_runs": active,
                     "finished_runs": self.ends[:500]}
