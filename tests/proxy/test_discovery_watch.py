"""Tests of the watch on the endpoint list, over loopback sockets."""

from __future__ import annotations

import json
import time

import pytest

from loadbalancer.messages import (
    Action,
    EndpointStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    FetchEndpoints,
    TimerExpired,
    WatchEndpoints,
)
from loadbalancer.policy.balancer import Balancer
from tests.support.endpoint_lists import entry, list_of_ports
from tests.support.fake_discovery import FakeDiscovery, hold_complete_lists
from tests.support.fake_endpoint import Responder, Writer
from tests.support.fake_policies import RecordingPolicy, ScriptedPolicy
from tests.support.http_messages import ReceivedMessage, format_response
from tests.support.running_proxy import proxy_settings, running_proxy
from tests.support.scripted import reported_statuses
from tests.support.waiting import wait_until

CHANGE_DUE_S = 6.0  # a change of the list must be received within this time


async def test_the_watch_continues_at_once_and_returns_changes() -> None:
    discovery, watching = FakeDiscovery(), []

    def react(event: Event) -> tuple[()]:
        if isinstance(event, EndpointUpdate) and event.kind is EndpointUpdateKind.DELTA:
            # The next watch call is in flight before the policy handles the change.
            watching.append(client.proxy.discovery_client._watch_call is not None)
        return ()

    script = ScriptedPolicy(react)
    async with running_proxy(script, discovery=discovery, initial_list=list_of_ports(5)) as client:
        assert script.events_of(EndpointUpdate)[0].kind is EndpointUpdateKind.CACHED
        await wait_until(lambda: discovery.calls)
        assert discovery.calls[0].target.startswith("/registry/instances?after=1&wait_ms=")
        discovery.change("s9", dial="127.0.0.1:9")
        await wait_until(lambda: len(script.events_of(EndpointUpdate)) == 2 and len(discovery.calls) == 2)
        update = script.events_of(EndpointUpdate)[1]
        assert update.kind is EndpointUpdateKind.DELTA
        assert [endpoint.zone for endpoint in update.endpoints] == ["east"]
        assert watching == [True]
        assert discovery.calls[1].target.startswith("/registry/instances?after=2&")
        assert len(client.proxy.addresses.by_id) == 2 == len(client.proxy.addresses.ready())
        discovery.change("s9", health="removed")
        await wait_until(lambda: len(script.events_of(EndpointUpdate)) == 3)
        assert len(client.proxy.addresses.by_id) == 1 == len(client.proxy.addresses.ready())


async def test_a_lost_watch_call_is_repeated_before_its_changes_are_due() -> None:
    # The drain is sent on a connection that has failed silently.
    discovery, script = FakeDiscovery(), ScriptedPolicy()
    respond_normally: Responder = discovery.server.respond

    async def lose_first_call(received: ReceivedMessage, writer: Writer) -> None:
        if discovery.calls:
            await respond_normally(received, writer)
        else:
            discovery.record_call(received)

    discovery.server.respond = lose_first_call
    async with running_proxy(script, discovery=discovery, initial_list=list_of_ports(5)):
        await wait_until(lambda: discovery.calls)
        discovery.change("s0", health="draining")
        await wait_until(lambda: len(script.events_of(EndpointUpdate)) == 2)
        assert next(iter(script.events_of(EndpointUpdate)[1].endpoints)).status is EndpointStatus.DRAINING
        assert time.monotonic() - discovery.calls[0].received_at_s < CHANGE_DUE_S


