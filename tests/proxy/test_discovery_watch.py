"""The watch on the endpoint list, over loopback sockets."""

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
from tests.support.discovery import hold_first_list, reported_statuses
from tests.support.sockets import (
    Answer,
    FakeDiscovery,
    ReceivedRequest,
    ScriptedPolicy,
    Watched,
    Writer,
    entry,
    known,
    node,
    settings,
    until,
    written,
)

CHANGE_DUE_S = 6.0  # a change of the list counts as received after this at the latest


async def test_the_watch_goes_on_at_once_and_brings_changes() -> None:
    registry, asking = FakeDiscovery(), []

    def react(event: Event) -> tuple[()]:
        if isinstance(event, EndpointUpdate) and event.kind is EndpointUpdateKind.DELTA:
            asking.append(
                client.node.discovery_client._watch_call is not None
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
        assert len(client.node.addresses.by_id) == 2 == len(client.node.addresses.ready())
        registry.change("s9", health="removed")
        await until(lambda: len(script.of(EndpointUpdate)) == 3)
        assert len(client.node.addresses.by_id) == 1 == len(client.node.addresses.ready())


async def test_a_silently_lost_watch_is_repeated_before_its_changes_are_due() -> None:
    # Guards against sending to an endpoint whose drain was told on a connection that had died unseen.
    registry, script = FakeDiscovery(), ScriptedPolicy()
    heard: Answer = registry.server.answer

    async def first_is_lost(got: ReceivedRequest, writer: Writer) -> None:
        if registry.calls:
            await heard(got, writer)
        else:
            registry.calls.append((time.monotonic(), got.first))

    registry.server.answer = first_is_lost
    async with node(script, registry=registry, known_list=known(5)):
        await until(lambda: registry.calls)
        registry.change("s0", health="draining")
        await until(lambda: len(script.of(EndpointUpdate)) == 2)
        assert next(iter(script.of(EndpointUpdate)[1].endpoints)).status is EndpointStatus.DRAINING
        assert time.monotonic() - registry.calls[0][0] < CHANGE_DUE_S


async def test_a_silently_lost_watch_is_repeated_without_backoff_where_discovery_is_polled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a drain told on such a watch being unknown still when it counts as told: a pause as
    # after a call that failed, of 0.5 to 1.5 s, is as long as all the time that is left then.
    monkeypatch.setattr("loadbalancer.proxy.discovery_client.POLL_WAIT_MS", 20)
    monkeypatch.setattr("loadbalancer.proxy.discovery_call.TIMEOUT_MARGIN_S", 0.02)
    registry = FakeDiscovery()
    heard: Answer = registry.server.answer

    async def first_is_lost(got: ReceivedRequest, writer: Writer) -> None:
        if registry.calls:
            await heard(got, writer)
        else:
            registry.change("s0", health="draining")
            registry.calls.append((time.monotonic(), got.first))

    registry.server.answer = first_is_lost
    module = Watched(Balancer(settings(asked=True), 1, time.monotonic_ns()))
    async with node(module, registry=registry, known_list=known(5), asked=True) as client:
        assert client.node.addresses.ready()
        await until(lambda: not client.node.addresses.ready())
        assert WatchEndpoints(True) in (module.answer_to(EndpointUpdateKind.WATCH_TIMED_OUT) or [])


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
async def test_a_discovery_that_fails_costs_nothing_that_is_known(broken: bytes) -> None:
    registry, script = FakeDiscovery(), ScriptedPolicy()
    registry.broken = broken
    async with node(script, registry=registry, known_list=known(5)) as client:
        await until(lambda: len(registry.calls) >= 3)
        assert registry.calls[2][0] - registry.calls[0][0] > 0.1  # it backs off
        assert len(script.of(EndpointUpdate)) == 1
        assert len(client.node.addresses.by_id) == 1
        registry.broken = b""
        registry.change("s9", dial="127.0.0.1:9")
        await until(lambda: len(client.node.addresses.ready()) == 2)


async def test_an_endpoint_that_moves_is_found_at_its_new_address() -> None:
    registry = FakeDiscovery()
    async with node(ScriptedPolicy(), registry=registry, known_list=known(5)) as client:
        registry.change("s0", dial="127.0.0.2:6")
        await until(lambda: [*client.node.addresses.ready().values()] == [("127.0.0.2", 6)])


async def test_the_policy_ends_the_watch_and_fetches_the_whole_list() -> None:
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
        assert client.node.discovery_client._target.pool.limits.open_connections == 0
        client.node.dispatch(TimerExpired("on"))
        await until(lambda: len(registry.calls) == 2)
        client.node.dispatch(TimerExpired("fetch"))
        await until(lambda: len(script.of(EndpointUpdate)) == 2)
        assert script.of(EndpointUpdate)[1].kind is EndpointUpdateKind.FULL
        assert not client.node.addresses.by_id
        assert not client.node.addresses.pools
        assert registry.calls[2][1] == "/registry/instances"


async def test_an_older_list_that_was_fetched_does_not_undo_a_drain() -> None:
    registry = FakeDiscovery()
    registry.rows = {"s0": entry("s0", 5)}
    release = hold_first_list(registry)
    script = ScriptedPolicy(lambda e: [FetchEndpoints()] if isinstance(e, TimerExpired) else ())
    async with node(script, registry=registry, known_list=known(5)) as client:
        await until(lambda: registry.calls)
        client.node.dispatch(TimerExpired("fetch"))
        await until(lambda: len(registry.calls) == 2)
        registry.change("s0", health="draining")
        await until(lambda: reported_statuses(script)[-1] is EndpointStatus.DRAINING)
        release.set()
        await until(lambda: client.node.discovery_client._fetch_call is None)
        assert reported_statuses(script) == [EndpointStatus.READY, EndpointStatus.DRAINING]
        assert not client.node.addresses.ready()


async def test_an_indented_list_is_read() -> None:
    registry = FakeDiscovery()

    async def indented(got: ReceivedRequest, writer: Writer) -> None:
        registry.calls.append((time.monotonic(), got.first))
        if len(registry.calls) == 1:
            listing = {"seq": 2, "whole": True, "hosts": [entry("s8", 8), entry("s9", 9)]}
            writer.write(written(200, json.dumps(listing, indent=8).replace("\n", "\r\n\t").encode()))

    registry.server.answer = indented
    async with node(ScriptedPolicy(), registry=registry, known_list=known(5)) as client:
        await until(lambda: len(client.node.addresses.ready()) == 2 and len(registry.calls) == 2)
