"""Tests of discovery outages: changes take effect in time after recovery, and calls stay spread."""

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
from tests.support.fake_policies import ScriptedPolicy
from tests.support.http_messages import HOST, ReceivedMessage, format_response, request
from tests.support.policy_harness import NANOSECONDS_PER_SECOND, START_NS, make_settings
from tests.support.running_proxy import proxy_settings, running_proxy
from tests.support.unreachable_server import UnreachableServer as UnreachableServer
from tests.support.waiting import wait_until

# A change must take effect within this time after discovery has it and can be reached.
CHANGE_DUE_S = 6.0
CALL_MARGIN_S = 1.0  # part of that time, for the call that returns the change, and as a margin

# The longest time after which a call fails, for each kind of failure.
REFUSED_S, UNAVAILABLE_S, NO_RESPONSE_S = 0.0, 2.0, 4.0

FAILED, TIMED_OUT = EndpointUpdateKind.FAILED, EndpointUpdateKind.WATCH_TIMED_OUT


def call_times_s(
    seed: int, call_failures: Iterator[tuple[float, EndpointUpdateKind]], until_s: float
) -> list[float]:
    """Return when the policy calls discovery, if each call fails after this time and in this way."""
    balancer, now_ns, times = Balancer(make_settings(discovery_pushes=False), seed, START_NS), START_NS, []
    due_events: list[tuple[int, Event]] = [(START_NS, EndpointUpdate(EndpointUpdateKind.CACHED))]
    while now_ns < START_NS + until_s * NANOSECONDS_PER_SECOND:
        now_ns, event = due_events.pop(due_events.index(min(due_events, key=lambda due: due[0])))
        for action in balancer.handle(now_ns, [event]):
            if isinstance(action, SetTimer):
                due_events.append((now_ns + action.delay_ns, TimerExpired(action.name)))
            elif action == WatchEndpoints(True):
                times.append((now_ns - START_NS) / NANOSECONDS_PER_SECOND)
                duration_s, kind = next(call_failures)
                due_events.append((now_ns + int(duration_s * NANOSECONDS_PER_SECOND), EndpointUpdate(kind)))
    return times


@pytest.mark.parametrize(
    "failure_cycle",
    [
        [(REFUSED_S, FAILED)],
        [(UNAVAILABLE_S, FAILED)],
        [(NO_RESPONSE_S, FAILED)],
        [(NO_RESPONSE_S, TIMED_OUT)],
        [(NO_RESPONSE_S, TIMED_OUT), (UNAVAILABLE_S, FAILED)],
        [(REFUSED_S, FAILED), (UNAVAILABLE_S, FAILED), (NO_RESPONSE_S, TIMED_OUT)],
    ],
)
def test_the_next_call_is_made_in_time_however_long_the_outage(
    failure_cycle: list[tuple[float, EndpointUpdateKind]],
) -> None:
    # In the worst case, discovery recovers just after the start of a call that still fails, and the next call
    # must return the change. The backoff alone once grew to 8 s.
    for seed in range(30):
        times = call_times_s(seed, itertools.chain([(9.0, FAILED)], itertools.cycle(failure_cycle)), 120)[1:]
        gaps = [following - previous for previous, following in itertools.pairwise(times)]
        assert len(gaps) > 20
        assert max(gaps) <= CHANGE_DUE_S - CALL_MARGIN_S


def test_calls_that_fail_after_a_watch_timeout_are_repeated_until_the_missed_changes_are_due() -> None:
    # Guards against a drain that a silent watch missed and that is received seconds after it counts as
    # notified, since two calls were refused. A watch call that may be held for 10 s times out after 11 s;
    # changes that it missed count as notified after 12 s.
    for seed in range(30):
        call_failures = itertools.chain([(11.0, TIMED_OUT)], itertools.repeat((0.01, FAILED)))
        first, second, *later = call_times_s(seed, call_failures, 40)
        assert second - first == pytest.approx(11.0, abs=0.01)
        repeated = [time_s for time_s in later if time_s <= first + 12.0]
        after_due = later[len(repeated) :]
        gaps = [following - previous for previous, following in itertools.pairwise([second, *repeated])]
        assert max(gaps) <= 0.4 + 0.01 + 0.01
        assert gaps[0] <= 0.2 + 0.01 + 0.01
        assert repeated[-1] >= first + 11.6
        assert len(repeated) <= 6
        # Discovery is down, not only the watch lost: normal backoff.
        assert after_due[0] - repeated[-1] >= 1.0


