"""Whether an overdue attempt is hedged."""

from __future__ import annotations

import pytest

from loadbalancer.policy.hedging import should_hedge
from loadbalancer.settings import Limits
from tests.support.policy_harness import NANOSECONDS_PER_MILLISECOND, START_NS
from tests.support.requests import add_attempt, make_request, make_state


@pytest.mark.parametrize(
    ("queue_length", "cancellation", "after_ms", "hedged"),
    [
        (0, True, 250, True),  # the expected duration is 50 ms, the latency objective 300 ms
        (0, True, 251, False),
        (1, True, 100, False),
        (0, False, 100, False),
    ],
)
def test_hedging_needs_time_an_empty_queue_and_cancellation(
    queue_length: int, cancellation: bool, after_ms: int, hedged: bool
) -> None:
    request = make_request()
    overdue = add_attempt(request, make_state(), expected_ms=50)
    now_ns = START_NS + after_ms * NANOSECONDS_PER_MILLISECOND
    limits = Limits(hedging=True, cancellation=cancellation)
    assert should_hedge(request, overdue, queue_length, limits, now_ns) is hedged
