"""Builds and reads the HTTP messages of the fake services and the clients."""

from __future__ import annotations

END_OF_HEAD = b"\r\n\r\n"


def ok_head(body_size: int) -> bytes:
    """Return the head of a response with status 200."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % body_size


def ok_response(body: bytes) -> bytes:
    """Return a response with status 200."""
    return ok_head(len(body)) + body


def is_ok(head: bytes) -> bool:
    """Return whether the head of a response has status 200."""
    return head.lower().startswith(b"http/1.1 200")


def content_length(head: bytes) -> int:
    """Return the size of the body that follows a head, by its Content-Length."""
    return int(head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0])
