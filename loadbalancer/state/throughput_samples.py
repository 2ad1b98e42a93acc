"""Throughput of endpoints at each level of concurrency."""

from __future__ import annotations

BUSY_SECONDS_MIN = 1e-3  # the clock may stand still between batches of events: no division by zero


class ThroughputSamples:
    """The seconds that endpoints spent at each level of concurrency, and the requests finished at it.

    A level is a number of requests in flight at one endpoint, from 1 to `top_level`; higher ones count as the
    top one. Fewer completions than `min_completions` give no throughput.
    """

    def __init__(self, top_level: int, min_completions: float) -> None:
        self.top_level = top_level
        self.min_completions = min_completions
        self.busy_seconds = [0.0] * (top_level + 1)
        self.completions = [0.0] * (top_level + 1)

    def add_time(self, level: int, seconds: float) -> None:
        """Add the time that one endpoint spent at a level."""
        self.busy_seconds[min(level, self.top_level)] += seconds

    def add_completion(self, level: int) -> None:
        """Add a request that finished at a level."""
        self.completions[min(level, self.top_level)] += 1

    def decay(self, factor: float) -> None:
        """Multiply all samples by a factor below 1."""
        for level in range(1, self.top_level + 1):
            self.busy_seconds[level] *= factor
            self.completions[level] *= factor

    def throughput(self, level: int) -> float:
        """Return the requests that an endpoint finishes a second at a level, 0 with too few completions."""
        if self.completions[level] < self.min_completions:
            return 0.0
        return self.completions[level] / max(BUSY_SECONDS_MIN, self.busy_seconds[level])