async def test_a_lost_watch_call_is_repeated_without_backoff_in_poll_mode(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The drain that the lost call missed counts as notified soon afterwards. A backoff as after a failed
    # call, 0.5 to 1.5 s, would take all the time that is left.
    monkeypatch.setattr("loadbalancer.proxy.watch_timing.POLL_WAIT_MS", 20)
    monkeypatch.setattr("loadbalancer.proxy.discovery_call.TIMEOUT_MARGIN_S", 0.02)
    discovery = FakeDiscovery()
    respond_normally: Responder = discovery.server.respond

    async def lose_first_call(received: ReceivedMessage, writer: Writer) -> None:
        if discovery.calls:
            await respond_normally(received, writer)
        else:
            discovery.change("s0", health="draining")
            discovery.record_call(received)

    discovery.server.respond = lose_first_call
    policy = RecordingPolicy(Balancer(proxy_settings(polls=True), 1, time.monotonic_ns()))
    async with running_proxy(
        policy, discovery=discovery, initial_list=list_of_ports(5), polls=True
    ) as client:
        assert client.proxy.addresses.ready()
        await wait_until(lambda: not client.proxy.addresses.ready())
        assert WatchEndpoints(True) in (policy.first_actions_after(EndpointUpdateKind.WATCH_TIMED_OUT) or [])


@pytest.mark.parametrize(
    "broken_response",
    [
        format_response(503),
        format_response(200, b"no json"),
        format_response(200, b"[]"),
        format_response(200, b"[" * 50_000),
        b"garbage",
        b"HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\n",
    ],
)
async def test_a_failing_discovery_leaves_the_known_list_unchanged(broken_response: bytes) -> None:
    discovery, script = FakeDiscovery(), ScriptedPolicy()
    discovery.broken_response = broken_response
    async with running_proxy(script, discovery=discovery, initial_list=list_of_ports(5)) as client:
        await wait_until(lambda: len(discovery.calls) >= 3)
        assert discovery.calls[2].received_at_s - discovery.calls[0].received_at_s > 0.1  # backoff
        assert len(script.events_of(EndpointUpdate)) == 1
        assert len(client.proxy.addresses.by_id) == 1
        discovery.broken_response = b""
        discovery.change("s9", dial="127.0.0.1:9")
        await wait_until(lambda: len(client.proxy.addresses.ready()) == 2)


async def test_an_endpoint_that_moves_gets_its_new_address() -> None:
    discovery = FakeDiscovery()
    async with running_proxy(ScriptedPolicy(), discovery=discovery, initial_list=list_of_ports(5)) as client:
        discovery.change("s0", dial="127.0.0.2:6")
        await wait_until(lambda: [*client.proxy.addresses.ready().values()] == [("127.0.0.2", 6)])


async def test_the_policy_ends_the_watch_and_fetches_the_complete_list() -> None:
    steps: dict[str, Action] = {
        "off": WatchEndpoints(False),
        "on": WatchEndpoints(True),
        "fetch": FetchEndpoints(),
    }
    discovery = FakeDiscovery()
    script = ScriptedPolicy(
        lambda incoming: [steps[incoming.name]] if isinstance(incoming, TimerExpired) else ()
    )
    async with running_proxy(script, discovery=discovery, initial_list=list_of_ports(5)) as client:
        await wait_until(lambda: discovery.calls)
        client.proxy.dispatch(TimerExpired("off"))
        assert client.proxy.discovery_client._target.pool.limits.open_connections == 0
        client.proxy.dispatch(TimerExpired("on"))
        await wait_until(lambda: len(discovery.calls) == 2)
        client.proxy.dispatch(TimerExpired("fetch"))
        await wait_until(lambda: len(script.events_of(EndpointUpdate)) == 2)
        assert script.events_of(EndpointUpdate)[1].kind is EndpointUpdateKind.FULL
        assert not client.proxy.addresses.by_id
        assert not client.proxy.addresses.pools
        assert discovery.calls[2].target == "/registry/instances"


async def test_a_fetched_list_that_is_older_does_not_undo_a_drain() -> None:
    discovery = FakeDiscovery()
    discovery.entries = {"s0": entry("s0", 5)}
    release = hold_complete_lists(discovery)
    script = ScriptedPolicy(lambda incoming: [FetchEndpoints()] if isinstance(incoming, TimerExpired) else ())
    async with running_proxy(script, discovery=discovery, initial_list=list_of_ports(5)) as client:
        await wait_until(lambda: discovery.calls)
        client.proxy.dispatch(TimerExpired("fetch"))
        await wait_until(lambda: len(discovery.calls) == 2)
        discovery.change("s0", health="draining")
        await wait_until(lambda: reported_statuses(script)[-1] is EndpointStatus.DRAINING)
        release.set()
        await wait_until(lambda: client.proxy.discovery_client._fetch_call is None)
        assert reported_statuses(script) == [EndpointStatus.READY, EndpointStatus.DRAINING]
        assert not client.proxy.addresses.ready()


async def test_an_indented_list_is_read() -> None:
    discovery = FakeDiscovery()

    async def respond_indented(received: ReceivedMessage, writer: Writer) -> None:
        discovery.record_call(received)
        if len(discovery.calls) == 1:
            endpoint_list = {"seq": 2, "whole": True, "hosts": [entry("s8", 8), entry("s9", 9)]}
            writer.write(
                format_response(200, json.dumps(endpoint_list, indent=8).replace("\n", "\r\n\t").encode())
            )

    discovery.server.respond = respond_indented
    async with running_proxy(ScriptedPolicy(), discovery=discovery, initial_list=list_of_ports(5)) as client:
        await wait_until(lambda: len(client.proxy.addresses.ready()) == 2 and len(discovery.calls) == 2)
