"""Exponential backoff with jitter."""

from __future__ import annotations

import random

INITIAL_DELAY_S = 0.05
MAX_DELAY_S = 1.0

# Enough to reach MAX_DELAY_S; without this bound, the power would overflow after very many failures.
MAX_DOUBLINGS = 10

# Fraction by which the delay varies to either side, so that the retries of many proxies do not synchronize.
JITTER_FRACTION = 0.25


class Backoff:
    """Counts consecutive failures, and returns the delay before the next retry."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.failures = 0

    def record_failure(self) -> None:
        """Count one more failure."""
        self.failures += 1

    def reset(self) -> None:
        """Reset the count after a success."""
        self.failures = 0

    def delay_s(self) -> float:
        """Return the delay before the next retry; at least one failure must have been recorded before."""
        doublings = min(self.failures - 1, MAX_DOUBLINGS)
        delay_s: float = min(MAX_DELAY_S, INITIAL_DELAY_S * 2.0**doublings)
        return delay_s * self._rng.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)
