"""Backoff of calls to discovery."""

from __future__ import annotations

from loadbalancer.messages import EndpointUpdate, EndpointUpdateKind, SetTimer, WatchEndpoints
from loadbalancer.policy.balancer import Balancer
from tests.support.policy_harness import (
    NANOSECONDS_PER_MILLISECOND,
    NANOSECONDS_PER_SECOND,
    START_NS,
    PolicyHarness,
    actions_of_type,
    make_settings,
)


def test_failed_calls_back_off() -> None:
    harness = PolicyHarness(make_settings(discovery_pushes=False))
    assert not actions_of_type(WatchEndpoints, harness.actions)
    harness.advance(5 * NANOSECONDS_PER_SECOND)
    assert len(actions_of_type(WatchEndpoints, harness.actions)) == 1
    gaps, last = [], harness.now_ns
    for _ in range(4):
        harness.deliver(EndpointUpdate(EndpointUpdateKind.FAILED))
        before = len(actions_of_type(WatchEndpoints, harness.actions))
        while len(actions_of_type(WatchEndpoints, harness.actions)) == before:
            harness.advance(50 * NANOSECONDS_PER_MILLISECOND)
            assert harness.now_ns - last < 20 * NANOSECONDS_PER_SECOND
        gaps.append(harness.now_ns - last)
        last = harness.now_ns
    assert gaps[0] < gaps[2]
    assert max(gaps) <= harness.settings.rules.poll_interval_ns


def test_watch_that_timed_out_is_renewed_at_once() -> None:
    harness = PolicyHarness(make_settings(discovery_pushes=False))
    harness.advance(5 * NANOSECONDS_PER_SECOND)
    for _ in range(3):
        assert WatchEndpoints(True) in harness.deliver(EndpointUpdate(EndpointUpdateKind.WATCH_TIMED_OUT))
    # A watch timeout is no failure: the backoff after the next failure is still that of a first one.
    assert WatchEndpoints(True) not in harness.deliver(EndpointUpdate(EndpointUpdateKind.FAILED))
    assert WatchEndpoints(True) in harness.advance(1500 * NANOSECONDS_PER_MILLISECOND)


def test_first_calls_are_spread() -> None:
    delays = set()
    for seed in range(10):
        balancer = Balancer(make_settings(discovery_pushes=False), seed, START_NS)
        delays |= {
            a.delay_ns // (50 * NANOSECONDS_PER_MILLISECOND)
            for a in balancer.handle(START_NS, [])
            if isinstance(a, SetTimer)
        }
    assert len(delays) > 5


def test_discovery_that_pushes_is_not_called() -> None:
    harness = PolicyHarness()
    harness.advance(5 * NANOSECONDS_PER_SECOND)
    assert not actions_of_type(WatchEndpoints, harness.actions)
