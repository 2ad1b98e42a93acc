"""Size and position of a proxy's subset, by the number of proxies and the prices."""

from __future__ import annotations

from loadbalancer.messages import Endpoint, EndpointUpdate, EndpointUpdateKind
from loadbalancer.policy.balancer import Balancer
from loadbalancer.settings import Prices, Settings
from loadbalancer.state.endpoint_state import EndpointState
from tests.support.policy_harness import START_NS, make_endpoints, make_mixed_endpoints, make_settings


def default_subset(config: Settings, endpoints: list[Endpoint]) -> list[EndpointState]:
    """Return the subset of the default pool of a proxy with these settings and this list."""
    balancer = Balancer(config, 1, START_NS)
    balancer.handle(START_NS, [EndpointUpdate(EndpointUpdateKind.FULL, endpoints)])
    pool = balancer.fleet.default_pool
    return pool.endpoints[: pool.subset_size]


def test_every_endpoint_is_in_some_subset() -> None:
    ids: list[int] = []
    for proxy_index in range(10):
        config = make_settings(proxy_index=proxy_index, proxy_count=10)
        ids += [state.id for state in default_subset(config, make_endpoints(100))]
    assert sorted(ids) == list(range(1, 101))


def test_subsets_are_shared_by_few_proxies() -> None:
    # Incident ib66e0d: if all proxies share an endpoint, a proxy's own requests say little about its load.
    sizes = {
        proxy_count: len(
            default_subset(make_settings(proxy_index=1, proxy_count=proxy_count), make_endpoints(30))
        )
        for proxy_count in (3, 20, 400)
    }
    assert sizes == {3: 10, 20: 9, 400: 4}


def subset_of(
    zone: str, proxy_index: int, proxy_count: int, prices: Prices, endpoint_count: int = 24
) -> list[Endpoint]:
    """Return the subset of one proxy among endpoints of two zones."""
    config = make_settings(
        proxy_index=proxy_index, proxy_count=proxy_count, zone=zone, zones=("east", "west"), prices=prices
    )
    return [state.endpoint for state in default_subset(config, make_mixed_endpoints(endpoint_count))]


def test_subset_is_small_and_in_the_zone_where_connections_have_a_price() -> None:
    # Many proxies must not use up the connections of every endpoint; each connection costs work.
    prices = Prices(connection=0.03, cross_zone=0.01)
    for zone in ("east", "west"):
        subsets = [subset_of(zone, proxy_index, 60, prices) for proxy_index in range(60)]
        assert all(
            len(subset) == 2 and {endpoint.zone for endpoint in subset} == {zone} for subset in subsets
        )
        used = [endpoint.id for subset in subsets for endpoint in subset]
        assert len(set(used)) == 12
        assert max(used.count(endpoint_id) for endpoint_id in used) <= 16
    assert len(subset_of("east", 1, 60, Prices(cross_zone=0.01))) == 4


def test_subset_of_few_proxies_is_large_despite_prices() -> None:
    # event487: all endpoints of a small subset may drain or reject while others are idle.
    prices = Prices(connection=0.03, cross_zone=0.025)
    for proxy_count in (2, 4):
        subsets = [
            subset_of("east", proxy_index, proxy_count, prices, endpoint_count=12)
            for proxy_index in range(proxy_count)
        ]
        assert [len(subset) for subset in subsets] == [10] * proxy_count
        assert all({endpoint.zone for endpoint in subset} == {"east", "west"} for subset in subsets)


def test_proxy_in_a_zone_without_endpoints_uses_other_zones() -> None:
    subsets = subset_of("south", 3, 40, Prices(connection=0.03, cross_zone=0.01))
    assert subsets
    assert subsets[0].zone in ("east", "west")


def test_a_single_proxy_uses_all_zones() -> None:
    # With fewer proxies than zones, the endpoints of zones without a proxy would be idle.
    prices = Prices(connection=0.03, cross_zone=0.01)
    subset = subset_of("east", 0, 1, prices, endpoint_count=12)
    assert {endpoint.zone for endpoint in subset} == {"east", "west"}
    assert len(subset) == 12
