"""HTTP/1.1 messages on streams, as far as the stand-ins need them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

READ_BYTES = 65_536
OK = 200


class BrokenMessageError(Exception):
    """The peer closed or reset the connection in the middle of a message, or sent something else."""


@dataclass
class Message:
    """A request or a response, with the names of its headers in lower case."""

    start_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start_line.split()[1])

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start_line.split()[0]

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start_line.split()[1]

    @property
    def closes(self) -> bool:
        """Whether the connection ends after this message."""
        return self.headers.get("connection", "").lower() == "close"


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with its body; None if the connection ended before the first byte.

    Raises:
        BrokenMessageError: The connection ended in the middle of the message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenMessageError("ended in the headers") from error
        return None
    except (ConnectionError, asyncio.LimitOverrunError) as error:
        raise BrokenMessageError(repr(error)) from error
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    message = Message(lines[0], headers)
    try:
        message.body = await _read_body(reader, headers)
    except (ConnectionError, asyncio.IncompleteReadError) as error:
        raise BrokenMessageError("ended in the body") from error
    return message


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


def format_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request; its length is added where there is a body to be expected."""
    lines = [f"{method} {target} HTTP/1.1", "Host: service.internal"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def format_response(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Return the bytes of a response with its length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
