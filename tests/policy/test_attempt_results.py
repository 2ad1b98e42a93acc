"""The effect of attempt results on the state and the rate, including late, repeated and invalid ones."""

from __future__ import annotations

import random
from collections import Counter

from loadbalancer.messages import AttemptResult, EndpointUpdate, EndpointUpdateKind
from loadbalancer.policy.rate_control import RateController
from loadbalancer.policy.throttle import Throttle
from loadbalancer.settings import Limits
from tests.support.policy_harness import (
    NANOSECONDS_PER_MILLISECOND,
    NANOSECONDS_PER_SECOND,
    PolicyHarness,
    arrival,
    make_endpoints,
    make_settings,
)
from tests.support.rule_checker import RequestOutcome


def test_resets_do_not_reduce_the_rate() -> None:
    harness = PolicyHarness(endpoint_count=4)
    for i in range(40):
        harness.deliver(arrival(i, harness.now_ns))
        harness.finish(f"r{i}", AttemptResult.RESET)
        harness.finish(f"r{i}")
    # Only the very first reset is attributed to its endpoint, because no other endpoint has resets yet.
    assert sum(harness.balancer.rate_controller.interval.failures.values()) <= 1


def test_late_and_unknown_results_are_ignored() -> None:
    harness = PolicyHarness()
    harness.deliver(arrival(1, harness.now_ns))
    late = harness.attempt_ended("r1", 0, AttemptResult.OK)
    harness.deliver(late)
    harness.balancer.handle(
        harness.now_ns, [late, late._replace(request_id="unknown"), late._replace(endpoint_id=99)]
    )


def test_overload_of_a_small_subset_lowers_the_rate() -> None:
    # Incident i430663: the rate never fell while three or more endpoints of a subset of four failed.
    throttle = Throttle("ash", 1.0, random.Random(1), 0)
    for failing, is_lowered in ((2, False), (4, True)):
        controller = RateController(throttle.weight, 0)
        controller.interval.successes = 4
        controller.interval.failures = Counter(dict.fromkeys(range(failing), 6))
        controller.adjust([throttle], NANOSECONDS_PER_SECOND, 4)
        assert (controller.rate < 100) is is_lowered


def test_invalid_events_are_not_counted() -> None:
    # The events: attempts that were never made, endpoints not listed or not used, a repeated request id.
    harness = PolicyHarness(endpoint_count=2)
    harness.deliver(arrival(1, harness.now_ns))
    sent = harness.attempts["r1"][0][0].id
    balancer, valid = harness.balancer, harness.attempt_ended("r1", 0, AttemptResult.OK)
    balancer.handle(
        harness.now_ns,
        [
            valid._replace(attempt=3),
            valid._replace(attempt=-1),
            valid._replace(endpoint_id=99),
            valid._replace(endpoint_id=3 - sent),
            arrival(1, harness.now_ns),
        ],
    )
    assert balancer.fleet.endpoints[sent].in_flight == 1
    assert len(balancer.requests) == 1
    harness.deliver(valid)
    assert balancer.fleet.endpoints[sent].in_flight == 0
    assert not balancer.requests


def harness_with_unanswered_attempt(others_answered: bool) -> PolicyHarness:
    """Return a harness with one endpoint, which may have two attempts and never responds to the first."""
    harness = PolicyHarness(make_settings(limits=Limits(cancellation=True)), endpoint_count=1)
    harness.balancer.concurrency_limit.limit = 2
    harness.deliver(arrival("lost", harness.now_ns, wait_ns=NANOSECONDS_PER_SECOND))
    for i in range(20):
        if others_answered:
            harness.deliver(arrival(i, harness.now_ns))
            harness.advance(5 * NANOSECONDS_PER_MILLISECOND)
            for request in {r for r, _ in harness.attempts_in_flight()} - {"rlost"}:
                harness.finish(request)
        harness.advance(10 * NANOSECONDS_PER_MILLISECOND)
    assert ("rlost", 0) in harness.attempts_in_flight()
    return harness


def test_attempt_with_a_lost_response_is_not_in_flight() -> None:
    # Responses lost by the network must not use up the concurrency limit of healthy endpoints.
    # An endpoint that sends no response at all is considered hung, and is ejected.
    for others_answered, forwarded in ((True, 2), (False, 0)):
        harness = harness_with_unanswered_attempt(others_answered)
        harness.deliver(arrival("a", harness.now_ns), arrival("b", harness.now_ns))
        harness.advance(1 * NANOSECONDS_PER_MILLISECOND)
        assert len({"ra", "rb"} & set(harness.attempts)) == forwarded


def test_removed_endpoint_is_kept_until_its_lost_attempt_ends() -> None:
    harness = harness_with_unanswered_attempt(True)
    harness.deliver(EndpointUpdate(EndpointUpdateKind.FULL, make_endpoints(2, first=2)))
    harness.finish("rlost", AttemptResult.CONNECT_FAILED)
    assert harness.outcomes["rlost"] is RequestOutcome.REJECTED
    assert set(harness.balancer.fleet.endpoints) == {1, 2, 3}
    harness.deliver(EndpointUpdate(EndpointUpdateKind.FULL, make_endpoints(1, first=2)))
    assert set(harness.balancer.fleet.endpoints) == {2}
