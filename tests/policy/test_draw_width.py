"""The number of endpoints that random choices are drawn from."""

from __future__ import annotations

from loadbalancer.policy.draw_width import draw_width
from loadbalancer.state.endpoint_pool import EndpointPool
from loadbalancer.state.placement import Placement
from tests.support.policy_harness import make_endpoints
from tests.support.requests import make_state


def make_pool(endpoint_count: int, subset_size: int) -> EndpointPool:
    """Return a pool with a subset and a reserve."""
    states = [make_state(endpoint) for endpoint in make_endpoints(endpoint_count)]
    return EndpointPool(Placement(None, None), endpoints=states, subset_size=subset_size)


def test_width_is_the_subset_plus_one_while_the_queue_is_blocked() -> None:
    pool = make_pool(endpoint_count=6, subset_size=4)
    assert draw_width(pool, queue_is_blocked=False) == 4
    assert draw_width(pool, queue_is_blocked=True) == 5


def test_width_is_at_most_the_pool_size() -> None:
    assert draw_width(make_pool(endpoint_count=4, subset_size=4), queue_is_blocked=True) == 4
