"""Attempts in flight while their endpoint moves, drains or is removed."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.messages import (
    AttemptResult,
    Forward,
    RequestArrived,
    TimerExpired,
)
from tests.support.scripted import (
    connect,
    fail_unless_complete,
    forward_requests,
    forwarding_policy,
    hold_connections,
    on_timer,
    results,
    retry_unless_complete,
    update_first_endpoint,
)
from tests.support.sockets import (
    HOST,
    FakeEndpoint,
    ReceivedRequest,
    ScriptedPolicy,
    answers,
    known,
    node,
    request,
    until,
    written,
)


@pytest.mark.parametrize("health", ["draining", "removed"])
async def test_a_drain_cancels_an_attempt_that_waits_for_its_connection(
    monkeypatch: pytest.MonkeyPatch, health: str
) -> None:
    endpoint = await FakeEndpoint(answers(200)).start()
    policy = forwarding_policy(fail_unless_complete)
    up = asyncio.Event()
    async with node(policy, endpoint) as client:
        await connect(client)
        hold_connections(monkeypatch, up)
        await client.send(request())
        await until(lambda: policy.of(RequestArrived))
        update_first_endpoint(client.node, 2, dial=f"{HOST}:{endpoint.port}", health=health)
        assert (await client.read()).status == 504
        up.set()
        assert results(policy) == [AttemptResult.NOT_SENT]
        assert (await client.ask(request())).status == 504  # nor does a new one go there
        assert results(policy) == [AttemptResult.NOT_SENT] * 2
        assert not endpoint.got


async def test_an_attempt_that_waits_for_its_connection_follows_a_move(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    old = await FakeEndpoint(answers(200, b"old")).start()
    new = await FakeEndpoint(answers(200, b"new")).start()
    policy = forwarding_policy(retry_unless_complete)
    async with node(policy, known_list=known(old.port)) as client:
        await connect(client)
        up = asyncio.Event()
        hold_connections(monkeypatch, up)
        await client.send(request())
        await until(lambda: policy.of(RequestArrived))
        update_first_endpoint(client.node, 2, dial=f"{HOST}:{new.port}")
        up.set()
        assert (await client.read()).body == b"new"
        assert results(policy) == [AttemptResult.NOT_SENT, AttemptResult.OK]
        assert not old.got
        assert client.node._connection_limits.open_connections == 1
    old.stop()
    new.stop()


async def test_a_connection_to_a_former_address_is_not_reused() -> None:
    release = asyncio.Event()

    async def late(_received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(written(200, b"old"))

    old = await FakeEndpoint(late).start()
    new = await FakeEndpoint(answers(200, b"new")).start()
    policy = forwarding_policy()
    async with node(policy, known_list=known(old.port)) as client:
        await client.send(request())
        await until(lambda: old.got)
        update_first_endpoint(client.node, 2, dial=f"{HOST}:{new.port}")
        release.set()
        assert (await client.read()).body == b"old"  # what was begun there ends there
        assert (await client.ask(request())).body == b"new"
        await until(lambda: old.closed == 1)
    old.stop()
    new.stop()


async def test_an_endpoint_removed_and_added_again_gets_one_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    endpoint = await FakeEndpoint(answers(200, b"it")).start()
    policy = ScriptedPolicy()
    async with node(policy, endpoint) as client:
        await connect(client)
        up = asyncio.Event()
        hold_connections(monkeypatch, up)
        forward_requests(policy)
        await client.send(request())
        await until(lambda: policy.of(RequestArrived))
        update_first_endpoint(client.node, 2, health="removed")
        assert results(policy) == [AttemptResult.NOT_SENT]  # before it is back
        update_first_endpoint(client.node, 3, dial=f"{HOST}:{endpoint.port}")
        policy.react = on_timer(lambda: [Forward("1", policy.ids()[0])])
        client.node.dispatch(TimerExpired("again"))
        up.set()
        assert (await client.read()).body == b"it"
        assert len(endpoint.got) == 1
        assert client.node._connection_limits.open_connections == 1
