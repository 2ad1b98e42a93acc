"""How large a proxy's subset is and where it lies, by the number of proxies and the prices."""

from __future__ import annotations

from loadbalancer.messages import Endpoint, EndpointUpdate, EndpointUpdateKind
from loadbalancer.policy.balancer import Balancer
from loadbalancer.settings import Prices
from tests.support.policy_harness import START, make_endpoints, make_mixed_endpoints, settings


def test_every_endpoint_is_in_some_subset() -> None:
    # Each proxy takes its own stretch of one ring that all compute alike.
    subsets: list[int] = []
    for proxy_index in range(10):
        balancer = Balancer(settings(proxy_index=proxy_index, proxy_count=10), 1, START)
        balancer.handle(START, [EndpointUpdate(EndpointUpdateKind.FULL, make_endpoints(100))])
        subsets += [
            s.id for s in balancer.fleet.default_pool.endpoints[: balancer.fleet.default_pool.subset_size]
        ]
    assert sorted(subsets) == list(range(1, 101))


def test_subsets_are_shared_by_few_proxies() -> None:
    # Incident ib66e0d: in everybody's subset an endpoint holds what nobody's own count shows.
    sizes = {}
    for proxies in (3, 20, 400):
        balancer = Balancer(settings(proxy_index=1, proxy_count=proxies), 1, START)
        balancer.handle(START, [EndpointUpdate(EndpointUpdateKind.FULL, make_endpoints(30))])
        sizes[proxies] = balancer.fleet.default_pool.subset_size
    assert sizes == {3: 10, 20: 9, 400: 4}


def subset_of(
    zone: str, proxy_index: int, proxies: int, prices: Prices, endpoint_count: int = 24
) -> list[Endpoint]:
    balancer = Balancer(
        settings(
            proxy_index=proxy_index, proxy_count=proxies, zone=zone, zones=("east", "west"), prices=prices
        ),
        1,
        START,
    )
    balancer.handle(START, [EndpointUpdate(EndpointUpdateKind.FULL, make_mixed_endpoints(endpoint_count))])
    return [
        s.endpoint for s in balancer.fleet.default_pool.endpoints[: balancer.fleet.default_pool.subset_size]
    ]


def test_subset_is_small_and_in_the_zone_where_connections_have_a_price() -> None:
    # Guards against many proxies filling every endpoint's table of connections, each of which costs work.
    dear = Prices(connection=0.03, cross_zone=0.01)
    for zone in ("east", "west"):
        subsets = [subset_of(zone, proxy_index, 60, dear) for proxy_index in range(60)]
        assert all(len(subset) == 2 and {u.zone for u in subset} == {zone} for subset in subsets)
        used = [u.id for subset in subsets for u in subset]
        assert len(set(used)) == 12
        assert max(used.count(u) for u in used) <= 16
    assert len(subset_of("east", 1, 60, Prices(cross_zone=0.01))) == 4


def test_subset_of_few_proxies_is_wide_whatever_the_prices() -> None:
    # Guards against a proxy whose one stretch drains or starts rejecting beside idle endpoints (event487).
    dear = Prices(connection=0.03, cross_zone=0.025)
    for proxies in (2, 4):
        subsets = [
            subset_of("east", proxy_index, proxies, dear, endpoint_count=12) for proxy_index in range(proxies)
        ]
        assert [len(subset) for subset in subsets] == [10] * proxies
        assert all({u.zone for u in subset} == {"east", "west"} for subset in subsets)


def test_zone_without_endpoints_uses_the_others() -> None:
    subsets = subset_of("south", 3, 40, Prices(connection=0.03, cross_zone=0.01))
    assert subsets
    assert subsets[0].zone in ("east", "west")


def test_a_single_proxy_uses_all_zones() -> None:
    # Small twins of hobart's full-size days scored 0: one proxy, five zones, and all but its own stood idle.
    dear = Prices(connection=0.03, cross_zone=0.01)
    assert {u.zone for u in subset_of("east", 0, 1, dear, endpoint_count=12)} == {"east", "west"}
    assert len(subset_of("east", 0, 1, dear, endpoint_count=12)) == 12
