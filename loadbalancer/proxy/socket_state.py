"""TODO"""

from __future__ import annotations

import asyncio
import select

CLOSED = select.POLLRDHUP  # the other side has ended its sending, maybe behind unread bytes, or all is broken
UNREAD = select.POLLIN  # that, or bytes


def socket_shows(transport: asyncio.Transport, event: int) -> bool:
    poll = select.poll()
    poll.register(transport.get_extra_info("socket"), event)
    return bool(poll.poll(0))
