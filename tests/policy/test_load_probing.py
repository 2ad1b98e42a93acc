"""Load probing before an attempt."""

from __future__ import annotations

from loadbalancer.messages import AttemptResult, CheckHealth, HealthCheckEnded
from loadbalancer.settings import Limits, Prices
from tests.support.policy_harness import (
    NANOSECONDS_PER_MILLISECOND,
    PolicyHarness,
    actions_of_type,
    arrival,
    make_settings,
)
from tests.support.rule_checker import RequestOutcome


def probing_harness(endpoint_count: int = 6) -> PolicyHarness:
    limits = Limits(max_attempts=3, health_checks=True, cancellation=True)
    return PolicyHarness(
        make_settings(limits=limits, load_report_columns=("inflight", "queue")), endpoint_count=endpoint_count
    )


def test_drawn_endpoints_are_probed_and_the_least_loaded_is_chosen() -> None:
    harness = probing_harness()
    probed = [
        a.endpoint_id for a in harness.deliver(arrival(1, harness.now_ns)) if isinstance(a, CheckHealth)
    ]
    assert probed
    assert "r1" not in harness.attempts
    harness.now_ns += NANOSECONDS_PER_MILLISECOND
    harness.deliver(
        *(
            HealthCheckEnded(
                endpoint_id, AttemptResult.OK, NANOSECONDS_PER_MILLISECOND, {"inflight": float(i)}
            )
            for i, endpoint_id in enumerate(probed)
        )
    )
    assert harness.attempts["r1"][0][0].id == probed[0]


def test_health_check_without_a_result_is_not_waited_for() -> None:
    harness = probing_harness()
    harness.deliver(arrival(1, harness.now_ns))
    harness.advance(20 * NANOSECONDS_PER_MILLISECOND)
    assert len(harness.attempts["r1"]) == 1


def test_endpoint_checked_shortly_before_is_not_checked_again() -> None:
    harness = probing_harness(endpoint_count=1)
    counts = []
    for number in range(4):
        counts.append(
            sum(isinstance(a, CheckHealth) for a in harness.deliver(arrival(number, harness.now_ns)))
        )
        harness.now_ns += 2 * NANOSECONDS_PER_MILLISECOND
    assert counts == [1, 0, 0, 1]


def test_request_is_rejected_when_all_probed_endpoints_would_respond_late() -> None:
    harness = probing_harness()
    probed = [
        a.endpoint_id for a in harness.deliver(arrival(1, harness.now_ns)) if isinstance(a, CheckHealth)
    ]
    harness.now_ns += NANOSECONDS_PER_MILLISECOND
    harness.deliver(
        *(
            HealthCheckEnded(endpoint_id, AttemptResult.OK, NANOSECONDS_PER_MILLISECOND, {"inflight": 500.0})
            for endpoint_id in probed
        )
    )
    assert harness.outcomes["r1"] is RequestOutcome.REJECTED


def test_idle_endpoint_is_never_considered_late() -> None:
    # A single costly request may have raised its relative latency.
    harness = probing_harness(endpoint_count=1)
    harness.balancer.fleet.endpoints[1].relative_latency = 9.0
    harness.deliver(arrival(1, harness.now_ns, wait_ns=100 * NANOSECONDS_PER_MILLISECOND))
    harness.deliver(HealthCheckEnded(1, AttemptResult.OK, NANOSECONDS_PER_MILLISECOND, {"inflight": 0.0}))
    assert len(harness.attempts["r1"]) == 1


def test_health_checks_that_are_costly_or_report_no_load_are_not_sent() -> None:
    limits = Limits(max_attempts=3, health_checks=True)
    costly = make_settings(limits=limits, load_report_columns=("inflight",), prices=Prices(health_check=0.05))
    for config in (costly, make_settings(limits=limits, load_report_columns=("util",))):
        harness = PolicyHarness(config)
        harness.deliver(arrival(1, harness.now_ns))
        assert "r1" in harness.attempts
        assert not actions_of_type(CheckHealth, harness.actions)
