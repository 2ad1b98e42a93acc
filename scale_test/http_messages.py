"""HTTP messages of the fakes and the clients."""

from __future__ import annotations

END_OF_HEAD = b"\r\n\r\n"


def ok_head(body_size: int) -> bytes:
    """The head of a response with status 200."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % body_size


def ok_response(body: bytes) -> bytes:
    """A response with status 200."""
    return ok_head(len(body)) + body


def is_ok(head: bytes) -> bool:
    """Whether a response's head has status 200."""
    return head.lower().startswith(b"http/1.1 200")


def content_length(head: bytes) -> int:
    """The size of the body that follows a head."""
    return int(head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0])
