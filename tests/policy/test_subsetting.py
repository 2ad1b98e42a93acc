"""Endpoint table and subsets: independent of the order of updates, evenly spread and stable."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from loadbalancer.messages import AttemptResult, Endpoint, EndpointStatus, EndpointUpdate, EndpointUpdateKind
from loadbalancer.policy import subsetting
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.retry_candidates import ENDPOINTS_OUTSIDE_POOL_MAX
from loadbalancer.policy.subset_size import LARGE_DEPLOYMENT_PROXIES, LARGE_DEPLOYMENT_SUBSET_SIZE
from loadbalancer.policy.subsetting import RESERVE_SIZE, choose_subset, new_endpoint_table
from loadbalancer.settings import DeduplicationScope, Prices, RequestClass, Settings
from loadbalancer.state import endpoint_table, hash_ring, placement
from loadbalancer.state.endpoint_table import EndpointTable
from loadbalancer.state.hash_ring import mix64, unmix64
from loadbalancer.state.placement import Placement
from loadbalancer.state.subset import Subset
from tests.support.policy_harness import (
    CELL_DEDUPLICATED,
    NANOSECONDS_PER_MILLISECOND,
    NANOSECONDS_PER_SECOND,
    READ,
    START_NS,
    PolicyHarness,
    arrival,
    make_settings,
)

ZONES = [f"z{i}" for i in range(8)]
MACHINE_TYPES = ("large", "small")
CELL_SIZE = 100
ZONE = replace(CELL_DEDUPLICATED, name="zone", deduplication_scope=DeduplicationScope.ZONE)
NARROW_PLACEMENT = (frozenset({"z1", "z2"}), frozenset({"large"}))


def endpoints_in_all_zones(count: int, seed: int = 1) -> list[Endpoint]:
    """Return ready endpoints with random ids, evenly spread over zones and machine types."""
    rng = random.Random(seed)
    return [
        Endpoint(
            id=rng.getrandbits(64),
            zone=ZONES[i % len(ZONES)],
            cell=i // (CELL_SIZE * len(ZONES)),
            machine_type=MACHINE_TYPES[i // len(ZONES) % len(MACHINE_TYPES)],
        )
        for i in range(count)
    ]


def proxy_settings(proxy_count: int, zone_aware: bool = False, index: int = 0) -> Settings:
    """Return the settings of one of these proxies; zone-aware ones have prices for crossing zones."""
    prices = Prices(connection=0.03, cross_zone=0.02) if zone_aware else Prices()
    return make_settings(
        proxy_index=index,
        proxy_count=proxy_count,
        zone=ZONES[index % len(ZONES)],
        zones=ZONES,
        prices=prices,
        request_classes={c.name: c for c in (READ, ZONE, CELL_DEDUPLICATED)},
    )


def table_of(config: Settings, endpoints: Iterable[Endpoint]) -> EndpointTable:
    """Return a table of these endpoints with two placements: all endpoints, and a narrow one."""
    table = new_endpoint_table(config)
    table.add_placement(Placement(None, None))
    table.add_placement(Placement(*NARROW_PLACEMENT))
    for endpoint in endpoints:
        table.upsert(endpoint)
    table.apply_changes()
    return table


def contents(config: Settings, table: EndpointTable) -> object:
    """Return the contents of a table, and the subsets that a proxy chooses from it."""
    return (
        table.attributes,
        [
            (list(p.ring), {z: list(ring) for z, ring in p.by_zone.items() if ring}, dict(p.by_cell))
            for p in table.placements
        ],
        [choose_subset(config, p) for p in table.placements],
    )


def subsets_of_all(table: EndpointTable, proxy_count: int, zone_aware: bool) -> list[set[int]]:
    """Return the subset of each of these proxies, as ring keys, given the same list."""
    subsets = []
    for index in range(proxy_count):
        config = proxy_settings(proxy_count, zone_aware, index)
        subsets.append(set(choose_subset(config, table.placements[0]).assigned))
    return subsets


def count_moved(before: list[set[int]], after: list[set[int]]) -> list[int]:
    """Return, for each proxy, how many members its subset has lost."""
    return [len(old - new) for old, new in zip(before, after, strict=True)]


LIST_ENTRIES = st.builds(
    Endpoint,
    st.integers(0, 60).map(lambda i: mix64(i, 9)),
    st.sampled_from(
        [
            EndpointStatus.READY,
            EndpointStatus.READY,
            EndpointStatus.DRAINING,
            EndpointStatus.REMOVED,
        ]
    ),
    st.sampled_from(ZONES[:3]),
    st.integers(0, 2),
    st.sampled_from([1.0, 2.5]),
    st.sampled_from([0, 7]),
    st.sampled_from(["large", "small"]),
)


@hypothesis_settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.booleans(), st.lists(LIST_ENTRIES, max_size=40)), max_size=8), st.booleans())
def test_table_depends_only_on_the_last_entry_of_each_endpoint(
    updates: list[tuple[bool, list[Endpoint]]], zone_aware: bool
) -> None:
    # The result must not depend on the order of full lists, deltas, drains, returns and repeated entries.
    config = replace(proxy_settings(40, zone_aware), zones=ZONES[:3])
    balancer = Balancer(config, 1, START_NS)
    last_entries: dict[int, Endpoint] = {}
    for is_complete, entries in updates:
        kind = EndpointUpdateKind.FULL if is_complete else EndpointUpdateKind.DELTA
        balancer.handle(START_NS, [EndpointUpdate(kind, entries)])
        last_entries = ({} if is_complete else last_entries) | {e.id: e for e in entries}
    listed = [e for e in last_entries.values() if e.status is not EndpointStatus.REMOVED]
    fresh = Balancer(config, 2, START_NS)
    fresh.handle(START_NS, [EndpointUpdate(EndpointUpdateKind.FULL, sorted(listed, reverse=True))])
    assert contents(config, balancer.fleet.table) == contents(config, fresh.fleet.table)
    orders = [[[s.id for s in pool.endpoints] for pool in b.fleet.pools.values()] for b in (balancer, fresh)]
    assert orders[0] == orders[1]
    assert set(orders[0][0]) == {e.id for e in listed if e.status is EndpointStatus.READY}
    assert all(s.endpoint == last_entries[i] for i, s in balancer.fleet.endpoints.items())


@pytest.mark.parametrize("number", [0, 1, 2**32 - 1, 2**64 - 1, 0x123456789ABCDEF])
def test_unmix64_is_the_inverse_of_mix64(number: int) -> None:
    assert unmix64(mix64(number, 0)) == number


@pytest.mark.parametrize(
    ("proxy_count", "zone_aware"),
    [(1650, False), (1650, True), (LARGE_DEPLOYMENT_PROXIES, False), (LARGE_DEPLOYMENT_PROXIES, True)],
)
def test_subsets_of_many_proxies_are_even_and_leave_no_endpoint_out(
    proxy_count: int, zone_aware: bool
) -> None:
    table = table_of(proxy_settings(proxy_count, zone_aware), endpoints_in_all_zones(30_000))
    subsets = subsets_of_all(table, proxy_count, zone_aware)
    assert min(map(len, subsets)) >= LARGE_DEPLOYMENT_SUBSET_SIZE
    assert max(map(len, subsets)) <= min(map(len, subsets)) + 1
    sharing_proxies = Counter(key for subset in subsets for key in subset)
    mean = sum(sharing_proxies.values()) / 30_000
    assert len(sharing_proxies) == 30_000
    assert max(sharing_proxies.values()) <= mean + 3


@pytest.mark.parametrize("zone_aware", [False, True])
def test_adding_or_removing_an_endpoint_or_proxy_moves_few_members(zone_aware: bool) -> None:
    proxy_count = 1650
    endpoints = endpoints_in_all_zones(30_000)
    table = table_of(proxy_settings(proxy_count, zone_aware), endpoints)
    before = subsets_of_all(table, proxy_count, zone_aware)
    members = sum(map(len, before))
    table.remove(endpoints[77].id)
    table.apply_changes()
    moved = count_moved(before, subsets_of_all(table, proxy_count, zone_aware))
    assert max(moved) <= 1
    assert sum(moved) <= 0.002 * members
    table.upsert(endpoints[77])
    table.apply_changes()
    assert subsets_of_all(table, proxy_count, zone_aware) == before
    after = subsets_of_all(table, proxy_count + 1, zone_aware)
    assert sum(count_moved(before, after[:proxy_count])) <= 0.002 * members


def test_growing_list_moves_few_members_when_segment_count_doubles() -> None:
    # Proxies must not all switch to more, shorter segments at the same length of the list.
    proxy_count = 1030
    endpoints = endpoints_in_all_zones(4300)
    table = table_of(proxy_settings(proxy_count), endpoints[:3900])
    before = subsets_of_all(table, proxy_count, False)
    moved_max = 0
    for first in range(3900, 4300, 40):
        for endpoint in endpoints[first : first + 40]:
            table.upsert(endpoint)
        table.apply_changes()
        after = subsets_of_all(table, proxy_count, False)
        moved_max = max(moved_max, sum(count_moved(before, after)))
        before = after
    assert moved_max < 0.5 * sum(map(len, before))  # 40 endpoints are added at once


def cost_of_updates(monkeypatch: pytest.MonkeyPatch, count: int) -> tuple[Counter[str], Balancer]:
    """Count hashes and ring keys for 40 updates of one endpoint each, in a list of this length."""
    endpoints = endpoints_in_all_zones(count)
    now_ns = START_NS
    balancer = Balancer(proxy_settings(8800, index=5), 1, now_ns)
    balancer.handle(now_ns, [EndpointUpdate(EndpointUpdateKind.FULL, endpoints)])
    counts: Counter[str] = Counter()
    modules = (hash_ring, endpoint_table, placement, subsetting)
    names = ("mix64", "unmix64", "ring_slice")
    functions = {name: getattr(hash_ring, name) for name in names}

    def counted(name: str) -> object:
        def call(*args: object) -> object:
            result = functions[name](*args)
            counts[name] += len(result) if isinstance(result, list) else 1
            return result

        return call

    for module in modules:
        for name in set(names) & set(vars(module)):
            monkeypatch.setattr(module, name, counted(name))
    rng = random.Random(4)
    for _ in range(20):
        endpoint = rng.choice(endpoints)
        for status in (EndpointStatus.DRAINING, EndpointStatus.READY):
            now_ns += NANOSECONDS_PER_SECOND
            entry = endpoint._replace(status=status)
            balancer.handle(now_ns, [EndpointUpdate(EndpointUpdateKind.DELTA, [entry])])
            counts["states"] = max(counts["states"], len(balancer.fleet.endpoints))
    monkeypatch.undo()
    return counts, balancer


def test_update_cost_does_not_grow_from_1000_to_30000_endpoints(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    small, _ = cost_of_updates(monkeypatch, 1000)
    large, balancer = cost_of_updates(monkeypatch, 30_000)
    assert large["mix64"] <= 1.2 * small["mix64"]
    assert large["mix64"] <= 40 * 8
    assert large["ring_slice"] <= 40 * 3 * (LARGE_DEPLOYMENT_SUBSET_SIZE + RESERVE_SIZE)
    assert large["states"] <= LARGE_DEPLOYMENT_SUBSET_SIZE + RESERVE_SIZE + 1
    assert len(balancer.fleet.table.attributes) == 30_000
    # Endpoints with equal attributes share one object.
    assert len({id(attributes) for attributes in balancer.fleet.table.attributes.values()}) < 1000


def test_an_equal_full_list_rebuilds_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    endpoints = endpoints_in_all_zones(5000)
    balancer = Balancer(proxy_settings(8800), 1, START_NS)
    balancer.handle(START_NS, [EndpointUpdate(EndpointUpdateKind.FULL, endpoints)])
    attributes = dict(balancer.fleet.table.attributes)
    states = dict(balancer.fleet.endpoints)
    # Any change of a ring calls the hash, which would fail now.
    monkeypatch.setattr(placement, "mix64", None)
    monkeypatch.setattr(hash_ring, "mix64", None)
    update = EndpointUpdate(EndpointUpdateKind.FULL, list(reversed(endpoints)))
    balancer.handle(START_NS + NANOSECONDS_PER_SECOND, [update])
    assert all(balancer.fleet.table.attributes[i] is row for i, row in attributes.items())
    assert balancer.fleet.endpoints == states


def remaining(subset: Subset, lost_ids: set[int]) -> tuple[int, int]:
    """Return how many endpoints of a subset remain, without and with its reserve."""
    return (
        len([k for k in subset.assigned if unmix64(k) not in lost_ids]),
        len([k for k in subset if unmix64(k) not in lost_ids]),
    )


@pytest.mark.parametrize("zone_aware", [False, True])
def test_subset_and_reserve_suffice_after_the_loss_of_a_cell_or_zone(zone_aware: bool) -> None:
    endpoints = endpoints_in_all_zones(30_000)
    table = table_of(proxy_settings(1650, zone_aware), endpoints)
    cell = {e.id for e in endpoints if (e.zone, e.cell) == ("z0", 3)}
    zone = {e.id for e in endpoints if e.zone == "z0"}
    assert len(cell) == 100
    assert len(zone) == 3750
    for index in range(0, 1650, 8):  # the proxies of zone z0
        config = proxy_settings(1650, zone_aware, index)
        subset = choose_subset(config, table.placements[0])
        assigned, with_reserve = remaining(subset, cell)
        assert assigned >= 0.8 * len(subset.assigned)
        assert with_reserve >= 0.9 * (LARGE_DEPLOYMENT_SUBSET_SIZE + RESERVE_SIZE) * 0.8
        if zone_aware:  # the subset lies in the proxy's zone, the reserve in others too
            assert {table.endpoint(unmix64(k)).zone for k in subset.assigned} == {"z0"}
            assert remaining(subset, zone)[1] >= RESERVE_SIZE // 4
        else:
            assert remaining(subset, zone)[0] >= 0.6 * len(subset.assigned)
    for number in zone:
        table.remove(number)
    table.apply_changes()
    assert (
        len(choose_subset(config, table.placements[0]).assigned) >= LARGE_DEPLOYMENT_SUBSET_SIZE
    )  # in other zones now


@pytest.mark.parametrize("request_class", [ZONE, CELL_DEDUPLICATED])
def test_a_retry_with_an_idempotency_key_finds_its_group_in_a_long_list(request_class: RequestClass) -> None:
    # Few or none of the 100 endpoints of a cell are in the subset or the reserve.
    harness = PolicyHarness(proxy_settings(8800, index=3), endpoint_count=0)
    harness.deliver(EndpointUpdate(EndpointUpdateKind.CACHED, endpoints_in_all_zones(30_000)))
    retried = 0
    for i in range(60):
        harness.deliver(arrival(i, harness.now_ns, request_class))
        harness.now_ns += 5 * NANOSECONDS_PER_MILLISECOND
        harness.finish(f"r{i}", AttemptResult.RESET)  # the harness checks that a retry stays in the group
        retried += len(harness.attempts[f"r{i}"]) > 1
        harness.now_ns += 5 * NANOSECONDS_PER_MILLISECOND
        if f"r{i}" not in harness.outcomes:
            harness.finish(f"r{i}")
    assert retried >= 55
    assert (
        len(harness.balancer.fleet.endpoints)
        <= LARGE_DEPLOYMENT_SUBSET_SIZE + RESERVE_SIZE + 5 * ENDPOINTS_OUTSIDE_POOL_MAX
    )
    harness.advance(NANOSECONDS_PER_SECOND)
    harness.deliver()
    assert len(harness.balancer.fleet.endpoints) <= LARGE_DEPLOYMENT_SUBSET_SIZE + RESERVE_SIZE


def test_endpoint_that_left_the_subset_is_no_longer_available() -> None:
    # A request that probed the endpoint still refers to its discarded state, which gets no more updates.
    harness = PolicyHarness(proxy_settings(8800, index=3), endpoint_count=0)
    harness.deliver(EndpointUpdate(EndpointUpdateKind.CACHED, endpoints_in_all_zones(2000)))
    fleet = harness.balancer.fleet
    checked = fleet.default_pool.endpoints[0]
    others = [e for e in endpoints_in_all_zones(2000, seed=9) if e.id != checked.id]
    harness.deliver(EndpointUpdate(EndpointUpdateKind.FULL, [*others, checked.endpoint._replace(zone="z7")]))
    if checked.id not in fleet.pooled_ids:
        assert not harness.balancer.selection.is_available(checked, harness.now_ns)
        assert checked.id not in fleet.endpoints
    harness.deliver(EndpointUpdate(EndpointUpdateKind.FULL, others))
    assert not harness.balancer.selection.is_available(checked, harness.now_ns)
    assert checked.id not in fleet.endpoints
