"""The effect of endpoint lists and their updates on a proxy."""

from __future__ import annotations

from loadbalancer.messages import EndpointStatus, EndpointUpdate, EndpointUpdateKind
from tests.support.policy_harness import (
    NANOSECONDS_PER_MILLISECOND,
    NANOSECONDS_PER_SECOND,
    PolicyHarness,
    arrival,
    make_endpoints,
)


def test_draining_endpoint_gets_no_new_request() -> None:
    harness = PolicyHarness()
    harness.deliver(
        EndpointUpdate(
            EndpointUpdateKind.DELTA,
            [e._replace(status=EndpointStatus.DRAINING) for e in make_endpoints(5)],
        )
    )
    for i in range(20):
        harness.deliver(arrival(i, harness.now_ns))
        harness.advance(20 * NANOSECONDS_PER_MILLISECOND)
        for request, number in harness.attempts_in_flight():
            harness.finish(request, number=number)
    assert {endpoint.id for sent in harness.attempts.values() for endpoint, _ in sent} == {6}


def test_endpoint_missing_from_a_full_list_is_removed() -> None:
    harness = PolicyHarness()
    harness.deliver(EndpointUpdate(EndpointUpdateKind.FULL, make_endpoints(1)))
    for i in range(5):
        harness.deliver(arrival(i, harness.now_ns))
        harness.finish(f"r{i}")
    assert {endpoint.id for sent in harness.attempts.values() for endpoint, _ in sent} == {1}


def test_states_of_removed_endpoints_are_dropped() -> None:
    harness = PolicyHarness(endpoint_count=0)
    for i in range(50):
        harness.deliver(EndpointUpdate(EndpointUpdateKind.FULL, make_endpoints(3, first=1 + 3 * i)))
        harness.deliver(arrival(i, harness.now_ns))
        harness.finish(f"r{i}")
        harness.advance(NANOSECONDS_PER_SECOND)
    assert len(harness.balancer.fleet.endpoints) <= 6
    assert len(harness.balancer.timers) < 20
