"""Reads the state of a socket from the kernel, ahead of the event loop."""

from __future__ import annotations

import asyncio
import select


def has_peer_closed(transport: asyncio.Transport) -> bool:
    """Return whether the peer has closed, half-closed or reset the connection, even with data unread."""
    return _poll(transport, select.POLLRDHUP)


def has_unread_input(transport: asyncio.Transport) -> bool:
    """Return whether a read would return at once with data, the end of the stream or an error."""
    return _poll(transport, select.POLLIN)


def _poll(transport: asyncio.Transport, event: int) -> bool:
    """Return whether the event is pending on the socket; errors and hang-ups always count."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket"), event)
    return bool(poll.poll(0))