def test_a_call_that_fails_slowly_after_a_watch_timeout_has_the_normal_backoff() -> None:
    # A discovery that refuses calls after seconds in its queue must not get more of them.
    for seed in range(30):
        call_failures = itertools.chain([(11.0, TIMED_OUT)], itertools.repeat((3.0, FAILED)))
        _, second, *later = call_times_s(seed, call_failures, 40)
        gaps = [following - previous for previous, following in itertools.pairwise([second, *later])]
        assert min(gaps[1:]) >= 3.0 + 1.0


def test_discovery_is_still_called_after_hours_of_failure() -> None:
    times = call_times_s(1, itertools.repeat((REFUSED_S, FAILED)), 4 * 3600)
    assert times[-1] > 4 * 3600 - CHANGE_DUE_S


def test_the_calls_of_many_proxies_stay_spread_during_an_outage() -> None:
    # All watches end at the same moment. Although the backoff is bounded, later calls must not synchronize
    # and reach a recovered discovery all at once.
    proxy_count = 200
    calls_by_second: Counter[int] = Counter()
    for seed in range(proxy_count):
        first_calls_end_s = 10.0  # when all first calls end, whenever each one was made
        first_call_s = call_times_s(seed, itertools.repeat((99.0, FAILED)), 5)[0]
        times = call_times_s(
            seed,
            itertools.chain([(first_calls_end_s - first_call_s, FAILED)], itertools.repeat((0.0, FAILED))),
            60,
        )
        calls_by_second.update(int(time_s) for time_s in times)
    calls_per_second = [calls_by_second[at_s] for at_s in range(10, 59)]
    assert max(calls_per_second) < 0.45 * proxy_count
    assert sum(calls_per_second) / len(calls_per_second) < 0.3 * proxy_count


async def respond_unavailable(_received: ReceivedMessage, writer: Writer) -> None:
    writer.write(format_response(503))


def shorten_discovery_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten all waits except a polled watch call's: a change that waits for such a call is missed."""
    for name, value in (
        ("watch_timing.PUSH_WAIT_MS", 40),
        ("watch_timing.RECOVERY_WAIT_MS", 20),
        ("watch_timing.RESPONSE_WAIT_MS", 40),
        ("discovery_call.TIMEOUT_MARGIN_S", 0.1),
        ("discovery_handover.HANDOVER_WAIT_S", 0.0),
    ):
        monkeypatch.setattr(f"loadbalancer.proxy.{name}", value)


@pytest.mark.parametrize("polls", [True, False])
@pytest.mark.parametrize(
    "broken_responders",
    [
        [respond_unavailable, never_respond],
        [abort_connection, never_respond],
        [abort_connection, never_respond, never_respond, respond_unavailable],
    ],
)
async def test_a_change_after_a_recovery_does_not_wait_for_a_long_watch(
    broken_responders: list[Responder], polls: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # One call fails and the next one gets no response. A later change must not wait for a watch call of 10 s.
    shorten_discovery_timeouts(monkeypatch)
    discovery, remaining_responders = FakeDiscovery(), iter(broken_responders)
    respond_normally: Responder = discovery.server.respond

    async def respond(received: ReceivedMessage, writer: Writer) -> None:
        respond_broken = next(remaining_responders, None)
        if respond_broken is not None:
            discovery.record_call(received)
            await respond_broken(received, writer)
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
            lambda: not client.proxy.addresses.ready() and len(discovery.calls) == len(broken_responders) + 2
        )
        waits = [int(query.rpartition("wait_ms=")[2]) for _, query in discovery.calls]
        longest = 10_000 if polls else 40
        assert waits == [longest, *[20] * len(broken_responders), longest]  # short until a call succeeds


