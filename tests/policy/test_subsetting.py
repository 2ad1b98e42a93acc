"""The endpoint table and the subsets: the same however the list came about, even, and stable."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from loadbalancer.messages import AttemptResult, Endpoint, EndpointStatus, EndpointUpdate, EndpointUpdateKind
from loadbalancer.policy import subsetting
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.selection import SCANNED_ENDPOINTS_MAX
from loadbalancer.policy.subset_size import LARGE_DEPLOYMENT_PROXIES, LARGE_DEPLOYMENT_SUBSET_SIZE
from loadbalancer.policy.subsetting import RESERVE_SIZE, choose_subset, new_endpoint_table
from loadbalancer.settings import DeduplicationScope, Idempotency, Prices, RequestClass, Settings
from loadbalancer.state import endpoint_table, hash_ring
from loadbalancer.state.endpoint_table import EndpointTable, Placement
from loadbalancer.state.hash_ring import mix64, unmix64
from loadbalancer.state.subset import Subset
from tests.support.policy_harness import (
    NANOSECONDS_PER_MILLISECOND,
    NANOSECONDS_PER_SECOND,
    START,
    PolicyHarness,
    arrival,
    settings,
)

ZONES = [f"z{i}" for i in range(8)]
ZONE_CLASS = RequestClass(
    "zone",
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.ZONE,
    deduplication_window_ns=400 * NANOSECONDS_PER_MILLISECOND,
    latency_objective_ns=300 * NANOSECONDS_PER_MILLISECOND,
)
CELL_CLASS = RequestClass(
    "cell",
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.CELL,
    deduplication_window_ns=400 * NANOSECONDS_PER_MILLISECOND,
    latency_objective_ns=300 * NANOSECONDS_PER_MILLISECOND,
)
READ_CLASS = RequestClass("read", latency_objective_ns=300 * NANOSECONDS_PER_MILLISECOND)
NARROW_PLACEMENT = (frozenset({"z1", "z2"}), frozenset({"large"}))


def endpoints_in_all_zones(count: int, seed: int = 1) -> list[Endpoint]:
    """Return ready endpoints with random ids, spread over eight zones, a hundred to a cell."""
    rng = random.Random(seed)
    return [
        Endpoint(
            rng.getrandbits(64),
            EndpointStatus.READY,
            ZONES[i % 8],
            i // 800,
            1.0,
            0,
            ("large", "small")[i // 8 % 2],
        )
        for i in range(count)
    ]


def proxy_settings(proxies: int, zone_aware: bool = False, index: int = 0, **more: object) -> Settings:
    prices = Prices(connection=0.03, cross_zone=0.02) if zone_aware else Prices()
    return settings(
        proxy_index=index,
        proxy_count=proxies,
        zone=ZONES[index % 8],
        zones=ZONES,
        prices=prices,
        request_classes={c.name: c for c in (READ_CLASS, ZONE_CLASS, CELL_CLASS)},
        **more,
    )


def table_of(config: Settings, endpoints: Iterable[Endpoint]) -> EndpointTable:
    table = new_endpoint_table(config)
    table.add_placement(Placement(None, None))
    table.add_placement(Placement(*NARROW_PLACEMENT))
    for endpoint in endpoints:
        table.upsert(endpoint)
    table.apply_changes()
    return table


def contents(config: Settings, table: EndpointTable) -> object:
    """Return all that a table holds, and the subsets that a proxy chooses from it."""
    return (
        table.attributes,
        [
            (list(p.ring), {z: list(ring) for z, ring in p.by_zone.items() if ring}, dict(p.by_cell))
            for p in table.placements
        ],
        [choose_subset(config, p) for p in table.placements],
    )


def subsets_of_all(table: EndpointTable, proxies: int, zone_aware: bool) -> list[set[int]]:
    """Return the subset of each of so many proxies, as ring keys, given the same list."""
    subsets = []
    for index in range(proxies):
        config = proxy_settings(proxies, zone_aware, index)
        subsets.append(set(choose_subset(config, table.placements[0]).assigned))
    return subsets


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


@hyp(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.booleans(), st.lists(LIST_ENTRIES, max_size=40)), max_size=8), st.booleans())
def test_the_table_depends_on_the_last_entry_of_each_endpoint_alone(
    updates: list[tuple[bool, list[Endpoint]]], zone_aware: bool
) -> None:
    # Guards against a table that depends on its history: full lists, changes, drains, returns, doubles.
    config = replace(proxy_settings(40, zone_aware), zones=ZONES[:3])
    balancer, last = Balancer(config, 1, START), dict[int, Endpoint]()
    for full, entries in updates:
        kind = EndpointUpdateKind.FULL if full else EndpointUpdateKind.DELTA
        balancer.handle(START, [EndpointUpdate(kind, entries)])
        last = ({} if full else last) | {e.id: e for e in entries}
    known = [e for e in last.values() if e.status is not EndpointStatus.REMOVED]
    fresh = Balancer(config, 2, START)
    fresh.handle(START, [EndpointUpdate(EndpointUpdateKind.FULL, sorted(known, reverse=True))])
    assert contents(config, balancer.fleet.table) == contents(config, fresh.fleet.table)
    orders = [[[s.id for s in pool.endpoints] for pool in b.fleet.pools.values()] for b in (balancer, fresh)]
    assert orders[0] == orders[1]
    assert set(orders[0][0]) == {e.id for e in known if e.status is EndpointStatus.READY}
    assert all(s.endpoint == last[i] for i, s in balancer.fleet.endpoints.items())


@pytest.mark.parametrize("number", [0, 1, 2**32 - 1, 2**64 - 1, 0x123456789ABCDEF])
def test_unmix64_is_the_inverse_of_mix64(number: int) -> None:
    assert unmix64(mix64(number, 0)) == number


@pytest.mark.parametrize(
    ("proxies", "zone_aware"),
    [(1650, False), (1650, True), (LARGE_DEPLOYMENT_PROXIES, False), (LARGE_DEPLOYMENT_PROXIES, True)],
)
def test_subsets_of_many_proxies_are_even_and_leave_no_endpoint_out(proxies: int, zone_aware: bool) -> None:
    subsets = subsets_of_all(
        table_of(proxy_settings(proxies, zone_aware), endpoints_in_all_zones(30_000)), proxies, zone_aware
    )
    assert min(map(len, subsets)) >= LARGE_DEPLOYMENT_SUBSET_SIZE
    assert max(map(len, subsets)) <= min(map(len, subsets)) + 1
    shares = Counter(key for subset in subsets for key in subset)
    mean = sum(shares.values()) / 30_000
    assert len(shares) == 30_000
    assert max(shares.values()) <= mean + 3


@pytest.mark.parametrize("zone_aware", [False, True])
def test_one_endpoint_or_one_proxy_more_or_less_moves_few_members(zone_aware: bool) -> None:
    proxies, endpoints = 1650, endpoints_in_all_zones(30_000)
    table = table_of(proxy_settings(proxies, zone_aware), endpoints)
    before = subsets_of_all(table, proxies, zone_aware)
    members = sum(map(len, before))
    table.remove(endpoints[77].id)
    table.apply_changes()
    moved = [len(a - b) for a, b in zip(before, subsets_of_all(table, proxies, zone_aware), strict=True)]
    assert max(moved) <= 1
    assert sum(moved) <= 0.002 * members
    table.upsert(endpoints[77])
    table.apply_changes()
    assert subsets_of_all(table, proxies, zone_aware) == before
    assert (
        sum(
            len(a - b)
            for a, b in zip(before, subsets_of_all(table, proxies + 1, zone_aware)[:proxies], strict=True)
        )
        <= 0.002 * members
    )


def test_a_growing_list_moves_few_members_at_once_where_segments_double() -> None:
    # Guards against every proxy going over to more and shorter segments at the same length of the list.
    endpoints, proxies = endpoints_in_all_zones(4300), 1030
    table = table_of(proxy_settings(proxies), endpoints[:3900])
    before, worst = subsets_of_all(table, proxies, False), 0
    for first in range(3900, 4300, 40):
        for endpoint in endpoints[first : first + 40]:
            table.upsert(endpoint)
        table.apply_changes()
        now_ns = subsets_of_all(table, proxies, False)
        worst, before = max(worst, sum(len(a - b) for a, b in zip(before, now_ns, strict=True))), now_ns
    assert worst < 0.5 * sum(map(len, before))  # forty changes at once


def cost_of_updates(monkeypatch: pytest.MonkeyPatch, count: int) -> tuple[Counter[str], Balancer]:
    """Count the hashes and ring keys that 40 updates of one endpoint each take in a list of that length."""
    endpoints, now_ns = endpoints_in_all_zones(count), START
    balancer = Balancer(proxy_settings(8800, index=5), 1, now_ns)
    balancer.handle(now_ns, [EndpointUpdate(EndpointUpdateKind.FULL, endpoints)])
    counts: Counter[str] = Counter()
    modules = (hash_ring, endpoint_table, subsetting)
    names = ("mix64", "unmix64", "ring_slice")
    real = {name: getattr(hash_ring, name) for name in names}

    def counted(name: str) -> object:
        def call(*args: object) -> object:
            given = real[name](*args)
            counts[name] += len(given) if isinstance(given, list) else 1
            return given

        return call

    for module in modules:
        for name in set(names) & set(vars(module)):
            monkeypatch.setattr(module, name, counted(name))
    rng = random.Random(4)
    for _ in range(20):
        endpoint = rng.choice(endpoints)
        for state in (EndpointStatus.DRAINING, EndpointStatus.READY):
            now_ns += NANOSECONDS_PER_SECOND
            balancer.handle(
                now_ns, [EndpointUpdate(EndpointUpdateKind.DELTA, [endpoint._replace(status=state)])]
            )
            counts["known in full"] = max(counts["known in full"], len(balancer.fleet.endpoints))
    monkeypatch.undo()
    return counts, balancer


def test_an_update_costs_the_same_at_a_thousand_and_at_thirty_thousand_endpoints(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    small, _ = cost_of_updates(monkeypatch, 1000)
    large, balancer = cost_of_updates(monkeypatch, 30_000)
    assert large["mix64"] <= 1.2 * small["mix64"]
    assert large["mix64"] <= 40 * 8
    assert large["ring_slice"] <= 40 * 3 * (LARGE_DEPLOYMENT_SUBSET_SIZE + RESERVE_SIZE)
    assert large["known in full"] <= LARGE_DEPLOYMENT_SUBSET_SIZE + RESERVE_SIZE + 1
    assert len(balancer.fleet.table.attributes) == 30_000
    # Endpoints with equal attributes share one object.
    assert len({id(attributes) for attributes in balancer.fleet.table.attributes.values()}) < 1000


def test_an_equal_full_list_rebuilds_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    endpoints = endpoints_in_all_zones(5000)
    balancer = Balancer(proxy_settings(8800), 1, START)
    balancer.handle(START, [EndpointUpdate(EndpointUpdateKind.FULL, endpoints)])
    attributes, states = dict(balancer.fleet.table.attributes), dict(balancer.fleet.endpoints)
    # The hash would be called for any change of a ring.
    monkeypatch.setattr(endpoint_table, "mix64", None)
    monkeypatch.setattr(hash_ring, "mix64", None)
    balancer.handle(
        START + NANOSECONDS_PER_SECOND, [EndpointUpdate(EndpointUpdateKind.FULL, list(reversed(endpoints)))]
    )
    assert all(balancer.fleet.table.attributes[i] is known for i, known in attributes.items())
    assert balancer.fleet.endpoints == states


def remaining(subset: Subset, gone: set[int]) -> tuple[int, int]:
    """Return how many endpoints are left of a subset, without and with its reserve."""
    return (
        len([k for k in subset.assigned if unmix64(k) not in gone]),
        len([k for k in subset if unmix64(k) not in gone]),
    )


@pytest.mark.parametrize("zone_aware", [False, True])
def test_the_loss_of_a_cell_or_a_zone_leaves_enough_in_subset_and_reserve(zone_aware: bool) -> None:
    endpoints = endpoints_in_all_zones(30_000)
    table = table_of(proxy_settings(1650, zone_aware), endpoints)
    cell = {u.id for u in endpoints if (u.zone, u.cell) == ("z0", 3)}
    zone = {u.id for u in endpoints if u.zone == "z0"}
    assert len(cell) == 100
    assert len(zone) == 3750
    for index in range(0, 1650, 8):  # the proxies of zone z0
        config = proxy_settings(1650, zone_aware, index)
        subset = choose_subset(config, table.placements[0])
        own, known = remaining(subset, cell)
        assert own >= 0.8 * len(subset.assigned)
        assert known >= 0.9 * (LARGE_DEPLOYMENT_SUBSET_SIZE + RESERVE_SIZE) * 0.8
        if zone_aware:  # it stays in its zone while there is one, and knows endpoints of others
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


@pytest.mark.parametrize("request_class", [ZONE_CLASS, CELL_CLASS])
def test_a_retry_with_an_idempotency_key_finds_its_group_in_a_long_list(request_class: RequestClass) -> None:
    # Guards against a retry that finds none of the hundred endpoints of its cell among the few in use.
    harness = PolicyHarness(proxy_settings(8800, index=3), endpoint_count=0)
    harness.give(EndpointUpdate(EndpointUpdateKind.CACHED, endpoints_in_all_zones(30_000)))
    retried = 0
    for i in range(60):
        harness.give(arrival(i, harness.now_ns, request_class))
        harness.now_ns += 5 * NANOSECONDS_PER_MILLISECOND
        harness.finish(f"r{i}", AttemptResult.RESET)  # the harness checks that a retry stays in the group
        retried += len(harness.attempts[f"r{i}"]) > 1
        harness.now_ns += 5 * NANOSECONDS_PER_MILLISECOND
        if f"r{i}" not in harness.answers:
            harness.finish(f"r{i}")
    assert retried >= 55
    assert (
        len(harness.balancer.fleet.endpoints)
        <= LARGE_DEPLOYMENT_SUBSET_SIZE + RESERVE_SIZE + 5 * SCANNED_ENDPOINTS_MAX
    )
    harness.advance(NANOSECONDS_PER_SECOND)
    harness.give()
    assert len(harness.balancer.fleet.endpoints) <= LARGE_DEPLOYMENT_SUBSET_SIZE + RESERVE_SIZE


def test_an_endpoint_that_left_the_subset_gets_no_request_that_checked_its_load() -> None:
    # Guards against a request that has checked its load, and an old entry that no update reaches any more.
    harness = PolicyHarness(proxy_settings(8800, index=3), endpoint_count=0)
    harness.give(EndpointUpdate(EndpointUpdateKind.CACHED, endpoints_in_all_zones(2000)))
    fleet = harness.balancer.fleet
    checked = fleet.default_pool.endpoints[0]
    others = [u for u in endpoints_in_all_zones(2000, seed=9) if u.id != checked.id]
    harness.give(EndpointUpdate(EndpointUpdateKind.FULL, [*others, checked.endpoint._replace(zone="z7")]))
    if checked.id not in fleet.pooled_ids:
        assert not harness.balancer.selection.is_available(checked, harness.now_ns)
        assert checked.id not in fleet.endpoints
    harness.give(EndpointUpdate(EndpointUpdateKind.FULL, others))
    assert not harness.balancer.selection.is_available(checked, harness.now_ns)
    assert checked.id not in fleet.endpoints
