"""What the kernel knows of a socket before the event loop has read it."""

from __future__ import annotations

import asyncio
import select


def has_peer_closed(transport: asyncio.Transport) -> bool:
    """Return whether the peer has ended its sending, maybe behind unread bytes, or broken the connection."""
    return _poll(transport, select.POLLRDHUP)


def has_unread_input(transport: asyncio.Transport) -> bool:
    """Return whether a read would give something at once: bytes, the end of the stream or an error."""
    return _poll(transport, select.POLLIN)


def _poll(transport: asyncio.Transport, event: int) -> bool:
    """Return whether the socket shows the event now; errors and hang-ups always count as shown."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket"), event)
    return bool(poll.poll(0))
