"""The latency model with few samples, and with a part of the latency that does not depend on the load."""

from __future__ import annotations

from loadbalancer.policy.balancer import Balancer
from tests.support.policy_harness import (
    NANOSECONDS_PER_MILLISECOND,
    START_NS,
    PolicyHarness,
    arrival,
    make_settings,
)


def test_first_samples_outweigh_the_initial_latency() -> None:
    harness = PolicyHarness()
    for i in range(3):
        harness.deliver(arrival(i, harness.now_ns))
        harness.now_ns += 100 * NANOSECONDS_PER_MILLISECOND
        harness.finish(f"r{i}")
    per_request_ns = harness.balancer.latency_model.per_request_ns
    assert abs(per_request_ns - 100 * NANOSECONDS_PER_MILLISECOND) < 10 * NANOSECONDS_PER_MILLISECOND


def test_base_latency_is_not_attributed_to_requests_in_flight() -> None:
    latency_model = Balancer(make_settings(), 1, START_NS).latency_model
    for i in range(200):
        load = 1.0 + i % 4
        latency_model.record_latency(
            load, 300 * NANOSECONDS_PER_MILLISECOND + 50 * NANOSECONDS_PER_MILLISECOND * load
        )
    assert latency_model.per_request_ns < 120 * NANOSECONDS_PER_MILLISECOND
    assert latency_model.base_ns > 150 * NANOSECONDS_PER_MILLISECOND
