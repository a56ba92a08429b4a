"""Stand-in of the platform's store, after PROTOCOL.md, "The platform's metadata store"."""

import asyncio
import base64
import json
import time

from http_stub import HttpServer

ANSWER_S = 0.004
APPEND_S = 0.003
PAGE_RECORDS = 500
PAGE_BYTES = 1_000_000
CALL_BYTES = 2_097_152
RECORD_BYTES = 262_144
OPERATOR_TOPICS = ("keyed.op", "keyed.servers")


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()

    def append(self, record):
        offset = len(self.records)
        self.records.append(record)
        length = record[0]
        key, value = record[1:1 + length].decode(), record[1 + length:]
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()


class Group:
    """Members of a group and the partitions that each of them holds."""

    def __init__(self, partitions):
        self.generation = 0
        self.members = {}
        self.holder = [None] * partitions
        self.target = [None] * partitions

    def _assign(self):
        """Distributes the partitions evenly and moves as few as that takes."""
        self.generation += 1
        names = sorted(self.members)
        if not names:
            self.holder = [None] * len(self.holder)
            self.target = list(self.holder)
            return
        share, rest = divmod(len(self.target), len(names))
        held = {name: [p for p, owner in enumerate(self.target) if owner == name] for name in names}
        by_load = sorted(names, key=lambda name: -len(held[name]))
        room = {name: share + (1 if rank < rest else 0) for rank, name in enumerate(by_load)}
        kept = {p for name in names for p in held[name][:room[name]]}
        free = [p for p in range(len(self.target)) if p not in kept]
        for name in names:
            for _ in range(room[name] - min(room[name], len(held[name]))):
                self.target[free.pop(0)] = name
        for p, owner in enumerate(self.holder):
            if owner not in self.members:
                self.holder[p] = self.target[p]

    def expire(self):
        now = time.monotonic()
        gone = [name for name, end in self.members.items() if end < now]
        for name in gone:
            del self.members[name]
        if gone:
            self._assign()

    def join(self, member, ttl_s, generation):
        self.expire()
        added = member not in self.members
        self.members[member] = time.monotonic() + ttl_s
        if added:
            self._assign()
        for p, owner in enumerate(self.holder):
            if owner == member and self.target[p] != member and generation >= self.generation:
                self.holder[p] = self.target[p]
        return [p for p, owner in enumerate(self.holder)
                if owner == member and self.target[p] == member]

    def leave(self, member):
        self.expire()
        if self.members.pop(member, None) is not None:
            self._assign()


class Store:
    def __init__(self, partitions=16):
        self.partitions = partitions
        self._topics = {}
        self._groups = {}
        self._server = HttpServer(self._handle)

    async def start(self, ip, port):
        await self._server.start(ip, port)

    def stop(self):
        self._server.stop()

    def put(self, topic, key, value):
        """Writes a record as the operator does."""
        name = key.encode()
        self._partition(topic, 0).append(bytes([len(name)]) + name + json.dumps(value).encode())

    def holder_of(self, group, partition):
        found = self._groups.get(group)
        return found.holder[partition] if found else None

    def _partition(self, topic, number):
        return self._topics.setdefault((topic, number), Partition())

    async def _handle(self, request):
        await asyncio.sleep(ANSWER_S)
        query = request.query
        if request.path in ("/log-append", "/log-read", "/log-newest"):
            source = self._partition(query["topic"], int(query["part"]))
            if request.path == "/log-append":
                return await self._append(request, source)
            if request.path == "/log-read":
                return await self._read(query, source)
            return self._newest(query, source)
        if request.path == "/log-owners":
            group = self._groups.get(query["group"])
            rows = [] if group is None else [
                ["keyed.jobs", p, owner, 0] for p, owner in enumerate(group.holder) if owner]
            return 200, {"owners": rows}
        if request.path in ("/log-join", "/log-leave"):
            body = json.loads(request.body)
            group = self._groups.setdefault(body["group"], Group(self.partitions))
            if request.path == "/log-leave":
                group.leave(body["member"])
                return 200, {}
            parts = group.join(body["member"], body["ttl_ms"] / 1000, body["generation"])
            return 200, {"generation": group.generation,
                         "parts": [[body["topics"][0], p, 0] for p in parts]}
        return 404, {}

    async def _append(self, request, source):
        if request.query["topic"] in OPERATOR_TOPICS:
            return 403, {}
        records, body = [], request.body
        while body:
            length = int.from_bytes(body[:4], "big")
            records.append(body[4:4 + length])
            body = body[4 + length:]
        if len(request.body) > CALL_BYTES or any(len(each) > RECORD_BYTES for each in records):
            return 413, {}
        async with source.lock:
            await asyncio.sleep(APPEND_S)
            offset = len(source.records)
            if "at" in request.query and int(request.query["at"]) != offset:
                return 412, {"end": offset}
            for record in records:
                source.append(record)
            return 200, {"offset": offset, "end": len(source.records)}

    async def _read(self, query, source):
        begin = int(query["from"])
        if len(source.records) <= begin and int(query.get("wait_ms", "0")) > 0:
            try:
                async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                    while len(source.records) <= begin:
                        await source.changed.wait()
            except TimeoutError:
                pass
        body = len(source.records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        size = 0
        for record in source.records[begin:]:
            size += len(record)
            if size > int(query.get("max_fetch_kb", "1024")) * 1024:
                break
            body += len(record).to_bytes(4, "big") + record
        return 200, body

    def _newest(self, query, source):
        keys = sorted(key for key in source.newest if key > query.get("after", ""))
        items, size = [], 0
        for key in keys:
            offset, value = source.newest[key]
            size += len(value)
            if len(items) == PAGE_RECORDS or (items and size > PAGE_BYTES):
                break
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "has_more": len(items) < len(keys),
                     "end": len(source.records)}
