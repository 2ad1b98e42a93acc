"""Samples of the throughput of endpoints at each level of concurrency."""

from __future__ import annotations

BUSY_SECONDS_MIN = 1e-3  # avoids a division by zero if the clock has not advanced between batches of events


class ThroughputSamples:
    """The seconds that endpoints spent at each level of concurrency, and the requests finished at that level.

    A level is a number of requests in flight at one endpoint, from 1 to `top_level`; higher numbers are
    recorded as `top_level`. The throughput of a level is unknown until it has `min_completions` completions.
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
        """Count a request that finished at a level."""
        self.completions[min(level, self.top_level)] += 1

    def decay(self, factor: float) -> None:
        """Multiply all samples by a factor below 1, so that old samples lose weight."""
        for level in range(1, self.top_level + 1):
            self.busy_seconds[level] *= factor
            self.completions[level] *= factor

    def throughput(self, level: int) -> float:
        """Return the requests per second that an endpoint finishes at a level; 0 with too few completions."""
        if self.completions[level] < self.min_completions:
            return 0.0
        return self.completions[level] / max(BUSY_SECONDS_MIN, self.busy_seconds[level])
