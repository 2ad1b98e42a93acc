"""When a request stops waiting for an endpoint."""

from __future__ import annotations

from loadbalancer.policy.latency_model import LatencyModel
from loadbalancer.policy.queue_deadline import queue_deadline_ns
from tests.support.policy_harness import NANOSECONDS_PER_MILLISECOND, READ, START
from tests.support.requests import make_request


def deadline_after_ms(expected_ms: int, deviation: float, deadline_ms: int = 500) -> float:
    """Return how long a request with an objective of 300 ms may wait that is expected to take so long."""
    model = LatencyModel(READ.latency_objective_ns)
    model.deviation = deviation
    hint_ns = expected_ms * NANOSECONDS_PER_MILLISECOND  # what is expected before any sample
    request = make_request(deadline_ms=deadline_ms, cost_hint_ns=hint_ns)
    return (queue_deadline_ns(request, model, START) - START) / NANOSECONDS_PER_MILLISECOND


def test_it_is_the_latest_start_that_should_meet_the_objective() -> None:
    assert deadline_after_ms(expected_ms=40, deviation=0.5) == 300 - 60


def test_a_request_may_always_wait_for_a_quarter_of_its_time() -> None:
    assert deadline_after_ms(expected_ms=400, deviation=0.5) == 125


def test_the_objective_ends_with_the_deadline() -> None:
    assert deadline_after_ms(expected_ms=40, deviation=0.0, deadline_ms=100) == 60
