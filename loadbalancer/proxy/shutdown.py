"""Graceful shutdown: how long a proxy goes on after SIGTERM, and the wait until all is answered.

A proxy that drains still accepts connections and requests; each answer closes its connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from loadbalancer.settings import RequestClass
from loadbalancer.units import NANOSECONDS_PER_SECOND

LATE_CONNECTIONS_S = 0.5  # after SIGTERM, new connections go on coming for so long
POLL_INTERVAL_S = 0.01
# SIGKILL comes no sooner than the longest client timeout (MAX_CLIENT_TIMEOUT_S at most) and this grace period
# after SIGTERM.
MAX_CLIENT_TIMEOUT_S = 3.0
KILL_GRACE_S = 0.7
FINAL_RESPONSES_S = 0.2  # before SIGKILL, so that the responses to what is still pending can go out


def shutdown_timeout_s(request_classes: Iterable[RequestClass]) -> float:
    """Tell how long after SIGTERM a proxy may go on: what is open at SIGKILL gets no answer."""
    longest_s = max(
        (c.client_timeout_ns / NANOSECONDS_PER_SECOND or MAX_CLIENT_TIMEOUT_S for c in request_classes),
        default=MAX_CLIENT_TIMEOUT_S,
    )
    return min(longest_s, MAX_CLIENT_TIMEOUT_S) + KILL_GRACE_S - FINAL_RESPONSES_S


async def wait_until_drained(is_drained: Callable[[], bool], end_s: float) -> bool:
    """Wait until nothing is open any more.

    Args:
        is_drained: Whether that is so; asked again and again once late connections have had their time.
        end_s: The time of the event loop's clock at which to give up.

    Returns:
        Whether all was answered in time.
    """
    loop = asyncio.get_running_loop()
    await asyncio.sleep(LATE_CONNECTIONS_S)
    while not is_drained():
        if loop.time() >= end_s:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return True
