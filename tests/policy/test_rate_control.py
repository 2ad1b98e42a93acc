"""The adaptive rate of the proxy, and the tenants' rates derived from it."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from loadbalancer.messages import (
    AttemptEnded,
    AttemptResult,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Forward,
    SetTimer,
    TimerExpired,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.rate_control import FEEDBACK_INTERVAL_NS, RateController
from loadbalancer.policy.throttle import Throttle
from loadbalancer.settings import Limits, Settings, Tenant
from tests.support.policy_harness import (
    NANOSECONDS_PER_MILLISECOND,
    NANOSECONDS_PER_SECOND,
    START_NS,
    PolicyHarness,
    arrival,
    make_endpoints,
    make_settings,
)

DRAW_WIDTH = 8  # endpoints that the proxy draws from


class FeedbackDriver:
    """A rate controller with one tenant, whose demand always exceeds its rate."""

    def __init__(self) -> None:
        self.now_ns = 0
        self.throttle = Throttle("ash", 1.0, random.Random(1), 0)
        self.controller = RateController(self.throttle.weight, 0)

    def end_interval(self, successes: int, failures_by_endpoint: int) -> None:
        """End a rate interval with these numbers of successes, and of failures at each endpoint."""
        self.now_ns += FEEDBACK_INTERVAL_NS
        self.throttle.arrivals = successes
        self.throttle.has_missed_token = True
        outcomes = self.controller.interval
        outcomes.successes = successes
        if failures_by_endpoint:
            outcomes.failures.update(dict.fromkeys(range(DRAW_WIDTH), failures_by_endpoint))
        self.controller.adjust([self.throttle], self.now_ns, DRAW_WIDTH)


def test_the_rate_recovers_quickly_from_a_short_fault() -> None:
    driver = FeedbackDriver()
    controller = driver.controller
    driver.end_interval(150, 0)

    for _ in range(6):
        driver.end_interval(int(min(controller.rate, 300) / 4), int(min(controller.rate, 300) / 32))
    assert controller.rate < 160

    for _ in range(4):
        driver.end_interval(int(controller.rate / 2), 0)
    assert controller.rate > 230


def test_idle_time_before_the_first_request_does_not_lower_attempt_rate() -> None:
    harness = PolicyHarness(make_settings(tenants={"ash": Tenant("ash")}), endpoint_count=1)
    controller = harness.balancer.rate_controller
    harness.advance(NANOSECONDS_PER_SECOND)  # idle time

    for i in range(100):
        harness.deliver(arrival(i, harness.now_ns))
        harness.finish(f"r{i}")
        harness.advance(5 * NANOSECONDS_PER_MILLISECOND)
        if i % 4 == 0:
            controller.record_capacity_rejection()  # a fifth of the outcomes; a tenth is tolerated
    harness.deliver(arrival("last", harness.now_ns))

    sent_per_s = 200.0  # one request each 5 ms
    assert 0.85 * sent_per_s < controller.attempt_rate < 1.15 * sent_per_s
    assert sent_per_s < controller.rate < 2 * sent_per_s  # decreased, to about the rate of requests


def test_one_failure_of_few_outcomes_does_not_prevent_an_increase() -> None:
    throttle = Throttle("ash", 1.0, random.Random(1), 0)
    controller = RateController(throttle.weight, 0)
    controller.rate = controller.last_overload_rate = 10.0

    for i in range(1, 6):
        controller.interval.successes = 4
        controller.interval.rejected_for_capacity = 1
        throttle.arrivals = 100
        throttle.has_missed_token = True
        controller.adjust([throttle], 4 * i * FEEDBACK_INTERVAL_NS, DRAW_WIDTH)

    assert controller.rate > 12


def make_balancer(config: Settings) -> Balancer:
    """Return a balancer with six endpoints."""
    balancer = Balancer(config, 1, START_NS)
    balancer.handle(START_NS, [EndpointUpdate(EndpointUpdateKind.FULL, make_endpoints(6))])
    return balancer


def due_time_ns(due_event: tuple[int, Event]) -> int:
    """Return the time at which an event is due."""
    return due_event[0]


def failures_after_timeout(tokens_per_s: float) -> int:
    """Return the failures recorded when a buffered request gets a token and its only attempt times out."""
    balancer = make_balancer(make_settings(tenants={"ash": Tenant("ash")}, limits=Limits(max_attempts=1)))
    throttle = balancer.throttles.get_or_create("ash", START_NS)
    throttle.set_rate(tokens_per_s, START_NS)
    throttle.bank.counter = throttle.bank.buffer_capacity
    throttle.bank.fractional_token = 0.0
    due_events: list[tuple[int, Event]] = [(START_NS, arrival(1, START_NS))]
    for _ in range(40):
        due_events.sort(key=due_time_ns)
        now_ns, event = due_events.pop(0)
        for action in balancer.handle(now_ns, [event]):
            if isinstance(action, Forward):
                outcome = AttemptEnded("r1", 0, action.endpoint_id, AttemptResult.TIMEOUT, 1)
                due_events.append((now_ns + action.timeout_ns, outcome))
            elif isinstance(action, SetTimer):
                due_events.append((now_ns + action.delay_ns, TimerExpired(action.name)))
        if isinstance(event, AttemptEnded):
            return balancer.rate_controller.interval.failures.total()
    raise AssertionError("the attempt never ended")


def test_a_request_delayed_by_its_throttle_does_not_count_against_the_rate() -> None:
    assert failures_after_timeout(100.0) == 1  # buffered for 10 ms of its objective of 300 ms
    assert failures_after_timeout(5.0) == 0  # buffered for 200 ms


def is_rate_decreased(load: float | None) -> bool:
    """Return whether the rate is decreased when half the attempts fail at endpoints with this load report."""
    balancer = make_balancer(make_settings())
    for endpoint in balancer.fleet.endpoints.values():
        endpoint.record_load(load, START_NS)
    controller = balancer.rate_controller
    controller.interval.successes = 100
    controller.interval.failures.update(dict.fromkeys(balancer.fleet.endpoints, 20))

    balancer.handle(START_NS + FEEDBACK_INTERVAL_NS, [])

    return controller.rate < 1000


def test_failures_at_endpoints_with_little_load_do_not_decrease_the_rate() -> None:
    assert is_rate_decreased(2.0)
    assert not is_rate_decreased(0.5)
    assert is_rate_decreased(None)  # without load reports, overload is possible


@given(
    st.lists(st.tuples(st.integers(0, 30), st.sampled_from([1, 2, 5])), min_size=1, max_size=8),
    st.integers(1, 400),
    st.floats(1.0, 500.0),
    st.floats(1.0, 500.0),
)
@hypothesis_settings(max_examples=100, deadline=None, derandomize=True)
def test_rates_are_the_same_with_and_without_throttles_of_idle_tenants(
    active_tenants: list[tuple[int, int]], idle_count: int, rate: float, success_rate: float
) -> None:
    weights = [float(weight) for _, weight in active_tenants] + [1.0 + i % 3 for i in range(idle_count)]
    all_throttles = [Throttle(f"t{i}", weight, random.Random(i), 0) for i, weight in enumerate(weights)]
    active = [
        Throttle(f"t{i}", float(weight), random.Random(i), 0) for i, (_, weight) in enumerate(active_tenants)
    ]
    controller_of_all = RateController(sum(weights), 0)
    controller_of_active = RateController(sum(weights), 0)

    for controller, throttles in ((controller_of_all, all_throttles), (controller_of_active, active)):
        controller.rate, controller.success_rate = rate, success_rate
        for throttle, (demand, _) in zip(throttles, active_tenants, strict=False):
            throttle.demand_per_s = float(demand)
        controller._set_tenant_rates(throttles, 0)

    active_of_all, idle = all_throttles[: len(active)], all_throttles[len(active) :]
    assert [t.bank.rate_per_s for t in active] == pytest.approx(
        [t.bank.rate_per_s for t in active_of_all], rel=1e-9
    )
    assert [t.exceeds_fair_share for t in active] == [t.exceeds_fair_share for t in active_of_all]
    # A new throttle has the same rate as one that has always existed.
    new_rates = [controller_of_active.guaranteed_rate(t.weight) for t in idle]
    assert new_rates == pytest.approx([t.bank.rate_per_s for t in idle], rel=1e-9)
