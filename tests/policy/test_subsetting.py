"""The table of upstreams and the subsets: the same function of the list however it came, even, and steady."""

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
from loadbalancer.policy.selection import SCAN
from loadbalancer.policy.subsetting import MANY_PROXIES, WIDE_SUBSET, choose_subset
from loadbalancer.settings import DeduplicationScope, Idempotency, Prices, RequestClass, Settings
from loadbalancer.state import endpoint_table, hash_ring
from loadbalancer.state.endpoint_table import RESERVE_SIZE, EndpointTable, Placement
from loadbalancer.state.hash_ring import mix64, unmix64
from loadbalancer.state.subset import Subset
from tests.support.policy_harness import MS, SECOND, START, PolicyHarness, arrival, settings

ZONES = [f"z{i}" for i in range(8)]
ZONE = RequestClass(
    "zone",
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.ZONE,
    deduplication_window_ns=400 * MS,
    latency_objective_ns=300 * MS,
)
CELL = RequestClass(
    "cell",
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.CELL,
    deduplication_window_ns=400 * MS,
    latency_objective_ns=300 * MS,
)
READ = RequestClass("read", latency_objective_ns=300 * MS)
FOUND = (frozenset({"z1", "z2"}), frozenset({"large"}))  # a placement


def fleet(count: int, seed: int = 1) -> list[Endpoint]:
    """Upstreams of random ids over eight zones, a hundred to a cell."""
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


def site(proxies: int, zonal: bool = False, me: int = 0, **more: object) -> Settings:
    prices = Prices(connection=0.03, cross_zone=0.02) if zonal else Prices()
    return settings(
        proxy_index=me,
        proxy_count=proxies,
        zone=ZONES[me % 8],
        zones=ZONES,
        prices=prices,
        request_classes={c.name: c for c in (READ, ZONE, CELL)},
        **more,
    )


def table(config: Settings, upstreams: Iterable[Endpoint]) -> EndpointTable:
    made = EndpointTable(config)
    made.add_placement(Placement(None, None))
    made.add_placement(Placement(*FOUND))
    for upstream in upstreams:
        made.upsert(upstream)
    made.apply_changes()
    return made


def shown(made: EndpointTable) -> object:
    """All that a table holds, and the subset that it gives."""
    return (
        made.attributes,
        [
            (list(p.ring), {z: list(ring) for z, ring in p.by_zone.items() if ring}, dict(p.by_cell))
            for p in made.placements
        ],
        [choose_subset(made, p) for p in made.placements],
    )


def subsets(made: EndpointTable, proxies: int, zonal: bool) -> list[set[int]]:
    """The subset of each of so many proxies before the same list."""
    found = []
    for me in range(proxies):
        made.settings = site(proxies, zonal, me)
        found.append(set(choose_subset(made, made.placements[0]).assigned))
    return found


