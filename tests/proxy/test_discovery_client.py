"""The list and the watch on it, over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from loadbalancer.messages import (
    Action,
    Endpoint,
    EndpointStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    FetchEndpoints,
    TimerExpired,
    WatchEndpoints,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.proxy.endpoint_list import EndpointList
from loadbalancer.proxy.endpoint_list_reader import EndpointListReader
from loadbalancer.proxy.errors import EndpointListError
from loadbalancer.proxy.proxy import Proxy
from loadbalancer.state.endpoint_ids import SEGMENTS, EndpointIdRegistry, preferred_id
from tests.support.sockets import (
    HOST,
    Answer,
    Client,
    FakeDiscovery,
    Json,
    ReceivedRequest,
    ScriptedPolicy,
    Watched,
    Writer,
    entry,
    known,
    node,
    run,
    settings,
    until,
    written,
)

TOLD_S = 6.0  # what discovery has to tell counts as told after this at the latest


def read(raw: object, reader: EndpointListReader | None = None) -> EndpointList:
    return (reader or EndpointListReader(0)).read(json.dumps(raw).encode())


def test_a_host_has_the_same_number_everywhere() -> None:
    rows = [entry("s-5be2a07c"), entry("s-0001320d"), entry("s-0001e3f4")]
    one, other = (
        read({"seq": 1, "whole": True, "hosts": hosts}, EndpointListReader(offset))
        for offset, hosts in ((0, rows), (9, rows[::-1]))
    )
    assert list(one.ids) == list(other.ids)[::-1]  # whatever reads it, in whatever order
    assert one.ids[0] == preferred_id("s-5be2a07c") == 9587356208999800076


def test_hosts_that_collide_get_different_numbers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("loadbalancer.proxy.endpoint_list_parser.preferred_id", lambda host: 7)
    listing = read({"seq": 1, "whole": True, "hosts": [entry("a", 80), entry("b", 81)]})
    assert len(set(listing.ids)) == 2


SHARED = 7  # the number that all hosts prefer where they collide


@pytest.fixture
def colliding(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("loadbalancer.proxy.endpoint_list_parser.preferred_id", lambda host: SHARED)


def changed(version: int, *hosts: object, whole: bool = False) -> Json:
    return {"seq": version, "whole": whole, "hosts": hosts}


def ports(balancer: Proxy) -> dict[int, int]:
    """The number of each upstream in force, by its port."""
    return {port: number for number, (_, port) in balancer.endpoint_addresses().items()}


@pytest.mark.usefixtures("colliding")
def test_a_colliding_host_keeps_its_number_in_every_list() -> None:
    reader = EndpointListReader(0)
    assert list(read(changed(1, entry("a"), entry("b"), entry("a"), whole=True), reader).ids) == [7, 8, 7]
    assert list(read(changed(2, entry("c"), entry("b", health="draining")), reader).ids) == [9, 8]
    assert list(read(changed(3, entry("c"), entry("b"), entry("a"), whole=True), reader).ids) == [9, 8, 7]
    assert list(read(changed(4, entry("b", health="removed", dial="")), reader).ids) == [8]
    assert read(changed(5, entry("c", health="odd"), entry("a", dial="h")), reader).unreadable == [9, 7]
    unknown = read(changed(6, entry("x", health="removed", dial=""), entry("y", health="odd")), reader)
    assert not list(unknown.ids)
    assert not unknown.unreadable


@pytest.mark.usefixtures("colliding")
def test_a_delta_that_adds_a_colliding_host_leaves_its_partner() -> None:
    async def test() -> None:
        registry, script = FakeDiscovery(), ScriptedPolicy()
        registry.rows = {"s0": entry("s0", 1)}
        async with node(script, registry=registry, known_list=known(1)) as client:
            await until(lambda: registry.calls)
            registry.change("s1", dial=f"{HOST}:2")
            await until(lambda: len(client.node.endpoint_addresses()) == 2)
            assert ports(client.node) == {1: SHARED, 2: SHARED + 1}

    run(test())


@pytest.mark.usefixtures("colliding")
def test_colliding_hosts_of_the_known_list_keep_their_numbers_when_discovery_lists_them() -> None:
    async def test() -> None:
        script = ScriptedPolicy()
        async with node(script, known_list=known(1, 2)) as client:
            assert script.ids() == [SHARED, SHARED + 1]
            balancer = client.node
            balancer._on_watch_result(
                read(changed(2, entry("s1", 4), entry("s0", 3), whole=True), balancer._list_reader)
            )
            await until(lambda: balancer._endpoint_updater.task is None)
            assert ports(balancer) == {3: SHARED, 4: SHARED + 1}

    run(test())


@pytest.mark.usefixtures("colliding")
@pytest.mark.parametrize("swept", [False, True])
@pytest.mark.parametrize("whole", [False, True])
@pytest.mark.parametrize("left", [0, 1])
def test_a_removed_host_whose_colliding_partner_stays_returns(left: int, whole: bool, swept: bool) -> None:
    async def test() -> None:
        async with node(ScriptedPolicy(), known_list=known(1, 2)) as client:
            balancer, stays = client.node, 1 - left

            def told(*hosts: object, whole: bool = False) -> None:
                version = (balancer._list_reader._newest_version or 0) + 1
                balancer._on_watch_result(read(changed(version, *hosts, whole=whole), balancer._list_reader))
                if swept:
                    balancer._endpoint_updater.sweep_ids(SEGMENTS)

            if whole:
                told(entry(f"s{stays}", stays + 1), whole=True)
            else:
                told(entry(f"s{left}", health="removed", dial=""))
            assert ports(balancer) == {stays + 1: SHARED + stays}
            told(entry(f"s{stays}", stays + 1))
            assert ports(balancer) == {stays + 1: SHARED + stays}  # it keeps its number
            told(entry(f"s{left}", left + 1))
            assert ports(balancer) == {1: SHARED, 2: SHARED + 1}

    run(test())


@pytest.mark.usefixtures("colliding")
def test_a_number_is_freed_when_the_list_that_removes_its_host_is_in_force_and_no_sooner() -> None:
    async def test() -> None:
        async with node(ScriptedPolicy(), known_list=known(1, 2)) as client:
            balancer, reader = client.node, client.node._list_reader
            many = [entry(f"s{i}", i + 1) for i in range(1, 100)]
            balancer._on_watch_result(read(changed(2, *many, whole=True), reader))  # put in force in slices
            assert balancer._endpoint_updater.task is not None
            balancer._endpoint_updater.sweep_ids(SEGMENTS)
            assert len(reader.id_registry) == 100
            assert list(read(changed(3, entry("new", 200)), reader).ids) == [SHARED + 100]  # none is free
            await until(lambda: balancer._endpoint_updater.task is None)
            balancer._endpoint_updater.sweep_ids(SEGMENTS)
            assert len(reader.id_registry) == len(balancer._addresses.by_id) == 99
            assert list(read(changed(4, entry("newer", 201)), reader).ids) == [SHARED]

    run(test())


def test_hosts_that_come_and_go_leave_nothing_behind() -> None:
    async def test() -> None:
        async with node(ScriptedPolicy(), known_list=known(1)) as client:
            balancer, reader = client.node, client.node._list_reader
            for version in range(2, 50):
                balancer._on_watch_result(read(changed(version, entry(f"x{version}"), whole=True), reader))
            with pytest.raises(EndpointListError):
                read({"hosts": [entry("bad")]}, reader)
            read(changed(1, entry("late")), reader)  # older than the last: not taken
            abandoned = reader.steps(bytearray(json.dumps(known(*range(1, 200))).encode()))
            next(abandoned)
            balancer._endpoint_updater.sweep_ids(SEGMENTS)
            assert len(reader.id_registry) > 50  # what is being read may name any
            abandoned.close()
            for _ in range(SEGMENTS):  # as once a second
                assert balancer._sweep_timer is not None
                balancer._sweep_timer.cancel()
                balancer._sweep_once()
            assert len(reader.id_registry) == len(balancer._addresses.by_id) == 1

    run(test())


def test_a_swept_host_is_forgotten_and_the_next_free_number_goes_round() -> None:
    numbers, last = EndpointIdRegistry(), 2**64 - 1
    assert [numbers.assign(last, fingerprint) for fingerprint in (1, 2, 3)] == [last, 0, 1]
    numbers.sweep({last, 1})
    assert [numbers.find(last, fingerprint) for fingerprint in (1, 2, 3)] == [last, None, 1]
    assert numbers.assign(last, 4) == 0
    assert numbers.find(last, 4) == 0
    numbers.sweep({0})
    assert numbers.assign(last, 3) == last
    assert len(numbers) == 2


def test_hosts_whose_numbers_would_collide_in_32_bits_get_different_ones() -> None:
    # Half of 2^32 numbers are met twice among some 77,000 hosts; which came first must not matter anywhere.
    assert preferred_id("s-0001320d") % 2**32 == preferred_id("s-0001e3f4") % 2**32
    assert preferred_id("s-0001320d") != preferred_id("s-0001e3f4")
    assert len({preferred_id(f"s-{i:08x}") for i in range(160_000)}) == 160_000


def test_entries_become_the_modules() -> None:
    listing = read(
        {
            "seq": 7,
            "whole": True,
            "hosts": [
                entry("a", 80, site="west", block=3, health="draining", share=0.5, born_ms=2),
                entry("b", 81),
            ],
        },
        EndpointListReader(5),
    )
    by_port = {e.address[1]: e.endpoint for e in listing.entries}
    assert by_port[80]._replace(id=1) == Endpoint(1, EndpointStatus.DRAINING, "west", 3, 0.5, 1_999_995, "m")
    assert by_port[81].started_ns == 0
    assert (listing.version, listing.complete) == (7, True)


@pytest.mark.parametrize(
    "row",
    [
        entry("a", health="odd"),
        entry("a", dial="nowhere"),
        entry("a", dial="h:80"),
        entry("a", dial="127.0.0.1:99999"),
        entry("a", dial="x" * 300 + ":80"),
        entry("a", dial="a\0b:80"),
        entry("a", born_ms="x"),
        entry("a", share=10**400),
        {"host": 3},
        7,
    ],
)
def test_a_bad_entry_does_not_hide_the_others(row: object) -> None:
    listing = read({"seq": 1, "whole": False, "hosts": [row, entry("b", 81)]})
    assert [e.address[1] for e in listing.entries] == [81]


def test_a_row_that_cannot_be_read_does_not_end_an_upstream_that_is_there() -> None:
    async def test() -> None:
        registry, script = FakeDiscovery(), ScriptedPolicy()
        registry.broken = written(
            200,
            json.dumps(
                {"seq": 2, "whole": True, "hosts": [entry("s0", health="odd"), entry("s1", 2)]}
            ).encode(),
        )
        async with node(script, registry=registry, known_list=known(1, 2, 3)) as client:
            await until(lambda: len(client.node.endpoint_addresses()) == 2)  # s2 is gone, s0 is still there
            assert {port for _, port in client.node.endpoint_addresses().values()} == {1, 2}
            told = [u for e in script.of(EndpointUpdate)[1:] for u in e.endpoints]
            assert {u.id for u in told if u.status is EndpointStatus.REMOVED} == {preferred_id("s2")}
            # What is known of s0 stays to the letter: nothing else is told of it, and it is where it was.
            assert preferred_id("s0") not in {u.id for u in told}
            assert client.node.endpoint_addresses()[preferred_id("s0")] == (HOST, 1)
            assert all(e.kind is EndpointUpdateKind.DELTA for e in script.of(EndpointUpdate)[1:])

    run(test())
    again = read({"seq": 2, "whole": True, "hosts": [entry("s0", health="odd"), entry("s1", 2)]})
    assert again.unreadable == [preferred_id("s0")]
    assert list(again.ids) == [preferred_id("s1")]
    gone = read({"seq": 3, "whole": False, "hosts": [entry("s0", health="removed", dial="")]})
    assert [e.endpoint.status for e in gone.entries] == [EndpointStatus.REMOVED]
    empty = read({"seq": 4, "whole": True, "hosts": []})
    assert not list(empty.entries)
    assert not empty.unreadable
    assert empty.complete


def test_no_upstream_starts_in_the_future() -> None:
    row = entry("a", 80, born_ms=4 * 10**12)
    started = read({"seq": 1, "whole": True, "hosts": [row]}).attributes[0][4]
    assert started <= time.monotonic_ns()


@pytest.mark.parametrize(
    "raw",
    [3, {}, {"hosts": []}, {"hosts": [], "seq": "1", "whole": True}, {"hosts": {}, "seq": 1, "whole": True}],
)
def test_what_is_no_list_is_told(raw: object) -> None:
    with pytest.raises(EndpointListError):
        read(raw)


def test_a_host_that_was_removed_is_forgotten() -> None:
    async def test() -> None:
        async with node(ScriptedPolicy(), known_list=known(1, 2)) as client:
            balancer = client.node
            balancer._on_watch_result(
                read({"seq": 2, "whole": False, "hosts": [entry("s0", health="removed")]})
            )
            assert set(balancer._addresses.by_id) == {preferred_id("s1")}
            balancer._on_watch_result(read({"seq": 3, "whole": True, "hosts": []}))
            assert not balancer._addresses.by_id
            assert not balancer._connection_limits.pools
            assert not balancer._endpoint_updater._pending

    run(test())


def test_the_watch_goes_on_at_once_and_brings_changes() -> None:
    async def test() -> None:
        registry, asking = FakeDiscovery(), []

        def react(event: Event) -> tuple[()]:
            if isinstance(event, EndpointUpdate) and event.kind is EndpointUpdateKind.DELTA:
                asking.append(
                    client.node._discovery_client._watch_call is not None
                )  # before the change is acted on
            return ()

        script = ScriptedPolicy(react)
        async with node(script, registry=registry, known_list=known(5)) as client:
            assert script.of(EndpointUpdate)[0].kind is EndpointUpdateKind.CACHED
            await until(lambda: registry.calls)
            assert registry.calls[0][1].startswith("/registry/instances?after=1&wait_ms=")
            registry.change("s9", dial="127.0.0.1:9")
            await until(lambda: len(script.of(EndpointUpdate)) == 2 and len(registry.calls) == 2)
            update = script.of(EndpointUpdate)[1]
            assert update.kind is EndpointUpdateKind.DELTA
            assert [u.zone for u in update.endpoints] == ["east"]
            assert asking == [True]
            assert registry.calls[1][1].startswith("/registry/instances?after=2&")
            assert len(client.node._addresses.by_id) == 2 == len(client.node.endpoint_addresses())
            registry.change("s9", health="removed")
            await until(lambda: len(script.of(EndpointUpdate)) == 3)
            assert len(client.node._addresses.by_id) == 1 == len(client.node.endpoint_addresses())

    run(test())


def test_a_watch_that_is_lost_in_silence_is_asked_anew_before_its_news_count_as_told() -> None:
    # Guards against sending to an upstream whose drain was told on a connection that had died unseen.
    async def test() -> None:
        registry, script = FakeDiscovery(), ScriptedPolicy()
        heard: Answer = registry.upstream.answer

        async def first_is_lost(got: ReceivedRequest, writer: Writer) -> None:
            if registry.calls:
                await heard(got, writer)
            else:
                registry.calls.append((time.monotonic(), got.first))

        registry.upstream.answer = first_is_lost
        async with node(script, registry=registry, known_list=known(5)):
            await until(lambda: registry.calls)
            registry.change("s0", health="draining")
            await until(lambda: len(script.of(EndpointUpdate)) == 2)
            assert list(script.of(EndpointUpdate)[1].endpoints)[0].status is EndpointStatus.DRAINING
            assert time.monotonic() - registry.calls[0][0] < TOLD_S

    run(test())


def test_an_asked_watch_that_is_lost_in_silence_is_asked_anew_without_a_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a drain told on such a watch being unknown still when it counts as told: a pause as
    # after a call that failed, of 0.5 to 1.5 s, is as long as all the time that is left then.
    async def test() -> None:
        monkeypatch.setattr("loadbalancer.proxy.discovery_client.POLL_WAIT_MS", 20)
        monkeypatch.setattr("loadbalancer.proxy.discovery_call.TIMEOUT_MARGIN_S", 0.02)
        registry = FakeDiscovery()
        heard: Answer = registry.upstream.answer

        async def first_is_lost(got: ReceivedRequest, writer: Writer) -> None:
            if registry.calls:
                await heard(got, writer)
            else:
                registry.change("s0", health="draining")
                registry.calls.append((time.monotonic(), got.first))

        registry.upstream.answer = first_is_lost
        module = Watched(Balancer(settings(asked=True), 1, time.monotonic_ns()))
        async with node(module, registry=registry, known_list=known(5), asked=True) as client:
            assert client.node.endpoint_addresses()
            await until(lambda: not client.node.endpoint_addresses())
            assert WatchEndpoints(True) in (module.answer_to(EndpointUpdateKind.WATCH_TIMED_OUT) or [])

    run(test())


@pytest.mark.parametrize(
    "broken",
    [
        written(503),
        written(200, b"no json"),
        written(200, b"[]"),
        written(200, b"[" * 50_000),
        b"garbage",
        b"HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\n",
    ],
)
def test_a_discovery_that_fails_costs_nothing_that_is_known(broken: bytes) -> None:
    async def test() -> None:
        registry, script = FakeDiscovery(), ScriptedPolicy()
        registry.broken = broken
        async with node(script, registry=registry, known_list=known(5)) as client:
            await until(lambda: len(registry.calls) >= 3)
            assert registry.calls[2][0] - registry.calls[0][0] > 0.1  # it backs off
            assert len(script.of(EndpointUpdate)) == 1
            assert len(client.node._addresses.by_id) == 1
            registry.broken = b""
            registry.change("s9", dial="127.0.0.1:9")
            await until(lambda: len(client.node.endpoint_addresses()) == 2)

    run(test())


def test_an_upstream_that_moves_is_found_at_its_new_address() -> None:
    async def test() -> None:
        registry = FakeDiscovery()
        async with node(ScriptedPolicy(), registry=registry, known_list=known(5)) as client:
            registry.change("s0", dial="127.0.0.2:6")
            await until(lambda: [*client.node.endpoint_addresses().values()] == [("127.0.0.2", 6)])

    run(test())


def test_the_module_ends_the_watch_and_fetches_the_whole_list() -> None:
    async def test() -> None:
        steps: dict[str, Action] = {
            "off": WatchEndpoints(False),
            "on": WatchEndpoints(True),
            "fetch": FetchEndpoints(),
        }
        registry = FakeDiscovery()
        script = ScriptedPolicy(lambda e: [steps[e.name]] if isinstance(e, TimerExpired) else ())
        async with node(script, registry=registry, known_list=known(5)) as client:
            await until(lambda: registry.calls)
            client.node.dispatch(TimerExpired("off"))
            assert client.node._discovery_client._target.pool.limits.open_connections == 0
            client.node.dispatch(TimerExpired("on"))
            await until(lambda: len(registry.calls) == 2)
            client.node.dispatch(TimerExpired("fetch"))
            await until(lambda: len(script.of(EndpointUpdate)) == 2)
            assert script.of(EndpointUpdate)[1].kind is EndpointUpdateKind.FULL
            assert not client.node._addresses.by_id
            assert not client.node._connection_limits.pools
            assert registry.calls[2][1] == "/registry/instances"

    run(test())


def hosts(script: ScriptedPolicy) -> list[int]:
    """The numbers of upstreams in the last whole list."""
    return [
        u.id
        for u in [e for e in script.of(EndpointUpdate) if e.kind is EndpointUpdateKind.FULL][-1].endpoints
    ]


async def second(*rows: str, broken: bytes = b"") -> FakeDiscovery:
    registry = FakeDiscovery()
    registry.rows = {host: entry(host, 9) for host in rows}
    registry.broken, registry.version = broken, 3
    await registry.upstream.start()
    return registry


def test_a_move_asks_the_new_address_for_the_whole_list_and_watches_there() -> None:
    async def test() -> None:
        old, script = FakeDiscovery(), ScriptedPolicy()
        new = await second("s8", "s9")
        async with node(script, registry=old, known_list=known(5)) as client:
            await until(lambda: old.calls)
            left = client.node._discovery_client._target
            client.node.move_discovery((HOST, new.upstream.port))
            await until(lambda: len(new.calls) == 2)
            assert new.calls[0][1] == "/registry/instances"
            assert new.calls[1][1].startswith("/registry/instances?after=3&")
            assert len(hosts(script)) == 2
            assert len(client.node.endpoint_addresses()) == 2
            assert left.pool.limits.open_connections == 0
            new.change("s7")
            await until(lambda: len(client.node.endpoint_addresses()) == 3)
        new.upstream.stop()

    run(test())


def test_the_old_watch_stays_until_the_new_address_answers() -> None:
    async def test() -> None:
        old, script = FakeDiscovery(), ScriptedPolicy()
        new = await second("s9", broken=written(503))
        async with node(script, registry=old, known_list=known(5)) as client:
            await until(lambda: old.calls)
            client.node.move_discovery((HOST, new.upstream.port))
            await until(lambda: len(new.calls) == 2)
            old.change("s1")
            await until(lambda: len(client.node.endpoint_addresses()) == 2)
            new.broken = b""
            await until(lambda: len(client.node.endpoint_addresses()) == 1)
        new.upstream.stop()

    run(test())


def test_an_old_address_that_closes_is_not_asked_again() -> None:
    async def test() -> None:
        old, script = FakeDiscovery(), ScriptedPolicy()
        new = await second("s9", broken=written(503))
        async with node(script, registry=old, known_list=known(5)) as client:
            await until(lambda: old.calls)
            client.node.move_discovery((HOST, new.upstream.port))
            old.broken = written(503)
            old.change("s1")  # the watch ends
            await until(lambda: client.node._discovery_client._watch_call is None)
            assert client.node._discovery_client._watch_timer is None
            new.broken = b""
            await until(lambda: len(new.calls) > 1 and "after=3" in new.calls[-1][1])
        new.upstream.stop()

    run(test())


def test_of_several_moves_the_last_one_counts_also_back_to_the_first() -> None:
    async def test() -> None:
        old, script = FakeDiscovery(), ScriptedPolicy()
        new = [await second(f"s{i}") for i in (7, 8)]
        async with node(script, registry=old, known_list=known(5)) as client:
            await until(lambda: old.calls)
            addresses = [(HOST, r.upstream.port) for r in (*new, old)]
            for address in addresses:
                client.node.move_discovery(address)
            old.change("s1")
            await until(lambda: len(client.node.endpoint_addresses()) == 2)
            for address in addresses[:2]:
                client.node.move_discovery(address)
            await until(lambda: len(new[1].calls) == 2)
            assert not new[0].calls
            assert client.node._discovery_client._handover is None
            assert hosts(script) == [preferred_id("s8")]
        for registry in new:
            registry.upstream.stop()

    run(test())


def answers_in_turn(registry: FakeDiscovery, work_s: float) -> None:
    """Each call is work of so many seconds, one after the other, also for a caller that has gone."""
    turn, heard = asyncio.Lock(), registry.upstream.answer

    async def answer(got: ReceivedRequest, writer: Writer) -> None:
        async with turn:
            await asyncio.sleep(work_s)
        await heard(got, writer)

    registry.upstream.answer = answer


def test_a_new_address_that_answers_in_turn_is_waited_for() -> None:
    # Guards against a retry storm: a call given up after a second stays in the queue of that address, and
    # each retry waits behind it. A second signal with the same address must not queue one either.
    async def test() -> None:
        old, script = FakeDiscovery(), ScriptedPolicy()
        new = await second("s9")
        answers_in_turn(new, 1.3)
        async with node(script, registry=old, known_list=known(5)) as client:
            await until(lambda: old.calls)
            client.node.move_discovery((HOST, new.upstream.port))
            await until(lambda: new.upstream.got)
            handover = client.node._discovery_client._handover
            assert handover is not None
            client.node.move_discovery((HOST, new.upstream.port))
            assert client.node._discovery_client._handover is handover
            await until(lambda: client.node._discovery_client._handover is None)
            assert hosts(script) == [preferred_id("s9")]
            await until(lambda: len(new.upstream.got) == 2)
            assert [("after=" in got.first) for got in new.upstream.got] == [False, True]
            assert handover.backoff.failures == 0
        new.upstream.stop()

    run(test())


def asks() -> ScriptedPolicy:
    """A module that asks for the watch, or for the whole list, when it is woken so."""
    steps: dict[str, Action] = {"watch": WatchEndpoints(True), "fetch": FetchEndpoints()}
    return ScriptedPolicy(lambda e: [steps[e.name]] if isinstance(e, TimerExpired) else ())


def failures(script: ScriptedPolicy) -> int:
    return sum(e.kind is EndpointUpdateKind.FAILED for e in script.of(EndpointUpdate))


async def closes_in_handover(
    old: FakeDiscovery, new: FakeDiscovery, client: Client, script: ScriptedPolicy
) -> None:
    """The node goes over to a new address, and the old one ends its watch and listens no more."""
    client.node.dispatch(TimerExpired("watch"))
    await until(lambda: old.calls)
    client.node.move_discovery((HOST, new.upstream.port))
    await until(lambda: new.upstream.got)
    old.broken = written(503)
    old.upstream.stop()
    old.change("s1")
    await until(lambda: client.node._discovery_client._watch_call is None)
    assert failures(script) == 1  # of the watch that has ended


def test_what_is_asked_while_the_old_address_is_closed_is_answered_by_the_new_one() -> None:
    # Guards against the module being told of failures of the old address, and against calls to it.
    async def test() -> None:
        old, script = FakeDiscovery(), asks()
        new = await second("s9")
        release = holds_first_list(new)
        async with node(script, registry=old, known_list=known(5), asked=True) as client:
            discovery = client.node._discovery_client
            await closes_in_handover(old, new, client, script)
            client.node.dispatch(TimerExpired("watch"))
            await until(lambda: discovery._watch_call is None)  # refused
            client.node.dispatch(TimerExpired("watch"))
            client.node.dispatch(TimerExpired("fetch"))
            assert discovery._watch_call is None
            assert discovery._fetch_call is None
            assert failures(script) == 1
            release.set()
            await until(lambda: len(new.calls) == 2)
            assert hosts(script) == [preferred_id("s9")]
            assert "after=3" in new.calls[1][1]
            assert failures(script) == 1
        new.upstream.stop()

    run(test())


def test_what_is_asked_while_both_addresses_fail_is_told_of_the_failure_once() -> None:
    # Guards against a module that waits for ever, and one that is told again of what it did not ask.
    async def test() -> None:
        old, script = FakeDiscovery(), asks()
        new = await second("s9", broken=written(503))
        async with node(script, registry=old, known_list=known(5), asked=True) as client:
            discovery = client.node._discovery_client
            await closes_in_handover(old, new, client, script)

            async def is_told_once(told: int) -> None:
                client.node.dispatch(TimerExpired("watch"))
                await until(lambda: failures(script) == told)
                ended = len(new.calls)
                await until(lambda: len(new.calls) >= ended + 2)
                assert failures(script) == told
                assert discovery._watch_call is None

            await is_told_once(2)
            await is_told_once(3)
            new.broken = b""
            await until(lambda: discovery._handover is None)
            assert hosts(script) == [preferred_id("s9")]
        new.upstream.stop()

    run(test())


@pytest.mark.parametrize("asked", ["watch", "fetch"])
def test_what_was_left_to_the_new_address_is_asked_of_the_old_one_after_a_move_back(asked: str) -> None:
    async def test() -> None:
        old, script = FakeDiscovery(), asks()
        new = await second("s9")
        holds_first_list(new)
        async with node(script, registry=old, known_list=known(5), asked=True) as client:
            await closes_in_handover(old, new, client, script)
            client.node.dispatch(TimerExpired(asked))
            await until(lambda: client.node._discovery_client._target.refuses_connections)
            client.node.move_discovery((HOST, old.upstream.port))
            await until(lambda: failures(script) >= 2)  # it is still closed, and is asked
        new.upstream.stop()

    run(test())


def holds_first_list(registry: FakeDiscovery) -> asyncio.Event:
    """The first whole list is held back, as it is when asked for, until the event is set."""
    release, heard = asyncio.Event(), registry.upstream.answer

    async def answer(got: ReceivedRequest, writer: Writer) -> None:
        if "after=" in got.first or release.is_set():
            await heard(got, writer)
            return
        body = json.dumps({"seq": registry.version, "whole": True, "hosts": list(registry.rows.values())})
        registry.calls.append((time.monotonic(), got.first.split()[1]))
        await release.wait()
        writer.write(written(200, body.encode()))

    registry.upstream.answer = answer
    return release


def states(script: ScriptedPolicy) -> list[EndpointStatus]:
    """What the module has been told of the one upstream, in order."""
    return [u.status for e in script.of(EndpointUpdate) for u in e.endpoints]


def test_an_older_list_at_a_hand_over_does_not_undo_a_drain() -> None:
    # The new address answers with what it had when asked; meanwhile the old one has told a drain.
    async def test() -> None:
        old, script = FakeDiscovery(), ScriptedPolicy()
        old.rows = {"s0": entry("s0", 5)}
        new = await second("s0")
        new.version = 1
        release = holds_first_list(new)
        async with node(script, registry=old, known_list=known(5)) as client:
            await until(lambda: old.calls)
            client.node.move_discovery((HOST, new.upstream.port))
            await until(lambda: new.calls)
            old.change("s0", health="draining")
            await until(lambda: states(script)[-1] is EndpointStatus.DRAINING)
            release.set()
            await until(lambda: len(new.calls) == 2)  # what it said is read, and it is asked once more
            assert states(script) == [EndpointStatus.READY, EndpointStatus.DRAINING]
            assert not client.node.endpoint_addresses()
            new.rows["s0"]["health"], new.version = "draining", 2
            await until(lambda: client.node._discovery_client._handover is None)
            assert EndpointStatus.READY not in states(script)[1:]
        new.upstream.stop()

    run(test())


def test_an_older_list_that_was_fetched_does_not_undo_a_drain() -> None:
    async def test() -> None:
        registry = FakeDiscovery()
        registry.rows = {"s0": entry("s0", 5)}
        release = holds_first_list(registry)
        script = ScriptedPolicy(lambda e: [FetchEndpoints()] if isinstance(e, TimerExpired) else ())
        async with node(script, registry=registry, known_list=known(5)) as client:
            await until(lambda: registry.calls)
            client.node.dispatch(TimerExpired("fetch"))
            await until(lambda: len(registry.calls) == 2)
            registry.change("s0", health="draining")
            await until(lambda: states(script)[-1] is EndpointStatus.DRAINING)
            release.set()
            await until(lambda: client.node._discovery_client._fetch_call is None)
            assert states(script) == [EndpointStatus.READY, EndpointStatus.DRAINING]
            assert not client.node.endpoint_addresses()

    run(test())


def test_an_indented_list_is_read() -> None:
    async def test() -> None:
        registry = FakeDiscovery()

        async def indented(got: ReceivedRequest, writer: Writer) -> None:
            registry.calls.append((time.monotonic(), got.first))
            if len(registry.calls) == 1:
                listing = {"seq": 2, "whole": True, "hosts": [entry("s8", 8), entry("s9", 9)]}
                writer.write(written(200, json.dumps(listing, indent=8).replace("\n", "\r\n\t").encode()))

        registry.upstream.answer = indented
        async with node(ScriptedPolicy(), registry=registry, known_list=known(5)) as client:
            await until(lambda: len(client.node.endpoint_addresses()) == 2 and len(registry.calls) == 2)

    run(test())
