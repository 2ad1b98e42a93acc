"""Waits for a condition, with a timeout."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

WAIT_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.001


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds; fail the test after `WAIT_TIMEOUT_S`."""
    end_s = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < end_s, "condition not met before the timeout"
        await asyncio.sleep(POLL_INTERVAL_S)
