"""Tests of attempts in flight while their endpoint moves, drains or is removed."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.messages import (
    AttemptResult,
    Forward,
    RequestArrived,
    TimerExpired,
)
from tests.support.endpoint_lists import list_of_ports
from tests.support.fake_endpoint import FakeEndpoint, respond_with
from tests.support.fake_policies import ScriptedPolicy
from tests.support.http_messages import HOST, ReceivedMessage, format_response, request
from tests.support.running_proxy import running_proxy
from tests.support.scripted import (
    attempt_results,
    fail_unless_complete,
    forward_requests,
    forwarding_policy,
    hold_connections,
    on_timer,
    request_readiness,
    retry_unless_complete,
    update_first_endpoint,
)
from tests.support.waiting import wait_until


@pytest.mark.parametrize("health", ["draining", "removed"])
async def test_a_drain_cancels_an_attempt_that_waits_for_its_connection(
    monkeypatch: pytest.MonkeyPatch, health: str
) -> None:
    endpoint = await FakeEndpoint(respond_with(200)).start()
    policy = forwarding_policy(fail_unless_complete)
    may_connect = asyncio.Event()
    async with running_proxy(policy, endpoint) as client:
        await request_readiness(client)
        hold_connections(monkeypatch, may_connect)
        await client.send(request())
        await wait_until(lambda: policy.events_of(RequestArrived))
        update_first_endpoint(client.proxy, 2, dial=f"{HOST}:{endpoint.port}", health=health)
        assert (await client.read()).status == 504
        may_connect.set()
        assert attempt_results(policy) == [AttemptResult.NOT_SENT]
        assert (await client.exchange(request())).status == 504  # a new attempt is not sent either
        assert attempt_results(policy) == [AttemptResult.NOT_SENT] * 2
        assert not endpoint.requests


async def test_an_attempt_that_waits_for_its_connection_follows_a_move(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    old = await FakeEndpoint(respond_with(200, b"old")).start()
    new = await FakeEndpoint(respond_with(200, b"new")).start()
    policy = forwarding_policy(retry_unless_complete)
    async with running_proxy(policy, initial_list=list_of_ports(old.port)) as client:
        await request_readiness(client)
        may_connect = asyncio.Event()
        hold_connections(monkeypatch, may_connect)
        await client.send(request())
        await wait_until(lambda: policy.events_of(RequestArrived))
        update_first_endpoint(client.proxy, 2, dial=f"{HOST}:{new.port}")
        may_connect.set()
        assert (await client.read()).body == b"new"
        assert attempt_results(policy) == [AttemptResult.NOT_SENT, AttemptResult.OK]
        assert not old.requests
        assert client.proxy._connection_limits.open_connections == 1
    old.stop()
    new.stop()


async def test_a_connection_to_a_former_address_is_not_reused() -> None:
    release = asyncio.Event()

    async def respond_late(_received: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(format_response(200, b"old"))

    old = await FakeEndpoint(respond_late).start()
    new = await FakeEndpoint(respond_with(200, b"new")).start()
    policy = forwarding_policy()
    async with running_proxy(policy, initial_list=list_of_ports(old.port)) as client:
        await client.send(request())
        await wait_until(lambda: old.requests)
        update_first_endpoint(client.proxy, 2, dial=f"{HOST}:{new.port}")
        release.set()
        assert (await client.read()).body == b"old"  # the attempt in flight is not affected by the move
        assert (await client.exchange(request())).body == b"new"
        await wait_until(lambda: old.closed_connections == 1)
    old.stop()
    new.stop()


async def test_an_endpoint_removed_and_added_again_gets_one_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    endpoint = await FakeEndpoint(respond_with(200, b"it")).start()
    policy = ScriptedPolicy()
    async with running_proxy(policy, endpoint) as client:
        await request_readiness(client)
        may_connect = asyncio.Event()
        hold_connections(monkeypatch, may_connect)
        forward_requests(policy)
        await client.send(request())
        await wait_until(lambda: policy.events_of(RequestArrived))
        update_first_endpoint(client.proxy, 2, health="removed")
        assert attempt_results(policy) == [AttemptResult.NOT_SENT]  # before the endpoint is added again
        update_first_endpoint(client.proxy, 3, dial=f"{HOST}:{endpoint.port}")
        policy.react = on_timer(lambda: [Forward("1", policy.endpoint_ids()[0])])
        client.proxy.dispatch(TimerExpired("again"))
        may_connect.set()
        assert (await client.read()).body == b"it"
        assert len(endpoint.requests) == 1
        assert client.proxy._connection_limits.open_connections == 1
