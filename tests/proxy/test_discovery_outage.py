"""Discovery that fails and comes back: what it tells is in force in time, and the calls stay spread."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from collections import Counter
from collections.abc import Iterator

import pytest

from loadbalancer.messages import (
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    SetTimer,
    TimerExpired,
    WatchEndpoints,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.proxy.connection_pool import MAX_IDLE_CONNECTIONS_PER_ENDPOINT
from loadbalancer.proxy.exchange import start_exchange
from tests.support.endpoint_lists import entry, list_of_ports
from tests.support.fake_discovery import FakeDiscovery
from tests.support.fake_endpoint import (
    FakeEndpoint,
    Responder,
    Writer,
    abort_connection,
    never_respond,
    respond_with,
)
from tests.support.fake_machine import Machine as Machine
from tests.support.fake_policies import ScriptedPolicy
from tests.support.http_messages import HOST, ReceivedMessage, format_response, request
from tests.support.policy_harness import NANOSECONDS_PER_SECOND, START, settings
from tests.support.running_proxy import proxy_settings, running_proxy
from tests.support.waiting import wait_until

CHANGE_DUE_S = 6.0  # a change counts as told so long after discovery had it and could be reached
ANSWER_S = 1.0  # of that, for the call that brings it, and as a margin
REFUSED_S, DECLINED_S, UNANSWERED_S = 0.0, 2.0, 3.0  # how long a call takes to fail, at most

FAILED, SILENT = EndpointUpdateKind.FAILED, EndpointUpdateKind.WATCH_TIMED_OUT


def calls(seed: int, failing: Iterator[tuple[float, EndpointUpdateKind]], until_s: float) -> list[float]:
    """When the module calls a discovery where each call fails so many seconds later."""
    balancer, now_ns, times = Balancer(settings(discovery_pushes=False), seed, START), START, []
    due: list[tuple[int, Event]] = [(START, EndpointUpdate(EndpointUpdateKind.CACHED))]
    while now_ns < START + until_s * NANOSECONDS_PER_SECOND:
        now_ns, event = due.pop(due.index(min(due, key=lambda d: d[0])))
        for action in balancer.handle(now_ns, [event]):
            if isinstance(action, SetTimer):
                due.append((now_ns + action.delay_ns, TimerExpired(action.name)))
            elif action == WatchEndpoints(True):
                times.append((now_ns - START) / NANOSECONDS_PER_SECOND)
                takes_s, kind = next(failing)
                due.append((now_ns + int(takes_s * NANOSECONDS_PER_SECOND), EndpointUpdate(kind)))
    return times


@pytest.mark.parametrize(
    "fails",
    [
        [(REFUSED_S, FAILED)],
        [(DECLINED_S, FAILED)],
        [(UNANSWERED_S, FAILED)],
        [(UNANSWERED_S, SILENT)],
        [(UNANSWERED_S, SILENT), (DECLINED_S, FAILED)],
        [(REFUSED_S, FAILED), (DECLINED_S, FAILED), (UNANSWERED_S, SILENT)],
    ],
)
def test_the_next_call_comes_in_time_however_long_discovery_was_away(
    fails: list[tuple[float, EndpointUpdateKind]],
) -> None:
    # At worst discovery is back just after a call went out, which fails all the same: the next one must
    # bring the news. The pause alone grew to 8 s.
    for seed in range(30):
        times = calls(seed, itertools.chain([(9.0, FAILED)], itertools.cycle(fails)), 120)[1:]
        gaps = [b - a for a, b in itertools.pairwise(times)]
        assert len(gaps) > 20
        assert max(gaps) <= CHANGE_DUE_S - ANSWER_S


def test_a_call_that_fails_behind_a_silent_watch_is_made_again_at_once_and_once() -> None:
    # A watch that may wait 10 s is found silent after 11, and what it missed counts as told after 12.
    for seed in range(30):
        failing = itertools.chain([(11.0, SILENT), (0.05, FAILED)], itertools.repeat((0.05, FAILED)))
        first, again, soon, *later = calls(seed, failing, 40)
        assert again - first == pytest.approx(11.0, abs=0.01)
        assert soon - again <= 0.05 + 0.2 + 0.01
        assert later[0] - soon >= 1.0  # discovery is down, not the watch alone: no more haste


def test_discovery_is_asked_still_after_hours_of_failure() -> None:
    times = calls(1, itertools.repeat((REFUSED_S, FAILED)), 4 * 3600)
    assert times[-1] > 4 * 3600 - CHANGE_DUE_S


def test_the_calls_of_a_fleet_stay_spread_while_discovery_is_away() -> None:
    # All watches end in one moment; that the pause is bounded must not bring the calls together, nor send
    # all of them at once to a discovery that is back.
    fleet = 200
    per_second: Counter[int] = Counter()
    for seed in range(fleet):
        ends = 10.0  # of all first calls, whenever each one went out
        first = calls(seed, itertools.repeat((99.0, FAILED)), 5)[0]
        times = calls(seed, itertools.chain([(ends - first, FAILED)], itertools.repeat((0.0, FAILED))), 60)
        per_second.update(int(t) for t in times)
    late = [per_second[s] for s in range(10, 59)]
    assert max(late) < 0.45 * fleet
    assert sum(late) / len(late) < 0.3 * fleet


async def declined(_received: ReceivedMessage, writer: Writer) -> None:
    writer.write(format_response(503))


def shorten(monkeypatch: pytest.MonkeyPatch) -> None:
    """All waits but the one of a watch where the list is asked for: what hides behind that is not seen."""
    for name, value in (
        ("discovery_client.PUSH_WAIT_MS", 40),
        ("discovery_client.RECOVERY_WAIT_MS", 20),
        ("discovery_call.TIMEOUT_MARGIN_S", 0.1),
        ("discovery_handover.HANDOVER_WAIT_S", 0.0),
    ):
        monkeypatch.setattr(f"loadbalancer.proxy.{name}", value)


@pytest.mark.parametrize("polls", [True, False])
@pytest.mark.parametrize(
    "order",
    [
        [declined, never_respond],
        [abort_connection, never_respond],
        [abort_connection, never_respond, never_respond, declined],
    ],
)
async def test_a_return_does_not_hide_behind_a_long_watch(
    order: list[Responder], polls: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A call fails, the next is never answered: what then changes must not wait for a watch of 10 s to end.
    shorten(monkeypatch)
    discovery, bad = FakeDiscovery(), iter(order)
    respond_normally: Responder = discovery.server.respond

    async def respond(received: ReceivedMessage, writer: Writer) -> None:
        fails = next(bad, None)
        if fails is not None:
            discovery.record_call(received)
            await fails(received, writer)
            return
        if "s0" not in discovery.entries:
            discovery.change("s0", health="draining")
        await respond_normally(received, writer)

    discovery.server.respond = respond
    policy = Balancer(proxy_settings(polls=polls), 1, time.monotonic_ns())
    async with running_proxy(
        policy, discovery=discovery, initial_list=list_of_ports(5), polls=polls
    ) as client:
        await wait_until(
            lambda: not client.proxy.addresses.ready() and len(discovery.calls) == len(order) + 2
        )
        waits = [int(query.rpartition("wait_ms=")[2]) for _, query in discovery.calls]
        longest = 10_000 if polls else 40
        assert waits == [longest, *[20] * len(order), longest]  # short until one is answered


@pytest.mark.parametrize("polls", [True, False])
@pytest.mark.parametrize("refuses", [True, False])
async def test_a_drain_is_in_force_when_a_machine_that_was_away_is_back(
    refuses: bool, polls: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    shorten(monkeypatch)
    discovery = FakeDiscovery()
    discovery.server = machine = Machine(discovery.server.respond, refuses)
    policy = Balancer(proxy_settings(polls=polls), 1, time.monotonic_ns())
    # The first call too must be given up.
    monkeypatch.setattr("loadbalancer.proxy.discovery_client.POLL_WAIT_MS", 40)
    async with running_proxy(
        policy, discovery=discovery, initial_list=list_of_ports(5), polls=polls
    ) as client:
        await wait_until(lambda: client.proxy.discovery_client._watch_backoff.failures >= 3)
        discovery.change("s0", health="draining")
        await machine.comes_back()
        await wait_until(lambda: not client.proxy.addresses.ready())


@pytest.mark.parametrize("kind", ["refuses", "unreachable", "silent"])
async def test_a_new_address_that_is_away_at_first_is_asked_until_it_answers(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    shorten(monkeypatch)
    old, new = FakeDiscovery(), FakeDiscovery()
    new.entries, new.version = {"s0": entry("s0", 5, health="draining")}, 3
    respond_normally: Responder = new.server.respond
    if kind == "silent":
        new.server.respond = never_respond
    else:
        new.server = Machine(respond_normally, kind == "refuses")
    await new.server.start()
    async with running_proxy(ScriptedPolicy(), discovery=old, initial_list=list_of_ports(5)) as client:
        await wait_until(lambda: old.calls)
        client.proxy.discovery_client.hand_over_to((HOST, new.server.port))
        handover = client.proxy.discovery_client._handover
        assert handover is not None
        await wait_until(lambda: handover.backoff.failures >= 2)
        assert client.proxy.addresses.ready()
        if isinstance(new.server, Machine):
            await new.server.comes_back()
        else:
            new.server.respond = respond_normally
        await wait_until(lambda: not client.proxy.addresses.ready())
        assert client.proxy.discovery_client._handover is None
    new.server.stop()


DESCRIPTORS = 256
PLACES = (DESCRIPTORS - 32) // 2  # for clients, and as many for connections to endpoints


async def says_nothing(port: int) -> None:
    """A client that takes a place and, when it loses it, another one."""
    while True:
        reader, writer = await asyncio.open_connection(HOST, port)
        with contextlib.suppress(OSError):
            await reader.read()
        writer.close()


@pytest.mark.parametrize("polls", [True, False])
@pytest.mark.parametrize("kind", ["refuses", "breaks", "silent"])
async def test_idle_clients_in_all_places_keep_neither_the_list_away_nor_requests(
    kind: str, polls: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    shorten(monkeypatch)
    monkeypatch.setattr("loadbalancer.proxy.discovery_client.POLL_WAIT_MS", 40)
    endpoints = [
        await FakeEndpoint(respond_with(200)).start()
        for _ in range(PLACES // MAX_IDLE_CONNECTIONS_PER_ENDPOINT)
    ]
    discovery = FakeDiscovery()
    respond_normally: Responder = discovery.server.respond
    if kind == "refuses":
        discovery.server = Machine(respond_normally, True)
    else:
        discovery.server.respond = {"breaks": abort_connection, "silent": never_respond}[kind]
    policy = Balancer(proxy_settings(polls=polls), 1, time.monotonic_ns())
    async with running_proxy(
        policy, *endpoints, discovery=discovery, max_sockets=DESCRIPTORS, polls=polls
    ) as client:
        hub, server, discovery_client = (
            client.proxy._connection_limits,
            client.proxy.downstream,
            client.proxy.discovery_client,
        )
        numbers = {port: number for number, (_, port) in client.proxy.addresses.ready().items()}
        for number in numbers.values():
            pool = client.proxy.addresses.connection_pool(number)
            assert pool is not None
            for _ in range(MAX_IDLE_CONNECTIONS_PER_ENDPOINT):
                start_exchange(pool, b"GET /read HTTP/1.1\r\n\r\n", None, lambda _result, _response: None)
        await wait_until(lambda: len(hub.idle_connections) == PLACES)
        idle = [asyncio.create_task(says_nothing(client.port)) for _ in range(PLACES + 30)]
        served, most = [], 0

        async def asks() -> None:
            nonlocal most
            await wait_until(lambda: len(server._connections) == PLACES)
            another = client.new_client()
            served.append((await another.exchange(request())).status)
            another.close()
            most = max(
                most,
                len(server._connections)
                + hub.open_connections
                + discovery_client._target.pool.limits.open_connections,
            )

        while discovery_client._watch_backoff.failures < 4:
            await asks()
        discovery.change("s0", port=endpoints[0].port, health="draining")
        if isinstance(discovery.server, Machine):
            await discovery.server.comes_back()
        else:
            discovery.server.respond = respond_normally
        await wait_until(lambda: numbers[endpoints[0].port] not in client.proxy.addresses.ready())
        before = len(endpoints[0].requests)
        for _ in range(20):
            await asks()
        await wait_until(lambda: len(discovery.calls) > 1)  # the watch goes on
        assert len(endpoints[0].requests) == before
        assert set(served) == {200}
        assert most <= DESCRIPTORS - 32 + 2
        for task in idle:
            task.cancel()
        await asyncio.gather(*idle, return_exceptions=True)
