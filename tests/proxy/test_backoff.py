"""Tests that the backoff grows with the failures up to its maximum, and is jittered."""

from __future__ import annotations

import random

import pytest

from loadbalancer.proxy.backoff import INITIAL_DELAY_S, JITTER_FRACTION, MAX_DELAY_S, Backoff


@pytest.mark.parametrize(
    ("failures", "delay_s"),
    [
        (1, INITIAL_DELAY_S),
        (2, 2 * INITIAL_DELAY_S),
        (4, 8 * INITIAL_DELAY_S),
        (6, MAX_DELAY_S),
        (10**6, MAX_DELAY_S),
    ],
)
def test_the_delay_doubles_up_to_its_maximum_within_the_jitter(failures: int, delay_s: float) -> None:
    backoff = Backoff(random.Random(1))
    backoff.failures = failures

    delays = [backoff.delay_s() for _ in range(200)]

    assert min(delays) >= delay_s * (1 - JITTER_FRACTION)
    assert max(delays) <= delay_s * (1 + JITTER_FRACTION)
    assert max(delays) - min(delays) > delay_s * JITTER_FRACTION


def test_a_success_resets_the_backoff() -> None:
    backoff = Backoff(random.Random(1))
    for _ in range(3):
        backoff.record_failure()
    assert backoff.failures == 3
    backoff.reset()
    assert backoff.failures == 0
