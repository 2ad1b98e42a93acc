"""Which attempts and final responses of a request are allowed: retries, placement and limits."""

from __future__ import annotations

import pytest

from loadbalancer.messages import (
    AttemptResult,
    ClientDisconnected,
    EndpointStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    Fail,
    Forward,
    Reject,
    RequestArrived,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.retry_eligibility import UNCOUNTED_ATTEMPTS_MAX, should_retry
from loadbalancer.settings import Limits, RequestClass, Rules, Settings
from tests.support.policy_harness import (
    CELL_DEDUPLICATED,
    EAST_ONLY,
    FULLY_DEDUPLICATED,
    LARGE_MACHINES_ONLY,
    NANOSECONDS_PER_MILLISECOND,
    NANOSECONDS_PER_SECOND,
    PAY,
    READ,
    START_NS,
    PolicyHarness,
    actions_of_type,
    arrival,
    make_endpoints,
    make_mixed_endpoints,
    make_settings,
)
from tests.support.requests import add_attempt, make_request, make_state
from tests.support.rule_checker import RequestOutcome


def test_served_request_needs_no_other_attempt() -> None:
    harness = PolicyHarness()
    assert len(actions_of_type(Forward, harness.deliver(arrival(1, harness.now_ns)))) == 1
    assert not actions_of_type(Fail, harness.finish("r1"))
    assert harness.outcomes["r1"] is RequestOutcome.SERVED


@pytest.mark.parametrize("request_class", [READ, PAY, CELL_DEDUPLICATED, FULLY_DEDUPLICATED])
def test_request_is_rejected_in_time_when_no_endpoint_is_known(request_class: RequestClass) -> None:
    harness = PolicyHarness(endpoint_count=0)
    harness.deliver(EndpointUpdate(EndpointUpdateKind.CACHED), arrival(1, harness.now_ns, request_class))
    harness.advance(600 * NANOSECONDS_PER_MILLISECOND)
    assert harness.outcomes["r1"] is RequestOutcome.REJECTED


def test_request_is_rejected_in_time_when_all_endpoints_drain() -> None:
    harness = PolicyHarness()
    harness.deliver(
        EndpointUpdate(
            EndpointUpdateKind.DELTA,
            [endpoint._replace(status=EndpointStatus.DRAINING) for endpoint in make_endpoints(6)],
        )
    )
    harness.deliver(arrival(1, harness.now_ns, PAY))
    harness.advance(600 * NANOSECONDS_PER_MILLISECOND)
    assert harness.outcomes["r1"] is RequestOutcome.REJECTED
    assert "r1" not in harness.attempts


def test_non_idempotent_request_that_times_out_is_failed() -> None:
    harness = PolicyHarness()
    harness.deliver(arrival(1, harness.now_ns, PAY))
    harness.advance(600 * NANOSECONDS_PER_MILLISECOND)
    assert harness.outcomes["r1"] is RequestOutcome.FAILED
    assert len(harness.attempts["r1"]) == 1


@pytest.mark.parametrize("result", [AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED])
def test_non_idempotent_request_that_never_ran_is_retried(result: AttemptResult) -> None:
    harness = PolicyHarness()
    harness.deliver(arrival(1, harness.now_ns, PAY))
    harness.now_ns += NANOSECONDS_PER_MILLISECOND
    harness.finish("r1", result)
    assert len(harness.attempts["r1"]) == 2


@pytest.mark.parametrize("result", [AttemptResult.ERROR, AttemptResult.RESET, AttemptResult.CANCELLED])
def test_non_idempotent_request_that_may_have_run_is_failed(result: AttemptResult) -> None:
    harness = PolicyHarness()
    harness.deliver(arrival(1, harness.now_ns, PAY))
    harness.now_ns += NANOSECONDS_PER_MILLISECOND
    harness.finish("r1", result)
    assert harness.outcomes["r1"] is RequestOutcome.FAILED


@pytest.mark.parametrize("request_class", [EAST_ONLY, LARGE_MACHINES_ONLY])
def test_every_attempt_respects_the_placement(request_class: RequestClass) -> None:
    # The rule checker asserts the placement of each attempt, retries included.
    harness = PolicyHarness(endpoint_count=0)
    harness.deliver(EndpointUpdate(EndpointUpdateKind.CACHED, make_mixed_endpoints(12)))
    for i in range(60):
        harness.deliver(arrival(i, harness.now_ns, request_class))
        harness.now_ns += 5 * NANOSECONDS_PER_MILLISECOND
        for request, number in harness.attempts_in_flight():
            if request not in harness.outcomes:
                harness.deliver(
                    harness.attempt_ended(request, number, (AttemptResult.REJECTED, AttemptResult.OK)[i % 2])
                )
    assert len(harness.attempts) > 20


def test_placement_without_endpoints_rejects_only_its_own_requests() -> None:
    harness = PolicyHarness(endpoint_count=0)
    west = [endpoint for endpoint in make_mixed_endpoints(12) if endpoint.zone == "west"]
    harness.deliver(EndpointUpdate(EndpointUpdateKind.CACHED, west))
    harness.deliver(arrival("near", harness.now_ns, EAST_ONLY), arrival("read", harness.now_ns, READ))
    assert "rread" in harness.attempts
    assert "rnear" not in harness.attempts
    harness.advance(600 * NANOSECONDS_PER_MILLISECOND)
    assert harness.outcomes["rnear"] is RequestOutcome.REJECTED


@pytest.mark.parametrize(
    ("request_class", "rejected_may_have_run", "outcome"),
    [
        (PAY, True, RequestOutcome.FAILED),
        (CELL_DEDUPLICATED, True, None),
        (PAY, False, None),
        (READ, True, None),
    ],
)
def test_rejected_attempt_may_have_run_if_the_rules_say_so(
    request_class: RequestClass, rejected_may_have_run: bool, outcome: RequestOutcome | None
) -> None:
    # Endpoints may also reject requests that they have begun: a retry could take effect a second time.
    rules = Rules(slow_start_ns=4 * NANOSECONDS_PER_SECOND, rejected_may_have_run=rejected_may_have_run)
    harness = PolicyHarness(make_settings(rules=rules))
    harness.deliver(arrival(1, harness.now_ns, request_class))
    harness.now_ns += NANOSECONDS_PER_MILLISECOND
    harness.finish("r1", AttemptResult.REJECTED)
    assert harness.outcomes.get("r1") == outcome
    assert len(harness.attempts["r1"]) == (1 if outcome else 2)


def test_attempts_are_capped() -> None:
    harness = PolicyHarness()
    harness.deliver(arrival(1, harness.now_ns, READ))
    for _ in range(3):
        harness.now_ns += NANOSECONDS_PER_MILLISECOND
        if "r1" not in harness.outcomes:
            harness.finish("r1", AttemptResult.REJECTED)
    harness.advance(600 * NANOSECONDS_PER_MILLISECOND)
    assert harness.outcomes["r1"] is RequestOutcome.REJECTED
    assert len(harness.attempts["r1"]) <= 3


def test_timeout_is_the_objective_if_a_late_response_has_no_value() -> None:
    harness = PolicyHarness()
    sends = [a for a in harness.deliver(arrival(1, harness.now_ns, READ)) if isinstance(a, Forward)]
    assert sends[0].timeout_ns == READ.latency_objective_ns


def test_client_disconnect_ends_the_request() -> None:
    harness = PolicyHarness()
    harness.deliver(
        arrival(1, harness.now_ns),
        ClientDisconnected("r1"),
        ClientDisconnected("r1"),
        ClientDisconnected("unknown"),
    )
    harness.advance(600 * NANOSECONDS_PER_MILLISECOND)
    assert harness.outcomes["r1"] is RequestOutcome.DISCONNECTED


@pytest.mark.parametrize(("elapsed_ms", "again"), [(140, True), (160, False)])
def test_keyed_retry_leaves_time_to_connect_in_deduplication_window(elapsed_ms: int, again: bool) -> None:
    # The deduplication window is 400 ms.
    limits = Limits(max_attempts=3, connect_timeout_ns=250 * NANOSECONDS_PER_MILLISECOND)
    harness = PolicyHarness(make_settings(limits=limits))
    harness.deliver(arrival(1, harness.now_ns, FULLY_DEDUPLICATED, wait_ns=2 * NANOSECONDS_PER_SECOND))
    harness.now_ns += elapsed_ms * NANOSECONDS_PER_MILLISECOND
    assert bool(actions_of_type(Forward, harness.finish("r1", AttemptResult.RESET))) is again


def test_requests_without_tenants_or_a_known_class_are_handled() -> None:
    harness = PolicyHarness(make_settings(tenants={}))
    harness.deliver(arrival(1, harness.now_ns, tenant=""))
    harness.finish("r1")
    balancer = Balancer(Settings(), 1, START_NS)
    balancer.handle(
        START_NS,
        [
            EndpointUpdate(EndpointUpdateKind.FULL, make_endpoints(2)),
            RequestArrived("x", "never-named", "nobody", START_NS + NANOSECONDS_PER_SECOND),
        ],
    )


def test_retry_after_is_jittered() -> None:
    harness = PolicyHarness(endpoint_count=0)
    harness.deliver(*(arrival(i, harness.now_ns) for i in range(30)))
    harness.advance(600 * NANOSECONDS_PER_MILLISECOND)
    delays = {a.retry_after_ns for a in harness.actions if isinstance(a, Reject)}
    assert len(delays) > 20


@pytest.mark.parametrize("may_cancel", [True, False])
def test_request_is_hedged_only_if_attempts_can_be_cancelled(may_cancel: bool) -> None:
    limits = Limits(max_attempts=3, hedging=True, cancellation=may_cancel)
    harness = PolicyHarness(make_settings(limits=limits))
    for i in range(20):
        harness.deliver(arrival(i, harness.now_ns))
        harness.now_ns += 10 * NANOSECONDS_PER_MILLISECOND
        harness.finish(f"r{i}")
    harness.deliver(arrival("slow", harness.now_ns))
    harness.advance(150 * NANOSECONDS_PER_MILLISECOND)
    assert len(harness.attempts["rslow"]) == (2 if may_cancel else 1)


@pytest.mark.parametrize(
    ("request_class", "after_ms", "retried"), [(READ, 99, True), (READ, 100, False), (PAY, 99, False)]
)
def test_safe_retry_is_queued_until_the_queue_deadline(
    request_class: RequestClass, after_ms: int, retried: bool
) -> None:
    request = make_request(request_class)
    request.queue_deadline_ns = START_NS + 100 * NANOSECONDS_PER_MILLISECOND
    failed, other = (make_state(endpoint) for endpoint in make_endpoints(2))
    add_attempt(request, failed, AttemptResult.RESET, may_have_run=True)
    now_ns = START_NS + after_ms * NANOSECONDS_PER_MILLISECOND
    assert should_retry(request, [other], now_ns, Limits(max_attempts=2)) is retried
    assert not should_retry(request, [], now_ns, Limits(max_attempts=2))


def test_attempts_never_begun_do_not_count_towards_max_attempts() -> None:
    # Otherwise draining endpoints use up max_attempts, and a request that others could serve is rejected.
    request = make_request(READ)
    request.queue_deadline_ns = START_NS + 1
    drained, other = (make_state(endpoint) for endpoint in make_endpoints(2))
    limits = Limits(max_attempts=1)
    for _ in range(UNCOUNTED_ATTEMPTS_MAX):
        assert should_retry(request, [other], START_NS, limits)
        attempt = add_attempt(request, drained)
        attempt.end(AttemptResult.NOT_SENT, may_have_run=False, counts_towards_max_attempts=False)
    assert not should_retry(request, [other], START_NS, limits)
