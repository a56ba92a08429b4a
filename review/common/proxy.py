"""A TCP proxy that can be cut, as a partition does: bytes vanish, and nothing is reset."""

import asyncio


class Proxy:
    def __init__(self, target):
        self._target = target
        self._cut = False
        self._server = None
        self._writers = set()

    async def start(self, ip, port):
        self._server = await asyncio.start_server(self._serve, ip, port)

    def stop(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def cut(self):
        """Discards all bytes, on the open connections and on new ones."""
        self._cut = True

    def heal(self):
        """New connections work again; those that have lost bytes stay silent."""
        self._cut = False

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        other = None
        try:
            state = {"silent": self._cut}
            if self._cut:
                while await reader.read(65536):
                    pass
                return
            other_reader, other = await asyncio.open_connection(*self._target)
            self._writers.add(other)
            await asyncio.gather(self._pump(reader, other, state),
                                 self._pump(other_reader, writer, state))
        except (OSError, ConnectionError):
            pass
        finally:
            for each in (writer, other):
                if each is not None:
                    self._writers.discard(each)
                    each.transport.abort()

    async def _pump(self, source, destination, state):
        try:
            while data := await source.read(65536):
                state["silent"] = state["silent"] or self._cut
                if not state["silent"]:
                    destination.write(data)
                    await destination.drain()
        except (OSError, ConnectionError):
            pass
        finally:
            if not state["silent"]:
                destination.transport.abort()