@pytest.mark.parametrize("polls", [True, False])
@pytest.mark.parametrize("refuses", [True, False])
async def test_a_drain_takes_effect_when_an_unreachable_discovery_recovers(
    refuses: bool, polls: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    shorten_discovery_timeouts(monkeypatch)
    discovery = FakeDiscovery()
    discovery.server = unreachable = UnreachableServer(discovery.server.respond, refuses)
    policy = Balancer(proxy_settings(polls=polls), 1, time.monotonic_ns())
    # Makes the first call time out too.
    monkeypatch.setattr("loadbalancer.proxy.watch_timing.POLL_WAIT_MS", 40)
    async with running_proxy(
        policy, discovery=discovery, initial_list=list_of_ports(5), polls=polls
    ) as client:
        await wait_until(lambda: client.proxy.discovery_client._watch_backoff.failures >= 3)
        discovery.change("s0", health="draining")
        await unreachable.start_accepting()
        await wait_until(lambda: not client.proxy.addresses.ready())


@pytest.mark.parametrize("kind", ["refuses", "unreachable", "silent"])
async def test_a_handover_to_an_unavailable_address_is_retried(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    shorten_discovery_timeouts(monkeypatch)
    old, new = FakeDiscovery(), FakeDiscovery()
    new.entries, new.version = {"s0": entry("s0", 5, health="draining")}, 3
    respond_normally: Responder = new.server.respond
    if kind == "silent":
        new.server.respond = never_respond
    else:
        new.server = UnreachableServer(respond_normally, kind == "refuses")
    await new.server.start()
    async with running_proxy(ScriptedPolicy(), discovery=old, initial_list=list_of_ports(5)) as client:
        await wait_until(lambda: old.calls)
        client.proxy.discovery_client.hand_over_to((HOST, new.server.port))
        handover = client.proxy.discovery_client._handover
        assert handover is not None
        await wait_until(lambda: handover.backoff.failures >= 2)
        assert client.proxy.addresses.ready()
        if isinstance(new.server, UnreachableServer):
            await new.server.start_accepting()
        else:
            new.server.respond = respond_normally
        await wait_until(lambda: not client.proxy.addresses.ready())
        assert client.proxy.discovery_client._handover is None
    new.server.stop()


MAX_SOCKETS = 256
MAX_CONNECTIONS = (MAX_SOCKETS - 32) // 2  # connections to clients, and as many to endpoints


async def hold_idle_connection(port: int) -> None:
    """Hold an idle client connection, and open another one whenever it is closed."""
    while True:
        reader, writer = await asyncio.open_connection(HOST, port)
        with contextlib.suppress(OSError):
            await reader.read()
        writer.close()


@pytest.mark.parametrize("polls", [True, False])
@pytest.mark.parametrize("kind", ["refuses", "breaks", "silent"])
async def test_idle_clients_on_all_connections_block_neither_list_nor_requests(
    kind: str, polls: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    shorten_discovery_timeouts(monkeypatch)
    monkeypatch.setattr("loadbalancer.proxy.watch_timing.POLL_WAIT_MS", 40)
    endpoints = [
        await FakeEndpoint(respond_with(200)).start()
        for _ in range(MAX_CONNECTIONS // MAX_IDLE_CONNECTIONS_PER_ENDPOINT)
    ]
    discovery = FakeDiscovery()
    respond_normally: Responder = discovery.server.respond
    if kind == "refuses":
        discovery.server = UnreachableServer(respond_normally, True)
    else:
        discovery.server.respond = {"breaks": abort_connection, "silent": never_respond}[kind]
    policy = Balancer(proxy_settings(polls=polls), 1, time.monotonic_ns())
    async with running_proxy(
        policy, *endpoints, discovery=discovery, max_sockets=MAX_SOCKETS, polls=polls
    ) as client:
        connection_limits, downstream_server, discovery_client = (
            client.proxy._connection_limits,
            client.proxy.downstream,
            client.proxy.discovery_client,
        )
        ids_by_port = {port: endpoint_id for endpoint_id, (_, port) in client.proxy.addresses.ready().items()}
        for endpoint_id in ids_by_port.values():
            pool = client.proxy.addresses.connection_pool(endpoint_id)
            assert pool is not None
            for _ in range(MAX_IDLE_CONNECTIONS_PER_ENDPOINT):
                start_exchange(pool, b"GET /read HTTP/1.1\r\n\r\n", None, lambda _result, _response: None)
        await wait_until(lambda: len(connection_limits.idle_connections) == MAX_CONNECTIONS)
        idle_tasks = [
            asyncio.create_task(hold_idle_connection(client.port)) for _ in range(MAX_CONNECTIONS + 30)
        ]
        statuses, most = [], 0  # most connections open at a time

        async def send_request() -> None:
            nonlocal most
            await wait_until(lambda: len(downstream_server._connections) == MAX_CONNECTIONS)
            other_client = client.new_client()
            statuses.append((await other_client.exchange(request())).status)
            other_client.close()
            most = max(
                most,
                len(downstream_server._connections)
                + connection_limits.open_connections
                + discovery_client._target.pool.limits.open_connections,
            )

        while discovery_client._watch_backoff.failures < 4:
            await send_request()
        discovery.change("s0", port=endpoints[0].port, health="draining")
        if isinstance(discovery.server, UnreachableServer):
            await discovery.server.start_accepting()
        else:
            discovery.server.respond = respond_normally
        await wait_until(lambda: ids_by_port[endpoints[0].port] not in client.proxy.addresses.ready())
        requests_before = len(endpoints[0].requests)
        for _ in range(20):
            await send_request()
        await wait_until(lambda: len(discovery.calls) > 1)  # the watch continues
        assert len(endpoints[0].requests) == requests_before
        assert set(statuses) == {200}
        assert most <= MAX_SOCKETS - 32 + 2
        for task in idle_tasks:
            task.cancel()
        await asyncio.gather(*idle_tasks, return_exceptions=True)
