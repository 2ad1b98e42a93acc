"""Endpoint selection."""

from __future__ import annotations

import pytest

from loadbalancer.policy.selection import RANDOM_CHOICES, Selection
from loadbalancer.state.endpoint_state import EndpointState
from tests.support.policy_harness import NANOSECONDS_PER_SECOND, PolicyHarness, arrival


def test_all_endpoints_are_scanned_only_if_a_drawn_one_is_unavailable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # event8052: the cost of a request grew with the subset and used up all CPU time.
    harness = PolicyHarness(endpoint_count=10)
    harness.deliver(arrival("warm", harness.now_ns))
    harness.balancer.concurrency_limit.limit = 5  # all are available
    selection = harness.balancer.selection
    pool = harness.balancer.fleet.default_pool
    is_available = Selection.is_available
    checks = 0

    def counted_is_available(self: Selection, state: EndpointState, now_ns: int) -> bool:
        nonlocal checks
        checks += 1
        return is_available(self, state, now_ns)

    monkeypatch.setattr(Selection, "is_available", counted_is_available)
    later_ns = harness.now_ns + NANOSECONDS_PER_SECOND
    for _ in range(20):
        checks = 0
        drawn = selection.draw(pool, RANDOM_CHOICES, later_ns)
        assert len(drawn) >= RANDOM_CHOICES
        assert all(is_available(selection, state, later_ns) for state in drawn)
        assert checks <= RANDOM_CHOICES + 1  # the last choice is checked too
    for state in pool.endpoints[1:]:
        state.eject_until(later_ns + NANOSECONDS_PER_SECOND)
    assert set(selection.draw(pool, RANDOM_CHOICES, later_ns)) <= set(pool.endpoints[:1])
