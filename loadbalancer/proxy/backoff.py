"""Exponential backoff with jitter."""

from __future__ import annotations

import random

INITIAL_DELAY_S = 0.05
MAX_DELAY_S = 1.0

# More than reach MAX_DELAY_S; keeps the power finite however often a call fails.
MAX_DOUBLINGS = 10

# Part of the delay, to either side, so that the calls of many proxies stay spread.
JITTER_FRACTION = 0.25


class Backoff:
    """Counts failures in a row, and returns the delay before the next retry."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.failures = 0

    def record_failure(self) -> None:
        """Count a failure."""
        self.failures += 1

    def reset(self) -> None:
        """Start again after a success."""
        self.failures = 0

    def delay_s(self) -> float:
        """Return the delay before the next retry; at least one failure must have been recorded."""
        doublings = min(self.failures - 1, MAX_DOUBLINGS)
        delay_s: float = min(MAX_DELAY_S, INITIAL_DELAY_S * 2.0**doublings)
        return delay_s * self._rng.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)
