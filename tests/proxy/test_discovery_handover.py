"""Tests of the handover to a new address of discovery, over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.messages import (
    Action,
    EndpointStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    FetchEndpoints,
    TimerExpired,
    WatchEndpoints,
)
from loadbalancer.state.endpoint_ids import preferred_id
from tests.support.endpoint_lists import entry, list_of_ports
from tests.support.fake_discovery import FakeDiscovery, hold_complete_lists
from tests.support.fake_endpoint import Writer
from tests.support.fake_policies import ScriptedPolicy
from tests.support.http_messages import HOST, ReceivedMessage, format_response
from tests.support.running_proxy import Client, running_proxy
from tests.support.scripted import reported_statuses
from tests.support.waiting import wait_until


def last_full_list(script: ScriptedPolicy) -> list[int]:
    """Return the ids of the endpoints in the last complete list that was reported to the policy."""
    return [
        endpoint.id
        for endpoint in [
            update for update in script.events_of(EndpointUpdate) if update.kind is EndpointUpdateKind.FULL
        ][-1].endpoints
    ]


async def start_discovery(*hosts: str, broken_response: bytes = b"") -> FakeDiscovery:
    discovery = FakeDiscovery()
    discovery.entries = {host: entry(host, 9) for host in hosts}
    discovery.broken_response, discovery.version = broken_response, 3
    await discovery.server.start()
    return discovery


async def test_a_handover_gets_the_complete_list_and_watches_the_new_address() -> None:
    old, script = FakeDiscovery(), ScriptedPolicy()
    new = await start_discovery("s8", "s9")
    async with running_proxy(script, discovery=old, initial_list=list_of_ports(5)) as client:
        await wait_until(lambda: old.calls)
        old_target = client.proxy.discovery_client._target
        client.proxy.discovery_client.hand_over_to((HOST, new.server.port))
        await wait_until(lambda: len(new.calls) == 2)
        assert new.calls[0].target == "/registry/instances"
        assert new.calls[1].target.startswith("/registry/instances?after=3&")
        assert len(last_full_list(script)) == 2
        assert len(client.proxy.addresses.ready()) == 2
        assert old_target.pool.limits.open_connections == 0
        new.change("s7")
        await wait_until(lambda: len(client.proxy.addresses.ready()) == 3)
    new.server.stop()


async def test_the_old_watch_continues_until_the_new_address_responds() -> None:
    old, script = FakeDiscovery(), ScriptedPolicy()
    new = await start_discovery("s9", broken_response=format_response(503))
    async with running_proxy(script, discovery=old, initial_list=list_of_ports(5)) as client:
        await wait_until(lambda: old.calls)
        client.proxy.discovery_client.hand_over_to((HOST, new.server.port))
        await wait_until(lambda: len(new.calls) == 2)
        old.change("s1")
        await wait_until(lambda: len(client.proxy.addresses.ready()) == 2)
        new.broken_response = b""
        await wait_until(lambda: len(client.proxy.addresses.ready()) == 1)
    new.server.stop()


async def test_an_old_address_that_ends_its_watch_is_not_called_again() -> None:
    old, script = FakeDiscovery(), ScriptedPolicy()
    new = await start_discovery("s9", broken_response=format_response(503))
    async with running_proxy(script, discovery=old, initial_list=list_of_ports(5)) as client:
        await wait_until(lambda: old.calls)
        client.proxy.discovery_client.hand_over_to((HOST, new.server.port))
        old.broken_response = format_response(503)
        old.change("s1")  # ends the watch call
        await wait_until(lambda: client.proxy.discovery_client._watch_call is None)
        assert client.proxy.discovery_client._watch_timer is None
        new.broken_response = b""
        await wait_until(lambda: len(new.calls) > 1 and "after=3" in new.calls[-1].target)
    new.server.stop()


async def test_the_last_of_several_handovers_wins_even_back_to_the_first() -> None:
    old, script = FakeDiscovery(), ScriptedPolicy()
    new = [await start_discovery(f"s{number}") for number in (7, 8)]
    async with running_proxy(script, discovery=old, initial_list=list_of_ports(5)) as client:
        await wait_until(lambda: old.calls)
        addresses = [(HOST, service.server.port) for service in (*new, old)]
        for address in addresses:
            client.proxy.discovery_client.hand_over_to(address)
        old.change("s1")
        await wait_until(lambda: len(client.proxy.addresses.ready()) == 2)
        for address in addresses[:2]:
            client.proxy.discovery_client.hand_over_to(address)
        await wait_until(lambda: len(new[1].calls) == 2)
        assert not new[0].calls
        assert client.proxy.discovery_client._handover is None
        assert last_full_list(script) == [preferred_id("s8")]
    for discovery in new:
        discovery.server.stop()


def respond_in_turn(discovery: FakeDiscovery, call_duration_s: float) -> None:
    """Serve calls one after the other, for this time each, even if their caller has disconnected."""
    lock, respond_normally = asyncio.Lock(), discovery.server.respond

    async def respond(received: ReceivedMessage, writer: Writer) -> None:
        async with lock:
            await asyncio.sleep(call_duration_s)
        await respond_normally(received, writer)

    discovery.server.respond = respond


async def test_a_new_address_that_serves_calls_in_turn_is_called_once() -> None:
    # An abandoned call would stay in the queue of that address, and each retry would wait behind it. A second
    # reload with the same address must not queue another call either.
    old, script = FakeDiscovery(), ScriptedPolicy()
    new = await start_discovery("s9")
    respond_in_turn(new, 1.3)
    async with running_proxy(script, discovery=old, initial_list=list_of_ports(5)) as client:
        await wait_until(lambda: old.calls)
        client.proxy.discovery_client.hand_over_to((HOST, new.server.port))
        await wait_until(lambda: new.server.requests)
        handover = client.proxy.discovery_client._handover
        assert handover is not None
        client.proxy.discovery_client.hand_over_to((HOST, new.server.port))
        assert client.proxy.discovery_client._handover is handover
        await wait_until(lambda: client.proxy.discovery_client._handover is None)
        assert last_full_list(script) == [preferred_id("s9")]
        await wait_until(lambda: len(new.server.requests) == 2)
        assert [("after=" in received.start_line) for received in new.server.requests] == [False, True]
        assert handover.backoff.failures == 0
    new.server.stop()


def timer_driven_policy() -> ScriptedPolicy:
    """Return a policy that watches or fetches the list when the timer of that name expires."""
    steps: dict[str, Action] = {"watch": WatchEndpoints(True), "fetch": FetchEndpoints()}
    return ScriptedPolicy(lambda event: [steps[event.name]] if isinstance(event, TimerExpired) else ())


def failed_updates(script: ScriptedPolicy) -> int:
    return sum(update.kind is EndpointUpdateKind.FAILED for update in script.events_of(EndpointUpdate))


async def close_old_address_in_handover(
    old: FakeDiscovery, new: FakeDiscovery, client: Client, script: ScriptedPolicy
) -> None:
    """Start a handover to a new address; meanwhile the old one ends the watch call and stops listening."""
    client.proxy.dispatch(TimerExpired("watch"))
    await wait_until(lambda: old.calls)
    client.proxy.discovery_client.hand_over_to((HOST, new.server.port))
    await wait_until(lambda: new.server.requests)
    old.broken_response = format_response(503)
    old.server.stop()
    old.change("s1")
    await wait_until(lambda: client.proxy.discovery_client._watch_call is None)
    assert failed_updates(script) == 1  # for the watch call that has ended


async def test_calls_deferred_by_a_closed_old_address_end_with_the_new_list() -> None:
    # Failures of the old address are not reported to the policy, and that address is not called again.
    old, script = FakeDiscovery(), timer_driven_policy()
    new = await start_discovery("s9")
    release = hold_complete_lists(new)
    async with running_proxy(script, discovery=old, initial_list=list_of_ports(5), polls=True) as client:
        discovery_client = client.proxy.discovery_client
        await close_old_address_in_handover(old, new, client, script)
        client.proxy.dispatch(TimerExpired("watch"))
        await wait_until(lambda: discovery_client._watch_call is None)  # refused
        client.proxy.dispatch(TimerExpired("watch"))
        client.proxy.dispatch(TimerExpired("fetch"))
        assert discovery_client._watch_call is None
        assert discovery_client._fetch_call is None
        assert failed_updates(script) == 1
        release.set()
        await wait_until(lambda: len(new.calls) == 2)
        assert last_full_list(script) == [preferred_id("s9")]
        assert "after=3" in new.calls[1].target
        assert failed_updates(script) == 1
    new.server.stop()


async def test_calls_while_both_addresses_fail_report_one_failure_each() -> None:
    # The policy must not wait forever, nor be notified of failures of calls that it did not request.
    old, script = FakeDiscovery(), timer_driven_policy()
    new = await start_discovery("s9", broken_response=format_response(503))
    async with running_proxy(script, discovery=old, initial_list=list_of_ports(5), polls=True) as client:
        discovery_client = client.proxy.discovery_client
        await close_old_address_in_handover(old, new, client, script)

        async def check_one_report(expected: int) -> None:
            client.proxy.dispatch(TimerExpired("watch"))
            await wait_until(lambda: failed_updates(script) == expected)
            calls_before = len(new.calls)
            await wait_until(lambda: len(new.calls) >= calls_before + 2)
            assert failed_updates(script) == expected
            assert discovery_client._watch_call is None

        await check_one_report(2)
        await check_one_report(3)
        new.broken_response = b""
        await wait_until(lambda: discovery_client._handover is None)
        assert last_full_list(script) == [preferred_id("s9")]
    new.server.stop()


@pytest.mark.parametrize("timer_name", ["watch", "fetch"])
async def test_deferred_calls_go_to_the_old_address_after_a_handover_back(timer_name: str) -> None:
    old, script = FakeDiscovery(), timer_driven_policy()
    new = await start_discovery("s9")
    hold_complete_lists(new)
    async with running_proxy(script, discovery=old, initial_list=list_of_ports(5), polls=True) as client:
        await close_old_address_in_handover(old, new, client, script)
        client.proxy.dispatch(TimerExpired(timer_name))
        await wait_until(lambda: client.proxy.discovery_client._target.refuses_connections)
        client.proxy.discovery_client.hand_over_to((HOST, old.server.port))
        await wait_until(lambda: failed_updates(script) >= 2)  # the old address is called, and still refuses
    new.server.stop()


async def test_an_older_list_at_a_handover_does_not_undo_a_drain() -> None:
    # The new address responds with the list as it was at the time of the call; meanwhile the old one has
    # notified a drain.
    old, script = FakeDiscovery(), ScriptedPolicy()
    old.entries = {"s0": entry("s0", 5)}
    new = await start_discovery("s0")
    new.version = 1
    release = hold_complete_lists(new)
    async with running_proxy(script, discovery=old, initial_list=list_of_ports(5)) as client:
        await wait_until(lambda: old.calls)
        client.proxy.discovery_client.hand_over_to((HOST, new.server.port))
        await wait_until(lambda: new.calls)
        old.change("s0", health="draining")
        await wait_until(lambda: reported_statuses(script)[-1] is EndpointStatus.DRAINING)
        release.set()
        await wait_until(lambda: len(new.calls) == 2)  # the older list has been read, and is requested again
        assert reported_statuses(script) == [EndpointStatus.READY, EndpointStatus.DRAINING]
        assert not client.proxy.addresses.ready()
        new.entries["s0"]["health"], new.version = "draining", 2
        await wait_until(lambda: client.proxy.discovery_client._handover is None)
        assert EndpointStatus.READY not in reported_statuses(script)[1:]
    new.server.stop()
