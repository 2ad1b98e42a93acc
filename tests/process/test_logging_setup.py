"""The rate limit on log lines."""

from __future__ import annotations

import logging

import pytest

from loadbalancer import logging_setup
from loadbalancer.logging_setup import MAX_LINES_PER_SECOND, LogRateLimiter


class ManualClock:
    """A monotonic clock that stands still until it is set."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


def record(text: str) -> logging.LogRecord:
    return logging.LogRecord("test", logging.INFO, __file__, 1, "line %s", (text,), None)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> ManualClock:
    clock = ManualClock()
    monkeypatch.setattr(logging_setup, "time", clock)
    return clock


def test_lines_beyond_the_rate_are_dropped_and_counted_in_the_next_second(clock: ManualClock) -> None:
    limiter = LogRateLimiter()
    passed = [limiter.filter(record("a")) for _ in range(MAX_LINES_PER_SECOND + 3)]
    clock.now_s += 1
    first, second = record("b"), record("c")
    assert passed == [True] * MAX_LINES_PER_SECOND + [False] * 3
    assert limiter.filter(first)
    assert first.getMessage() == "line b (3 lines left out)"
    assert limiter.filter(second)
    assert second.getMessage() == "line c"


def test_no_count_is_reported_if_no_line_was_dropped(clock: ManualClock) -> None:
    limiter = LogRateLimiter()
    assert limiter.filter(record("a"))
    clock.now_s += 1
    following = record("b")
    assert limiter.filter(following)
    assert following.getMessage() == "line b"
