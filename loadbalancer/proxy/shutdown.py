"""Graceful shutdown: its timeout after SIGTERM, and the wait until the proxy is drained.

While it drains, the proxy still accepts requests, and each response closes its connection. New connections
are accepted until the listen backlog is found empty, for at least `LATE_CONNECTIONS_S`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from loadbalancer.settings import RequestClass
from loadbalancer.units import NANOSECONDS_PER_SECOND

# How long clients continue to open new connections after SIGTERM.
LATE_CONNECTIONS_S = 0.5

DRAINED_CHECK_INTERVAL_S = 0.01

# SIGKILL follows SIGTERM after the longest client timeout, which is at most `MAX_CLIENT_TIMEOUT_S`, plus
# `KILL_GRACE_PERIOD_S`.
MAX_CLIENT_TIMEOUT_S = 3.0
KILL_GRACE_PERIOD_S = 0.7

# Time left before SIGKILL for sending the final responses to pending requests.
FINAL_RESPONSES_S = 0.2


def shutdown_timeout_s(request_classes: Iterable[RequestClass]) -> float:
    """Return how long after SIGTERM a proxy may drain, so that it can send final responses before SIGKILL."""
    longest_s = max(
        (c.client_timeout_ns / NANOSECONDS_PER_SECOND or MAX_CLIENT_TIMEOUT_S for c in request_classes),
        default=MAX_CLIENT_TIMEOUT_S,
    )
    return min(longest_s, MAX_CLIENT_TIMEOUT_S) + KILL_GRACE_PERIOD_S - FINAL_RESPONSES_S


async def wait_until_drained(continue_draining: Callable[[], bool], deadline_s: float) -> bool:
    """Wait until all requests have their responses.

    Args:
        continue_draining: Takes the next step of the shutdown, and returns whether all responses are sent;
            called repeatedly after `LATE_CONNECTIONS_S`.
        deadline_s: When to stop waiting, on the event loop's clock.

    Returns:
        Whether the proxy was drained in time.
    """
    loop = asyncio.get_running_loop()
    await asyncio.sleep(LATE_CONNECTIONS_S)
    while not continue_draining():
        if loop.time() >= deadline_s:
            return False
        await asyncio.sleep(DRAINED_CHECK_INTERVAL_S)
    return True
