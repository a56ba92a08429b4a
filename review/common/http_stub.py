"""A small HTTP/1.1 server and client on asyncio, used by the stand-ins."""

import asyncio
import json


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Returns the first line and the headers, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


class HttpServer:
    """Serves one request at a time on each connection. `handle` returns (status, body) with the
    body as bytes or as an object that is sent as JSON; None closes the connection unanswered."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()

    async def start(self, ip, port):
        self._server = await asyncio.start_server(self._serve, ip, port, limit=1 << 22)

    def stop(self):
        """Refuses new connections and closes the open ones, as when the process is gone."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                length = int(head[1].get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                answer = await self._handle(Request(method, target, head[1], body))
                if answer is None:
                    break
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                writer.write(
                    b"HTTP/1.1 %d -\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                    % (status, len(content)) + content)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class NotSent(Exception):
    """The connection could not be made."""


class NoAnswer(Exception):
    """The request may have been carried out, but no complete answer arrived."""


async def call(address, method, target, headers=None, body=None, timeout=5.0):
    """Sends a request on a connection of its own and returns (status, decoded body)."""
    ip, port = address
    writer = None
    try:
        async with asyncio.timeout(timeout):
            try:
                reader, writer = await asyncio.open_connection(ip, port)
            except OSError as error:
                raise NotSent(str(error)) from error
            content = b"" if body is None else json.dumps(body).encode()
            fields = {"host": f"{ip}:{port}", "content-type": "application/json",
                      "content-length": str(len(content)), **(headers or {})}
            head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + content)
            await writer.drain()
            answer = await read_head(reader)
            if answer is None:
                raise NoAnswer("the connection ended")
            length = int(answer[1].get("content-length", "0"))
            text = await reader.readexactly(length) if length else b""
            status = int(answer[0].split(" ")[1])
            try:
                return status, json.loads(text) if text else {}
            except ValueError:
                return status, {}
    except TimeoutError as error:
        raise NoAnswer("no answer in time") from error
    except (OSError, asyncio.IncompleteReadError) as error:
        raise NoAnswer(str(error)) from error
    finally:
        if writer is not None:
            writer.transport.abort()
