"""Waiting for an endpoint: length of the queue, rejections, concurrency limit and fair shares."""

from __future__ import annotations

from loadbalancer.messages import EndpointUpdate, EndpointUpdateKind
from loadbalancer.settings import Idempotency, Prices, RequestClass
from tests.support.policy_harness import (
    NANOSECONDS_PER_MILLISECOND,
    NANOSECONDS_PER_SECOND,
    READ,
    PolicyHarness,
    arrival,
    make_endpoints,
    make_settings,
)
from tests.support.rule_checker import RequestOutcome


def test_request_in_a_blocked_queue_is_answered() -> None:
    harness = PolicyHarness(endpoint_count=1)
    for i in range(30):
        harness.deliver(arrival(i, harness.now_ns))
    harness.advance(700 * NANOSECONDS_PER_MILLISECOND)
    assert len(harness.outcomes) == 30


def test_short_deadline_is_answered_while_the_queue_is_blocked() -> None:
    # Each wake-up fires slightly early here. If the policy took such a wake-up for one that was replaced, it
    # would set no further one, and requests would not be answered by their deadline.
    harness = PolicyHarness(endpoint_count=1)
    harness.deliver(arrival(1, harness.now_ns))
    for i in range(2, 40):
        harness.deliver(arrival(i, harness.now_ns, wait_ns=3 * NANOSECONDS_PER_MILLISECOND))
        early = list(harness.timers)
        harness.timers = [(at - 300, name) for at, name in early]
        harness.advance(30 * NANOSECONDS_PER_MILLISECOND, step_ns=NANOSECONDS_PER_MILLISECOND)
    harness.advance(NANOSECONDS_PER_SECOND)
    assert len(harness.outcomes) == 39


def test_concurrency_limit_does_not_rise_before_the_first_responses() -> None:
    # Incident i4eb9e9: at the start, the limit rose while requests were queued and none had been finished.
    harness = PolicyHarness()
    for i in range(300):
        harness.deliver(arrival(i, harness.now_ns))
        harness.now_ns += NANOSECONDS_PER_MILLISECOND // 10
    assert harness.balancer.concurrency_limit.limit == 1


def test_class_with_a_long_objective_keeps_the_queue_short_for_others() -> None:
    # Incident i31aba8: requests with a long objective filled the queue, and all others were rejected.
    slow = RequestClass("slow", Idempotency.IDEMPOTENT, latency_objective_ns=20 * NANOSECONDS_PER_SECOND)
    harness = PolicyHarness(make_settings(request_classes={"slow": slow, "read": READ}), endpoint_count=1)
    for i in range(200):
        harness.deliver(arrival(i, harness.now_ns, slow, wait_ns=20 * NANOSECONDS_PER_SECOND))
        harness.advance(10 * NANOSECONDS_PER_MILLISECOND)
        for request, number in harness.attempts_in_flight():
            if harness.now_ns - harness.attempts[request][number][1] >= 50 * NANOSECONDS_PER_MILLISECOND:
                harness.finish(request, number=number)
    assert len(harness.balancer.queues[harness.balancer.fleet.default_pool].waiting) < 20
    assert RequestOutcome.REJECTED in harness.outcomes.values()


def test_tenant_over_its_share_is_recognised() -> None:
    harness = PolicyHarness(endpoint_count=1)
    for i in range(600):
        harness.deliver(arrival(i, harness.now_ns, tenant="birch" if i % 10 == 0 else "ash"))
        harness.advance(5 * NANOSECONDS_PER_MILLISECOND)
        for request, number in harness.attempts_in_flight():
            if harness.now_ns - harness.attempts[request][number][1] >= 50 * NANOSECONDS_PER_MILLISECOND:
                harness.finish(request, number=number)
    assert harness.balancer.throttles.get("ash").exceeds_fair_share
    assert not harness.balancer.throttles.get("birch").exceeds_fair_share


def test_blocked_queue_draws_from_one_endpoint_beyond_the_subset() -> None:
    harness = PolicyHarness(make_settings(prices=Prices(connection=0.03), proxy_count=40), endpoint_count=0)
    harness.deliver(EndpointUpdate(EndpointUpdateKind.CACHED, make_endpoints(12)))
    for i in range(60):
        harness.deliver(arrival(i, harness.now_ns, wait_ns=NANOSECONDS_PER_SECOND))
        harness.advance(20 * NANOSECONDS_PER_MILLISECOND)
    assert len({endpoint.id for sent in harness.attempts.values() for endpoint, _ in sent}) == 2
