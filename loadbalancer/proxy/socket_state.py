"""Reads the state of a socket from the kernel, ahead of the event loop."""

from __future__ import annotations

import asyncio
import select
import socket

# Enough to tell the empty lines that may follow a request from the start of another one.
PEEKED_BYTES = 16


def has_peer_closed(transport: asyncio.Transport) -> bool:
    """Return whether the peer has closed, half-closed or reset the connection, even with data unread."""
    return _poll(transport, select.POLLRDHUP)


def has_unread_input(transport: asyncio.Transport) -> bool:
    """Return whether a read would return at once with data, the end of the stream or an error."""
    return _poll(transport, select.POLLIN)


def has_unread_message(accepted: socket.socket) -> bool:
    """Return whether the unread input of a socket is more than empty lines."""
    try:
        return bool(accepted.recv(PEEKED_BYTES, socket.MSG_PEEK).strip(b"\r\n"))
    except OSError:  # a reset; the event loop is about to read it
        return False


def _poll(transport: asyncio.Transport, event: int) -> bool:
    """Return whether the event is pending on the socket; errors and hang-ups always count."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket"), event)
    return bool(poll.poll(0))
