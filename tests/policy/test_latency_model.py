"""What the latency model learns from few samples, and from requests that wait on others."""

from __future__ import annotations

from loadbalancer.policy.balancer import Balancer
from tests.support.policy_harness import NANOSECONDS_PER_MILLISECOND, START, PolicyHarness, arrival, settings


def test_first_samples_count_more() -> None:
    # Incident i530c5f: with two requests a second, what a request takes was known only after many seconds.
    harness = PolicyHarness()
    for i in range(3):
        harness.give(arrival(i, harness.now_ns))
        harness.now_ns += 100 * NANOSECONDS_PER_MILLISECOND
        harness.finish(f"r{i}")
    assert (
        abs(harness.balancer.latency_model.per_request_ns - 100 * NANOSECONDS_PER_MILLISECOND)
        < 10 * NANOSECONDS_PER_MILLISECOND
    )


def test_time_spent_beside_the_queue_is_not_taken_for_load() -> None:
    # Guards against rejecting on a quiet day: time spent beside the queue was laid on the requests held.
    latency_model = Balancer(settings(), 1, START).latency_model
    for i in range(200):
        held = 1.0 + i % 4
        latency_model.record_latency(
            held, 300 * NANOSECONDS_PER_MILLISECOND + 50 * NANOSECONDS_PER_MILLISECOND * held
        )
    assert latency_model.per_request_ns < 120 * NANOSECONDS_PER_MILLISECOND
    assert latency_model.base_ns > 150 * NANOSECONDS_PER_MILLISECOND
