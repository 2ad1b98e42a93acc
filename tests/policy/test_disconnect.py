"""A client disconnects while its request has attempts in flight, also in one batch with other events."""

from __future__ import annotations

import pytest

from loadbalancer.messages import AttemptResult, CancelAttempt, ClientDisconnected, Event, TimerExpired
from loadbalancer.policy.timers import AttemptOverdue
from loadbalancer.settings import Limits
from loadbalancer.units import NANOSECONDS_PER_MILLISECOND
from tests.support import policy_harness


def harness_with_slow_attempt(hedging: bool = True) -> policy_harness.PolicyHarness:
    """Return a harness with an attempt that will be overdue: 20 requests before it took 10 ms each."""
    limits = Limits(max_attempts=4, hedging=hedging, cancellation=True)
    harness = policy_harness.PolicyHarness(policy_harness.make_settings(limits=limits))
    for i in range(20):
        harness.deliver(policy_harness.arrival(i, harness.now_ns))
        harness.now_ns += 10 * NANOSECONDS_PER_MILLISECOND
        harness.finish(f"r{i}")
    harness.deliver(policy_harness.arrival("slow", harness.now_ns))
    return harness


@pytest.mark.parametrize("disconnect_first", [False, True])
@pytest.mark.parametrize("disconnected", [False, True])
def test_disconnect_in_the_batch_of_the_overdue_timer_prevents_hedging(
    disconnected: bool, disconnect_first: bool
) -> None:
    harness = harness_with_slow_attempt()
    due = next(
        due_ns
        for due_ns, timer in harness.balancer.timers
        if isinstance(timer, AttemptOverdue) and timer.request is harness.balancer.requests.get("rslow")
    )
    harness.advance(due - 1 - harness.now_ns)
    assert len(harness.attempts["rslow"]) == 1

    harness.now_ns = due
    disconnect: list[Event] = [ClientDisconnected("rslow")] if disconnected else []
    wake_up = TimerExpired(harness.balancer.timers.wake_up_name)
    actions = harness.deliver(*([*disconnect, wake_up] if disconnect_first else [wake_up, *disconnect]))

    assert (CancelAttempt("rslow", 0) in actions) == disconnected
    harness.advance(600 * NANOSECONDS_PER_MILLISECOND)
    assert len(harness.attempts["rslow"]) == (1 if disconnected else 2)  # a hedged request was due


@pytest.mark.parametrize("result", [result for result in AttemptResult if result is not AttemptResult.OK])
@pytest.mark.parametrize("disconnect_first", [False, True])
@pytest.mark.parametrize("hedging", [False, True])
def test_disconnect_in_the_batch_of_an_attempts_end_prevents_a_retry(
    result: AttemptResult, disconnect_first: bool, hedging: bool
) -> None:
    harness = harness_with_slow_attempt(hedging)
    harness.now_ns += 10 * NANOSECONDS_PER_MILLISECOND
    disconnect = ClientDisconnected("rslow")
    end_event = harness.attempt_ended("rslow", 0, result)

    if disconnect_first:
        harness.deliver(disconnect, end_event)
    else:
        harness.deliver(end_event, disconnect)

    harness.advance(600 * NANOSECONDS_PER_MILLISECOND)
    assert len(harness.attempts["rslow"]) == 1
    assert "rslow" not in harness.balancer.requests


@pytest.mark.parametrize("first_to_end", [0, 1])
def test_disconnected_hedged_request_is_removed_when_its_attempts_end(first_to_end: int) -> None:
    harness = harness_with_slow_attempt()
    harness.advance(150 * NANOSECONDS_PER_MILLISECOND)
    assert len(harness.attempts["rslow"]) == 2

    harness.deliver(ClientDisconnected("rslow"))
    for number in (first_to_end, 1 - first_to_end):
        harness.finish("rslow", AttemptResult.CONNECT_FAILED, number)

    harness.advance(600 * NANOSECONDS_PER_MILLISECOND)
    assert len(harness.attempts["rslow"]) == 2
    assert "rslow" not in harness.balancer.requests
