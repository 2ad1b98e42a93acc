"""Throughput by level of concurrency."""

from __future__ import annotations

import pytest

from loadbalancer.state.throughput_samples import ThroughputSamples


def add_completions(samples: ThroughputSamples, level: int, count: int) -> None:
    """Add a number of requests that finished at a level."""
    for _ in range(count):
        samples.add_completion(level)


def test_throughput_is_completions_per_second_at_the_level() -> None:
    samples = ThroughputSamples(4, 8)
    samples.add_time(2, 1.5)
    samples.add_time(2, 0.5)
    add_completions(samples, 2, 10)
    assert samples.throughput(2) == 5.0


def test_few_completions_give_no_throughput() -> None:
    samples = ThroughputSamples(4, 8)
    samples.add_time(1, 1.0)
    add_completions(samples, 1, 7)
    assert samples.throughput(1) == 0.0


def test_levels_above_the_top_are_recorded_as_the_top() -> None:
    samples = ThroughputSamples(4, 1)
    samples.add_time(9, 2.0)
    add_completions(samples, 5, 4)
    assert samples.throughput(4) == 2.0


def test_a_clock_that_stands_still_causes_no_division_by_zero() -> None:
    samples = ThroughputSamples(4, 1)
    add_completions(samples, 1, 2)
    assert samples.throughput(1) == 2000.0


def test_decay_applies_to_all_levels_and_keeps_the_throughput() -> None:
    samples = ThroughputSamples(4, 1)
    for level in (1, 4):
        samples.add_time(level, 2.0)
        add_completions(samples, level, 8)
    samples.decay(0.5)
    assert samples.completions[1:] == [4.0, 0.0, 0.0, 4.0]
    assert samples.throughput(4) == pytest.approx(4.0)
