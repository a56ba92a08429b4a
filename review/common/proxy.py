"""A TCP proxy whose connections can be cut, as a partition does: bytes vanish, nothing is reset."""

import asyncio


class Proxy:
    """`label_of(first_bytes)` names the peer of a connection, so that single peers can be cut."""

    def __init__(self, target, label_of=lambda _: ""):
        self._target = target
        self._label_of = label_of
        self._cut = set()
        self._server = None
        self._writers = set()

    async def start(self, ip, port):
        self._server = await asyncio.start_server(self._serve, ip, port)

    def stop(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def cut(self, label):
        """Discards all bytes to and from the peer, on the open connections and on new ones."""
        self._cut.add(label)

    def heal(self, label):
        """New connections of the peer work again; those that have lost bytes stay silent."""
        self._cut.discard(label)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        other = None
        try:
            first = await reader.read(65536)
            label = self._label_of(first)
            state = {"silent": label in self._cut}
            if state["silent"]:
                while await reader.read(65536):
                    pass
                return
            other_reader, other = await asyncio.open_connection(*self._target)
            self._writers.add(other)
            other.write(first)
            await asyncio.gather(self._pump(reader, other, label, state),
                                 self._pump(other_reader, writer, label, state))
        except (OSError, ConnectionError):
            pass
        finally:
            for each in (writer, other):
                if each is not None:
                    self._writers.discard(each)
                    each.transport.abort()

    async def _pump(self, source, destination, label, state):
        try:
            while True:
                data = await source.read(65536)
                state["silent"] = state["silent"] or label in self._cut
                if not data:
                    break
                if not state["silent"]:
                    destination.write(data)
                    await destination.drain()
        except (OSError, ConnectionError):
            pass
        finally:
            if not state["silent"]:
                destination.transport.abort()
