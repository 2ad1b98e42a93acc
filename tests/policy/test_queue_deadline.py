"""The queue deadline by expected duration, latency objective and deadline."""

from __future__ import annotations

from loadbalancer.policy.latency_model import LatencyModel
from loadbalancer.policy.queue_deadline import queue_deadline_ns
from tests.support.policy_harness import NANOSECONDS_PER_MILLISECOND, READ, START_NS
from tests.support.requests import make_request


def queue_wait_max_ms(expected_ms: int, deviation: float, deadline_ms: int = 500) -> float:
    """Return how long a request with an objective of 300 ms and this expected duration may wait."""
    model = LatencyModel(READ.latency_objective_ns)
    model.deviation = deviation
    hint_ns = expected_ms * NANOSECONDS_PER_MILLISECOND  # the expected duration while there are no samples
    request = make_request(deadline_ms=deadline_ms, cost_hint_ns=hint_ns)
    return (queue_deadline_ns(request, model, START_NS) - START_NS) / NANOSECONDS_PER_MILLISECOND


def test_queue_deadline_is_the_latest_start_that_meets_the_objective() -> None:
    assert queue_wait_max_ms(expected_ms=40, deviation=0.5) == 300 - 60


def test_a_request_may_wait_for_a_quarter_of_the_time_to_its_deadline() -> None:
    assert queue_wait_max_ms(expected_ms=400, deviation=0.5) == 125


def test_the_objective_is_limited_by_the_deadline() -> None:
    assert queue_wait_max_ms(expected_ms=40, deviation=0.0, deadline_ms=100) == 60
