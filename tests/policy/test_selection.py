"""How an endpoint is selected."""

from __future__ import annotations

import pytest

from loadbalancer.policy.selection import RANDOM_CHOICES, Selection
from loadbalancer.state.endpoint_state import EndpointState
from tests.support.policy_harness import NANOSECONDS_PER_SECOND, PolicyHarness, arrival


def test_all_endpoints_are_scanned_only_where_a_drawn_one_is_unavailable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against work on each send that grows with the subset: processor time ran out (event8052).
    harness = PolicyHarness(endpoint_count=10)
    harness.give(arrival("warm", harness.now_ns))
    harness.balancer.concurrency_limit.limit = 5  # all are fit
    selection, pool, looked = harness.balancer.selection, harness.balancer.fleet.default_pool, 0
    fits = Selection.is_available

    def fit(self: Selection, state: EndpointState, now_ns: int) -> bool:
        nonlocal looked
        looked += 1
        return fits(self, state, now_ns)

    monkeypatch.setattr(Selection, "is_available", fit)
    for _ in range(20):
        looked = 0
        drawn = selection.draw(pool, RANDOM_CHOICES, harness.now_ns + NANOSECONDS_PER_SECOND)
        assert len(drawn) >= RANDOM_CHOICES
        assert all(fits(selection, s, harness.now_ns + NANOSECONDS_PER_SECOND) for s in drawn)
        assert looked <= RANDOM_CHOICES + 1  # with the previous winner
    for state in pool.endpoints[1:]:
        state.ejected_until_ns = harness.now_ns + 2 * NANOSECONDS_PER_SECOND
    assert set(selection.draw(pool, RANDOM_CHOICES, harness.now_ns + NANOSECONDS_PER_SECOND)) <= set(
        pool.endpoints[:1]
    )