ENTRIES = st.builds(
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
@given(st.lists(st.tuples(st.booleans(), st.lists(ENTRIES, max_size=40)), max_size=8), st.booleans())
def test_the_table_is_what_the_last_word_on_each_upstream_makes_it(
    updates: list[tuple[bool, list[Endpoint]]], zonal: bool
) -> None:
    # Guards against a table that depends on how it came about: lists, changes, drains, returns, doubles.
    config = replace(site(40, zonal), zones=ZONES[:3])
    balancer, last = Balancer(config, 1, START), dict[int, Endpoint]()
    for whole, entries in updates:
        kind = EndpointUpdateKind.FULL if whole else EndpointUpdateKind.DELTA
        balancer.handle(START, [EndpointUpdate(kind, entries)])
        last = ({} if whole else last) | {e.id: e for e in entries}
    made, known = (
        balancer.fleet.table,
        [e for e in last.values() if e.status is not EndpointStatus.REMOVED],
    )
    nothing = Balancer(config, 2, START)
    nothing.handle(START, [EndpointUpdate(EndpointUpdateKind.FULL, sorted(known, reverse=True))])
    assert shown(made) == shown(nothing.fleet.table)
    orders = [
        [[s.id for s in pool.endpoints] for pool in b.fleet.pools.values()] for b in (balancer, nothing)
    ]
    assert orders[0] == orders[1]
    assert set(orders[0][0]) == {e.id for e in known if e.status is EndpointStatus.READY}
    assert all(s.endpoint == last[i] for i, s in balancer.fleet.endpoints.items())


@pytest.mark.parametrize("number", [0, 1, 2**32 - 1, 2**64 - 1, 0x123456789ABCDEF])
def test_a_key_tells_its_upstream(number: int) -> None:
    assert unmix64(mix64(number, 0)) == number


@pytest.mark.parametrize(
    ("proxies", "zonal"), [(1650, False), (1650, True), (MANY_PROXIES, False), (MANY_PROXIES, True)]
)
def test_subsets_of_many_proxies_are_even_and_leave_no_upstream_out(proxies: int, zonal: bool) -> None:
    found = subsets(table(site(proxies, zonal), fleet(30_000)), proxies, zonal)
    assert min(map(len, found)) >= WIDE_SUBSET
    assert max(map(len, found)) <= min(map(len, found)) + 1
    shares = Counter(key for subset in found for key in subset)
    mean = sum(shares.values()) / 30_000
    assert len(shares) == 30_000
    assert max(shares.values()) <= mean + 3


@pytest.mark.parametrize("zonal", [False, True])
def test_one_upstream_or_one_proxy_more_or_less_moves_little(zonal: bool) -> None:
    proxies, upstreams = 1650, fleet(30_000)
    made = table(site(proxies, zonal), upstreams)
    before = subsets(made, proxies, zonal)
    members = sum(map(len, before))
    made.remove(upstreams[77].id)
    made.apply_changes()
    moved = [len(a - b) for a, b in zip(before, subsets(made, proxies, zonal), strict=True)]
    assert max(moved) <= 1
    assert sum(moved) <= 0.002 * members
    made.upsert(upstreams[77])
    made.apply_changes()
    assert subsets(made, proxies, zonal) == before
    assert (
        sum(len(a - b) for a, b in zip(before, subsets(made, proxies + 1, zonal)[:proxies], strict=True))
        <= 0.002 * members
    )


def test_a_list_that_grows_moves_no_great_part_at_once_where_the_segments_double() -> None:
    # Guards against every proxy going over to more and shorter segments at the same length of the list.
    upstreams, proxies = fleet(4300), 1030
    made = table(site(proxies), upstreams[:3900])
    before, worst = subsets(made, proxies, False), 0
    for first in range(3900, 4300, 40):
        for upstream in upstreams[first : first + 40]:
            made.upsert(upstream)
        made.apply_changes()
        now = subsets(made, proxies, False)
        worst, before = max(worst, sum(len(a - b) for a, b in zip(before, now, strict=True))), now
    assert worst < 0.5 * sum(map(len, before))  # forty changes at once; one in forty of that each


def touched(monkeypatch: pytest.MonkeyPatch, count: int) -> tuple[Counter[str], Balancer]:
    """What 40 changes of one upstream each, and a look each, do at a fleet of that size."""
    upstreams, now = fleet(count), START
    balancer = Balancer(site(8800, me=5), 1, now)
    balancer.handle(now, [EndpointUpdate(EndpointUpdateKind.FULL, upstreams)])
    done: Counter[str] = Counter()
    modules = (hash_ring, endpoint_table, subsetting)
    names = ("mix64", "unmix64", "ring_slice")
    real = {name: getattr(hash_ring, name) for name in names}

    def counted(name: str) -> object:
        def call(*args: object) -> object:
            given = real[name](*args)
            done[name] += len(given) if isinstance(given, list) else 1
            return given

        return call

    for module in modules:
        for name in set(names) & set(vars(module)):
            monkeypatch.setattr(module, name, counted(name))
    rng = random.Random(4)
    for _ in range(20):
        upstream = rng.choice(upstreams)
        for state in (EndpointStatus.DRAINING, EndpointStatus.READY):
            now += SECOND
            balancer.handle(
                now, [EndpointUpdate(EndpointUpdateKind.DELTA, [upstream._replace(status=state)])]
            )
            done["known in full"] = max(done["known in full"], len(balancer.fleet.endpoints))
    monkeypatch.undo()
    return done, balancer


def test_a_change_and_a_look_cost_the_same_before_a_thousand_and_thirty_thousand(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    small, _ = touched(monkeypatch, 1000)
    large, balancer = touched(monkeypatch, 30_000)
    assert large["mix64"] <= 1.2 * small["mix64"]
    assert large["mix64"] <= 40 * 8
    assert large["ring_slice"] <= 40 * 3 * (WIDE_SUBSET + RESERVE_SIZE)
    assert large["known in full"] <= WIDE_SUBSET + RESERVE_SIZE + 1
    assert len(balancer.fleet.table.attributes) == 30_000
    # Upstreams that are alike share one row: what each costs beside it is its place in tables and rings.
    assert len({id(profile) for profile in balancer.fleet.table.attributes.values()}) < 1000


def test_a_second_whole_list_that_says_the_same_makes_nothing_anew(monkeypatch: pytest.MonkeyPatch) -> None:
    upstreams = fleet(5000)
    balancer = Balancer(site(8800), 1, START)
    balancer.handle(START, [EndpointUpdate(EndpointUpdateKind.FULL, upstreams)])
    rows, servers = dict(balancer.fleet.table.attributes), dict(balancer.fleet.endpoints)
    # It would be called for any change of a ring.
    monkeypatch.setattr(endpoint_table, "mix64", None)
    monkeypatch.setattr(hash_ring, "mix64", None)
    balancer.handle(START + SECOND, [EndpointUpdate(EndpointUpdateKind.FULL, list(reversed(upstreams)))])
    assert all(balancer.fleet.table.attributes[i] is row for i, row in rows.items())
    assert balancer.fleet.endpoints == servers


def ready_left(subset: Subset, gone: set[int]) -> tuple[int, int]:
    return (
        len([k for k in subset.assigned if unmix64(k) not in gone]),
        len([k for k in subset if unmix64(k) not in gone]),
    )


@pytest.mark.parametrize("zonal", [False, True])
def test_a_rack_or_a_zone_that_goes_leaves_enough_in_subset_and_reserve(zonal: bool) -> None:
    upstreams = fleet(30_000)
    made = table(site(1650, zonal), upstreams)
    rack = {u.id for u in upstreams if (u.zone, u.cell) == ("z0", 3)}
    zone = {u.id for u in upstreams if u.zone == "z0"}
    assert len(rack) == 100
    assert len(zone) == 3750
    for me in range(0, 1650, 8):  # those of the zone
        made.settings = site(1650, zonal, me)
        subset = choose_subset(made, made.placements[0])
        own, known = ready_left(subset, rack)
        assert own >= 0.8 * len(subset.assigned)
        assert known >= 0.9 * (WIDE_SUBSET + RESERVE_SIZE) * 0.8
        if zonal:  # it keeps to its zone while there is one, and knows others beside it
            assert {made.endpoint(unmix64(k)).zone for k in subset.assigned} == {"z0"}
            assert ready_left(subset, zone)[1] >= RESERVE_SIZE // 4
        else:
            assert ready_left(subset, zone)[0] >= 0.6 * len(subset.assigned)
    for number in zone:
        made.remove(number)
    made.apply_changes()
    assert len(choose_subset(made, made.placements[0]).assigned) >= WIDE_SUBSET  # in other zones now


@pytest.mark.parametrize("cls", [ZONE, CELL])
def test_a_keyed_retry_finds_its_group_in_a_large_fleet(cls: RequestClass) -> None:
    # Guards against a retry that finds no upstream of its cell, of a hundred, among the few in use.
    desk = PolicyHarness(site(8800, me=3), endpoint_count=0)
    desk.give(EndpointUpdate(EndpointUpdateKind.CACHED, fleet(30_000)))
    again = 0
    for i in range(60):
        desk.give(arrival(i, desk.now, cls))
        desk.now += 5 * MS
        desk.finish(f"r{i}", AttemptResult.RESET)  # the checker proves that a further send keeps to the group
        again += len(desk.attempts[f"r{i}"]) > 1
        desk.now += 5 * MS
        if f"r{i}" not in desk.answers:
            desk.finish(f"r{i}")
    assert again >= 55
    assert len(desk.balancer.fleet.endpoints) <= WIDE_SUBSET + RESERVE_SIZE + 5 * SCAN
    desk.advance(SECOND)
    desk.give()
    assert len(desk.balancer.fleet.endpoints) <= WIDE_SUBSET + RESERVE_SIZE


def test_an_upstream_that_left_the_subset_is_not_sent_to_by_one_who_asked_it() -> None:
    # Guards against a request that asked it for its load, and an old entry that no drain reaches any more.
    desk = PolicyHarness(site(8800, me=3), endpoint_count=0)
    desk.give(EndpointUpdate(EndpointUpdateKind.CACHED, fleet(2000)))
    fleet_of = desk.balancer.fleet
    asked = fleet_of.default_pool.endpoints[0]
    others = [u for u in fleet(2000, seed=9) if u.id != asked.id]
    desk.give(EndpointUpdate(EndpointUpdateKind.FULL, [*others, asked.endpoint._replace(zone="z7")]))
    if asked.id not in fleet_of.used_ids:
        assert not desk.balancer.selection.is_available(asked, desk.now)
        assert asked.id not in fleet_of.endpoints
    desk.give(EndpointUpdate(EndpointUpdateKind.FULL, others))
    assert not desk.balancer.selection.is_available(asked, desk.now)
    assert asked.id not in fleet_of.endpoints
