"""HTTP/1.1 messages over asyncio streams, as far as the stand-ins need them."""

import asyncio
import contextlib
import struct
from dataclasses import dataclass, field
from socket import SO_LINGER, SOL_SOCKET

REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed"}


@dataclass
class Message:
    """A request or a response; header names are in lower case."""

    first_line: str
    headers: list = field(default_factory=list)
    body: bytes = b""

    def header(self, name, default=None):
        """Return the first header with a lower-case name."""
        return next((value for key, value in self.headers if key == name), default)

    @property
    def method(self):
        """Return the method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self):
        """Return the target of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self):
        """Return the status of a response."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader):
    """Read a head; return a message without a body, or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first_line, *lines = data.decode("latin-1")[:-4].split("\r\n")
    pairs = [line.partition(":") for line in lines]
    headers = [(name.strip().lower(), value.strip()) for name, _, value in pairs]
    return Message(first_line, headers)


async def read_message(reader):
    """Read a message with its body; return None if the connection ends before."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if message.header("transfer-encoding", "").lower() == "chunked":
            async for piece in read_chunks(reader):
                message.body += piece
        elif message.header("content-length"):
            length = int(message.header("content-length"))
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


async def read_chunks(reader):
    """Yield the chunks of a body; raise IncompleteReadError if it ends early."""
    while True:
        line = await reader.readuntil(b"\r\n")
        length = int(line.split(b";")[0], 16)
        piece = await reader.readexactly(length + 2)
        if not length:
            return
        yield piece[:-2]


def encode(first_line, headers, body=b"", *, is_sized=True):
    """Encode a message; ``headers`` are pairs of texts."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    if is_sized:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_response(status, headers, body=b"", *, is_sized=True):
    """Encode a response."""
    reason = REASONS.get(status, "Status")
    return encode(f"HTTP/1.1 {status} {reason}", headers, body, is_sized=is_sized)


async def serve(handle, host, port=0):
    """Call ``handle(request, reader, writer)`` for each request of each connection.

    It returns whether the connection stays open. Returns the server.
    """

    async def run(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while True:
                request = await read_message(reader)
                if request is None or not await handle(request, reader, writer):
                    break
        with contextlib.suppress(ConnectionError, RuntimeError):
            writer.close()

    return await asyncio.start_server(run, host, port, limit=1 << 20)


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
