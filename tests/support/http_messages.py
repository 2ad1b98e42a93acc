"""Writes and reads the HTTP messages of test clients and servers, without the code under test."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass

HOST = "127.0.0.1"
END_OF_HEAD = b"\r\n\r\n"
READY_REQUEST = b"GET /health/ready HTTP/1.1\r\n\r\n"
REQUEST_NUMBERS = itertools.count()


@dataclass
class ReceivedMessage:
    """A received request or response; header names are in lower case."""

    start_line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start_line.split()[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start_line.split()[1]


async def read_message(reader: asyncio.StreamReader) -> ReceivedMessage:
    """Read a message; without a `Content-Length` its body is empty."""
    head = (await reader.readuntil(END_OF_HEAD)).decode().split("\r\n")
    fields = [line.split(": ", 1) for line in head[1:] if line]
    headers = {name.lower(): value for name, value in fields}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return ReceivedMessage(head[0], headers, body)


def format_response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return a response as bytes, with additional header lines."""
    lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def request(
    target: str = "/read",
    *headers: str,
    deadline_ms: int | None = 5000,
    method: str = "GET",
    body: bytes = b"",
    request_id: str = "",
) -> bytes:
    """Return a client's request as bytes, with a unique id unless `request_id` is given."""
    request_id = request_id or f"{next(REQUEST_NUMBERS):08x}"
    lines = [f"{method} {target} HTTP/1.1", "Host: service.internal", f"Req-Id: {request_id}", *headers]
    if deadline_ms is not None:
        lines.append(f"Req-Deadline-Ms: {deadline_ms}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body
