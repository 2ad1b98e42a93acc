"""Endpoints that drain while an attempt waits for a connection to them and more requests are queued."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable

import pytest

from loadbalancer.messages import (
    Action,
    AttemptEnded,
    EndpointUpdate,
    Event,
    Forward,
    RequestArrived,
    TimerExpired,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.proxy.endpoint_list_applier import SLICE_ENTRIES
from loadbalancer.proxy.proxy import Proxy
from tests.proxy.test_discovery_outage import UnreachableServer
from tests.support.endpoint_lists import Json, entry, list_json, read_live_list
from tests.support.fake_discovery import FakeDiscovery
from tests.support.fake_endpoint import FakeEndpoint, Writer, respond_with
from tests.support.fake_policies import ScriptedPolicy
from tests.support.http_messages import HOST, ReceivedMessage, format_response, request
from tests.support.running_proxy import proxy_settings, running_proxy
from tests.support.scripted import hold_connections, request_readiness, update_first_endpoint
from tests.support.waiting import wait_until

CLIENTS = 8
DRAINS = 5


async def test_requests_queued_at_a_drain_are_served_by_another_endpoint() -> None:
    release = asyncio.Event()

    async def respond_when_released(_request: ReceivedMessage, writer: Writer) -> None:
        await release.wait()
        writer.write(format_response(200))

    unreachable = await UnreachableServer(respond_with(200), refuses_connections=False).start()
    reachable = await FakeEndpoint(respond_when_released).start()
    discovery = FakeDiscovery()
    balancer = Balancer(proxy_settings(max_attempts=2), 1, time.monotonic_ns())
    async with running_proxy(
        balancer, unreachable, reachable, discovery=discovery, max_attempts=2
    ) as first_client:
        clients = [first_client.new_client() for _ in range(CLIENTS)]
        for client in clients:
            await client.send(request())
        proxy = first_client.proxy
        await wait_until(lambda: reachable.requests and len(proxy._pending_requests) == CLIENTS)
        discovery.change("s0", port=unreachable.port, health="draining")
        await wait_until(lambda: len(proxy.addresses.ready()) == 1)
        release.set()
        statuses = [(await client.read()).status for client in clients]
        for client in clients:
            client.close()
    assert statuses == [200] * CLIENTS


ApplyChange = Callable[[Proxy, FakeEndpoint, FakeEndpoint], Awaitable[None]]


def apply_list(proxy: Proxy, *entries: Json, whole: bool) -> None:
    """Apply a list at once, as if discovery had sent it."""
    proxy.list_applier.on_discovery_result(read_live_list(list_json(2, *entries, whole=whole)))


async def remove_by_change(proxy: Proxy, unreachable: FakeEndpoint, _reachable: FakeEndpoint) -> None:
    apply_list(proxy, entry("s0", unreachable.port, health="removed"), whole=False)


async def remove_by_complete_list(proxy: Proxy, _unreachable: FakeEndpoint, reachable: FakeEndpoint) -> None:
    apply_list(proxy, entry("s1", reachable.port), whole=True)


async def remove_by_complete_list_in_slices(
    proxy: Proxy, _unreachable: FakeEndpoint, reachable: FakeEndpoint
) -> None:
    others = [entry(f"other{index}", health="draining") for index in range(3 * SLICE_ENTRIES)]
    apply_list(proxy, entry("s1", reachable.port), *others, whole=True)
    await wait_until(lambda: proxy.list_applier.task is None)


async def move_to_another_address(proxy: Proxy, _unreachable: FakeEndpoint, reachable: FakeEndpoint) -> None:
    apply_list(proxy, entry("s0", reachable.port), whole=False)


async def hand_over_discovery(proxy: Proxy, unreachable: FakeEndpoint, reachable: FakeEndpoint) -> None:
    discovery = FakeDiscovery()
    discovery.change("s0", dial=f"{HOST}:{unreachable.port}", health="draining")
    discovery.change("s1", dial=f"{HOST}:{reachable.port}")
    await discovery.server.start()
    proxy.discovery_client.hand_over_to((HOST, discovery.server.port))
    await wait_until(lambda: len(proxy.addresses.ready()) == 1)
    discovery.server.stop()


@pytest.mark.parametrize(
    "apply_change",
    [
        remove_by_change,
        remove_by_complete_list,
        remove_by_complete_list_in_slices,
        move_to_another_address,
        hand_over_discovery,
    ],
)
async def test_requests_queued_when_an_address_is_lost_are_served(apply_change: ApplyChange) -> None:
    # Guards against cancelled attempts that are retried at the lost address before the policy has the update.
    release = asyncio.Event()

    async def respond_when_released(_request: ReceivedMessage, writer: Writer) -> None:
        await release.wait()
        writer.write(format_response(200))

    unreachable = await UnreachableServer(respond_with(200), refuses_connections=False).start()
    reachable = await FakeEndpoint(respond_when_released).start()
    balancer = Balancer(proxy_settings(max_attempts=2), 1, time.monotonic_ns())
    async with running_proxy(balancer, unreachable, reachable, max_attempts=2) as first_client:
        clients = [first_client.new_client() for _ in range(CLIENTS)]
        for client in clients:
            await client.send(request())
        proxy = first_client.proxy
        await wait_until(lambda: reachable.requests and len(proxy._pending_requests) == CLIENTS)
        await apply_change(proxy, unreachable, reachable)
        release.set()
        statuses = [(await client.read()).status for client in clients]
        for client in clients:
            client.close()
    assert statuses == [200] * CLIENTS


def port_being_connected(proxy: Proxy) -> int | None:
    """Return the port of the endpoint to which a connection is being established; None if there is none."""
    pools = proxy.addresses.pools.values()
    return next((pool.address[1] for pool in pools if pool.open_connections), None)


async def test_an_unsent_request_survives_successive_drains() -> None:
    # Guards against drains that use up the attempts of a request although no byte of it was sent.
    unreachable = [
        await UnreachableServer(respond_with(200), refuses_connections=False).start() for _ in range(DRAINS)
    ]
    reachable = await FakeEndpoint(respond_with(200)).start()
    hosts = {machine.port: f"s{number}" for number, machine in enumerate(unreachable)}
    balancer = Balancer(proxy_settings(max_attempts=2), 1, time.monotonic_ns())
    async with running_proxy(balancer, *unreachable, max_attempts=2) as client:
        proxy = client.proxy
        await client.send(request())
        await wait_until(lambda: port_being_connected(proxy))
        while (port := port_being_connected(proxy)) is not None:
            host = hosts.pop(port)
            if not hosts:
                apply_list(proxy, entry("reachable", reachable.port), whole=False)
            apply_list(proxy, entry(host, port, health="draining"), whole=False)
            if not hosts:
                break
        assert (await client.read()).status == 200
    assert not hosts
    reachable.stop()


async def test_drain_during_a_dispatch_is_reported_before_the_attempts_it_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a retry at the drained endpoint when the update arrives while actions are executed.
    endpoint = await FakeEndpoint(respond_with(200)).start()
    policy = ScriptedPolicy()

    def react(event: Event) -> Iterable[Action]:
        if isinstance(event, RequestArrived):
            return [Forward(event.request_id, policy.endpoint_ids()[0])]
        if isinstance(event, TimerExpired):
            update_first_endpoint(client.proxy, 2, health="draining")
        return ()

    policy.react = react
    async with running_proxy(policy, endpoint) as client:
        await request_readiness(client)
        hold_connections(monkeypatch, asyncio.Event())
        await client.send(request())
        await wait_until(lambda: policy.events_of(RequestArrived))
        client.proxy.dispatch(TimerExpired("drain"))
        await wait_until(lambda: policy.events_of(AttemptEnded))
    assert [type(event) for event in policy.events[-2:]] == [EndpointUpdate, AttemptEnded]
