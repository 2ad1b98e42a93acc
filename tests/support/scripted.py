"""Reactions of scripted policies, and manipulation of a running proxy."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable

import pytest

from loadbalancer.messages import (
    Action,
    AttemptEnded,
    AttemptResult,
    EndpointStatus,
    EndpointUpdate,
    Event,
    Fail,
    Forward,
    RequestArrived,
    TimerExpired,
)
from loadbalancer.proxy.exchange import QUARANTINE_S
from loadbalancer.proxy.proxy import Proxy
from tests.support.endpoint_lists import list_of_ports, read_live_list
from tests.support.fake_policies import ScriptedPolicy
from tests.support.http_messages import READY_REQUEST, ReceivedMessage
from tests.support.running_proxy import Client

Reaction = Callable[[Event], Iterable[Action]]


def do_nothing(_event: Event) -> Iterable[Action]:
    return ()


def fail_all(event: Event) -> Iterable[Action]:
    """Fail each new request."""
    return [Fail(event.request_id)] if isinstance(event, RequestArrived) else ()


def fail_unless_complete(event: Event) -> Iterable[Action]:
    """Fail a request whose attempt ended without a final response."""
    if isinstance(event, AttemptEnded) and not event.request_complete:
        return [Fail(event.request_id)]
    return ()


def retry_unless_complete(event: Event) -> Iterable[Action]:
    """Retry a request whose attempt ended without a final response, on the same endpoint."""
    if isinstance(event, AttemptEnded) and not event.request_complete:
        return [Forward(event.request_id, event.endpoint_id)]
    return ()


def on_timer(actions: Callable[[], Iterable[Action]]) -> Reaction:
    """Return a reaction that gives these actions whenever a timer expires."""
    return lambda event: actions() if isinstance(event, TimerExpired) else ()


def forward_to_first(policy: ScriptedPolicy, event: Event) -> Iterable[Action]:
    """Forward each new request to the first endpoint."""
    return [Forward(event.request_id, policy.endpoint_ids()[0])] if isinstance(event, RequestArrived) else ()


def forward_requests(
    policy: ScriptedPolicy, then: Reaction = do_nothing, timeout_ns: int = 0, index: int = 0
) -> None:
    """From now on, forward each new request to the endpoint at `index`; `then` reacts to all other events."""

    def react(event: Event) -> Iterable[Action]:
        if isinstance(event, RequestArrived):
            return [Forward(event.request_id, policy.endpoint_ids()[index], timeout_ns)]
        return then(event)

    policy.react = react


def forwarding_policy(then: Reaction = do_nothing, timeout_ns: int = 0) -> ScriptedPolicy:
    """Return a policy that forwards each new request to the first endpoint."""
    policy = ScriptedPolicy()
    forward_requests(policy, then, timeout_ns)
    return policy


def attempt_results(policy: ScriptedPolicy) -> list[AttemptResult]:
    """Return the results of all attempts, in the order in which they ended."""
    return [ended.result for ended in policy.events_of(AttemptEnded)]


def reported_statuses(policy: ScriptedPolicy) -> list[EndpointStatus]:
    """Return the endpoint statuses that were reported to the policy, in order."""
    return [endpoint.status for update in policy.events_of(EndpointUpdate) for endpoint in update.endpoints]


async def request_readiness(client: Client) -> ReceivedMessage:
    """Send a readiness request, which opens the client's connection; return the proxy's response."""
    return await client.exchange(READY_REQUEST)


def end_quarantine(proxy: Proxy) -> None:
    """End the quarantine of all idle connections."""
    for connection in proxy._connection_limits.idle_connections:
        connection.quarantined_until_s -= QUARANTINE_S


def update_first_endpoint(proxy: Proxy, version: int, **attributes: object) -> None:
    """Apply a changed entry of endpoint s0 at once, without a call to discovery.

    Attributes that are not given get their defaults: the entry is up, and its address has port 1.
    """
    changed = {**list_of_ports(1)["hosts"][0], **attributes}
    proxy.list_applier.on_discovery_result(
        read_live_list({"seq": version, "whole": False, "hosts": [changed]})
    )


def hold_connections(
    monkeypatch: pytest.MonkeyPatch, until_set: asyncio.Event, port: int | None = None
) -> None:
    """Delay new connections (if a port is given, only those to it) until the event is set."""
    loop = asyncio.get_running_loop()
    original = loop.create_connection

    async def create_connection(*args: object, **options: object) -> object:
        if port is None or port in args:
            await until_set.wait()
        return await original(*args, **options)  # type: ignore[call-overload]

    monkeypatch.setattr(loop, "create_connection", create_connection)


def shrink_send_buffers(monkeypatch: pytest.MonkeyPatch, size_bytes: int) -> None:
    """Limit the socket send buffer of connections that are opened from now on."""
    loop = asyncio.get_running_loop()
    original = loop.create_connection

    async def create_connection(*args: object, **options: object) -> object:
        transport, protocol = await original(*args, **options)  # type: ignore[call-overload]
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size_bytes)
        return transport, protocol

    monkeypatch.setattr(loop, "create_connection", create_connection)
