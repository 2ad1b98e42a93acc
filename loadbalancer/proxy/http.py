"""HTTP/1.1 messages without I/O, and their serialization; `message_reader` parses them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from loadbalancer.proxy.http_status import REASON_PHRASES

# Longer numbers in headers are invalid.
MAX_DECIMAL_DIGITS = 15

# Headers that apply to one connection, or to the framing of one message: a proxy does not forward them.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)

Headers = Iterable[tuple[bytes, bytes]]
"""Names and values, in the order in which they are sent."""


@dataclass(slots=True, eq=False)
class Message:
    """A complete request (with `method` and `target`) or response (with `status`)."""

    headers: list[tuple[bytes, bytes]]
    """Names in lower case and values, in the order received."""
    body: bytearray
    keep_alive: bool
    method: bytes = b""
    target: bytes = b""
    status: int = 0
    held_bytes: int = 0
    """The memory that the message takes, estimated from above."""
    _first_values: dict[bytes, bytes] = field(init=False)

    def __post_init__(self) -> None:
        self._first_values = dict(reversed(self.headers))

    def header(self, name: bytes) -> bytes:
        """Return the first value of the header with this lower-case name; empty if there is none."""
        return self._first_values.get(name, b"")

    def end_to_end(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that a proxy forwards."""
        connection = self.header(b"connection")
        connection_options = {name.strip().lower() for name in connection.split(b",")} if connection else ()
        return [
            (name, value)
            for name, value in self.headers
            if name not in HOP_BY_HOP_HEADERS and name not in connection_options
        ]


def _serialize_message(
    start_line: bytes, headers: Headers, body: bytes | bytearray, *, with_length: bool
) -> bytes:
    lines = [start_line, *(name + b": " + value for name, value in headers)]
    if with_length:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def write_request(method: bytes, target: bytes, headers: Headers, body: bytes | bytearray = b"") -> bytes:
    """Serialize a request; its Content-Length is added, except to a GET without a body."""
    with_length = bool(body) or method != b"GET"
    return _serialize_message(method + b" " + target + b" HTTP/1.1", headers, body, with_length=with_length)


def write_response(status: int, headers: Headers, body: bytes | bytearray, *, close: bool) -> bytes:
    """Serialize a response with its Content-Length; `close` adds `Connection: close`."""
    reason = REASON_PHRASES.get(status, "Unknown").encode()
    connection = [(b"Connection", b"close")] if close else []
    status_line = b"HTTP/1.1 %d %s" % (status, reason)
    return _serialize_message(status_line, [*headers, *connection], body, with_length=True)


def parse_decimal(text: bytes) -> int | None:
    """Parse a decimal number in a header; None if it is invalid or has over `MAX_DECIMAL_DIGITS` digits."""
    return int(text) if text.isdigit() and len(text) <= MAX_DECIMAL_DIGITS else None
