"""Exponential backoff with jitter."""

from __future__ import annotations

import random

INITIAL_DELAY_S = 0.05
MAX_DELAY_S = 1.0
MAX_DOUBLINGS = 10  # keeps the power small, however often a call fails
JITTER = 0.25  # part of the delay, to either side: the calls of many proxies stay spread


class Backoff:
    """The number of failures in a row, and the delay before the next retry that follows from it."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.failures = 0

    def record_failure(self) -> None:
        """Count a failure."""
        self.failures += 1

    def reset(self) -> None:
        """Start anew after a success."""
        self.failures = 0

    def delay_s(self) -> float:
        """Return the seconds before the next retry, after one failure at least."""
        doublings = min(self.failures - 1, MAX_DOUBLINGS)
        delay_s: float = min(MAX_DELAY_S, INITIAL_DELAY_S * 2.0**doublings)
        return delay_s * self._rng.uniform(1 - JITTER, 1 + JITTER)
