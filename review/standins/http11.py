"""A small HTTP/1.1 server and client of the stand-ins, on asyncio."""

import asyncio
import json
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 65_536


class BrokenMessageError(Exception):
    """A message that ended early or is no HTTP."""


@dataclass(kw_only=True)
class Message:
    """A request or a response; header names are in lower case."""

    start: str
    headers: list
    body: bytes = b""

    def header(self, name):
        """Return the first value of a header, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def json(self):
        """Return the body as JSON, or an empty object."""
        return json.loads(self.body) if self.body else {}


async def read_head(reader):
    """Read the start line and the headers; return None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenMessageError("ended within a head") from error
        return None
    start, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = [(name.lower(), value.strip()) for name, _, value in pairs]
    return Message(start=start, headers=headers)


async def read_chunks(reader):
    """Yield the chunks of a chunked body; raise BrokenMessageError if it breaks."""
    try:
        while True:
            n_bytes = int(await reader.readuntil(b"\r\n"), 16)
            chunk = await reader.readexactly(n_bytes)
            await reader.readexactly(2)
            if not n_bytes:
                return
            yield chunk
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise BrokenMessageError(f"the body broke off: {error!r}") from error


async def read_body(reader, message):
    """Yield the parts of a body as they arrive.

    Raises
    ------
    BrokenMessageError
        If it ends before its length, or is reset.
    """
    if (message.header("transfer-encoding") or "").lower() == "chunked":
        async for chunk in read_chunks(reader):
            yield chunk
        return
    length = message.header("content-length")
    n_left = int(length) if length is not None else None
    try:
        while n_left is None or n_left:
            data = await reader.read(n_left or 65_536)
            if not data:
                if n_left is None:
                    return
                raise BrokenMessageError(f"{n_left} bytes of the body are missing")
            if n_left is not None:
                n_left -= len(data)
            yield data
    except OSError as error:
        raise BrokenMessageError(f"the body broke off: {error!r}") from error


async def read_request(reader):
    """Read a whole request, or return None at the end of the stream."""
    message = await read_head(reader)
    if message is None:
        return None
    has_body = message.header("content-length") or message.header("transfer-encoding")
    if has_body:
        parts = [part async for part in read_body(reader, message)]
        message.body = b"".join(parts)
    return message


def encode_head(start, headers):
    """Encode a start line with headers."""
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_response(status, headers, body):
    """Encode a response with a length."""
    headers = [*headers, ("Content-Length", str(len(body)))]
    return encode_head(f"HTTP/1.1 {status} Answer", headers) + body


def encode_json(status, content):
    """Encode a response with a JSON body."""
    headers = [("Content-Type", "application/json")]
    return encode_response(status, headers, json.dumps(content).encode())


@dataclass(kw_only=True)
class Server:
    """Serves connections with ``handle(message, writer)``.

    The handler returns the bytes of a response, or None once it has written one itself
    and the connection is to be closed.
    """

    handle: object
    sockets: set = field(default_factory=set)

    async def start(self, address):
        """Listen on ``ip:port``; return the asyncio server."""
        host, port = address.rsplit(":", 1)
        return await asyncio.start_server(
            self._serve, host, int(port), limit=MAX_HEAD_BYTES, backlog=256
        )

    async def _serve(self, reader, writer):
        self.sockets.add(writer)
        try:
            while True:
                message = await read_request(reader)
                if message is None:
                    return
                response = await self.handle(message, writer)
                if response is None:
                    return
                writer.write(response)
                await writer.drain()
        except (OSError, BrokenMessageError, asyncio.LimitOverrunError):
            return
        finally:
            self.sockets.discard(writer)
            writer.close()


async def call(address, method, path, *, content=None, headers=(), timeout_s=2.0):
    """Send one request on a connection of its own; return the response.

    Raises
    ------
    OSError, BrokenMessageError, TimeoutError
        If there is no whole response in time.
    """
    async with asyncio.timeout(timeout_s):
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            body = b"" if content is None else json.dumps(content).encode()
            pairs = [("Host", address), ("Content-Length", str(len(body))), *headers]
            writer.write(encode_head(f"{method} {path} HTTP/1.1", pairs) + body)
            message = await read_head(reader)
            if message is None:
                raise BrokenMessageError("closed without an answer")
            parts = [part async for part in read_body(reader, message)]
            message.body = b"".join(parts)
            return message
        finally:
            writer.close()


def status_of(message):
    """Return the status of a response."""
    return int(message.start.split(" ", 2)[1])
