"""Connections to endpoints: when one is reused, closed or refused."""

from __future__ import annotations

import asyncio
import os
import socket

import pytest

from loadbalancer.messages import (
    AttemptEnded,
    AttemptResult,
    Forward,
    RequestArrived,
    TimerExpired,
)
from loadbalancer.proxy.exchange import start_exchange
from tests.support.scripted import (
    end_quarantine,
    fail_unless_complete,
    forward_requests,
    forwarding_policy,
    on_timer,
    results,
)
from tests.support.sockets import (
    NANOSECONDS_PER_MILLISECOND,
    FakeEndpoint,
    ReceivedRequest,
    ScriptedPolicy,
    answers,
    node,
    request,
    sends_raw,
    silent,
    until,
    written,
)


@pytest.mark.parametrize(
    "behind",
    [written(200, b"mine"), b"\xd1\xaanoise\r\n\r\n", b"HTTP/1.1 2"],
    ids=["second response", "noise", "part of a response"],
)
async def test_bytes_after_a_response_close_the_connection(behind: bytes) -> None:
    endpoint = await FakeEndpoint(sends_raw(written(200, b"mine") + behind)).start()
    policy = forwarding_policy(fail_unless_complete)
    async with node(policy, endpoint) as client:
        for number in (1, 2):
            assert (await client.ask(request())).body == b"mine"
            assert endpoint.opened == len(endpoint.got) == number
            assert not client.node._connection_limits.idle_connections
        assert results(policy) == [AttemptResult.OK] * 2


async def test_a_late_second_response_is_not_given_to_the_next_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A quarantine so long that a slow machine changes nothing.
    monkeypatch.setattr("loadbalancer.proxy.attempts.QUARANTINE_S", 60.0)
    writers: list[asyncio.StreamWriter] = []

    async def answer(_received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        if len(writers) == 1:
            writer.write(written(200, b"first"))
            return
        writers[0].write(written(200, b"first"))  # once more, when the next request is there
        await writers[0].drain()
        await until(lambda: endpoint.closed or len(policy.of(AttemptEnded)) > 1)
        writer.write(written(200, b"second"))

    endpoint = await FakeEndpoint(answer).start()
    policy = forwarding_policy(fail_unless_complete)
    async with node(policy, endpoint) as client:
        assert (await client.ask(request())).body == b"first"
        assert (await client.ask(request())).body == b"second"


async def test_interim_responses_are_skipped_also_in_pieces() -> None:
    async def answer(_received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: y\r\n\r\n"
        for byte in interim + written(200, b"it"):
            writer.write(bytes([byte]))
            await asyncio.sleep(0)

    endpoint = await FakeEndpoint(answer).start()
    policy = forwarding_policy(fail_unless_complete)
    async with node(policy, endpoint) as client:
        for _ in range(2):
            got = await client.ask(request())
            assert (got.status, got.body) == (200, b"it")
            assert "link" not in got.headers
            end_quarantine(client.node)
        assert endpoint.opened == 1


async def test_a_connection_near_its_idle_timeout_is_not_reused() -> None:
    endpoint = await FakeEndpoint(answers(200)).start()
    policy = forwarding_policy()
    async with node(
        policy, endpoint, connection_idle_timeout_ns=15_000 * NANOSECONDS_PER_MILLISECOND
    ) as client:
        for opened in (1, 1, 2):
            assert (await client.ask(request())).status == 200
            end_quarantine(client.node)
            assert endpoint.opened == opened
            if len(endpoint.got) == 2:
                pool = next(iter(client.node.addresses.pools.values()))
                pool.idle_connections[0].idle_since_s -= 12.5  # as if it had been idle for so long
        await until(lambda: endpoint.closed == 1)


async def test_a_connection_that_its_endpoint_has_just_closed_is_not_reused() -> None:
    endpoint = await FakeEndpoint(answers(200)).start()
    policy = forwarding_policy()
    async with node(policy, endpoint) as client:
        assert (await client.ask(request())).status == 200
        pool = next(iter(client.node.addresses.pools.values()))
        transport = pool.idle_connections[0]._transport
        assert transport is not None
        transport.close()  # as it does when the other end closes; the pool is told a turn later
        ended: list[AttemptResult] = []
        start_exchange(
            pool, b"GET /read HTTP/1.1\r\n\r\n", None, lambda result, _response: ended.append(result)
        )
        assert not ended
        await until(lambda: ended)
        assert ended == [AttemptResult.OK]
        assert endpoint.opened == 2


@pytest.mark.parametrize("unread", [b"", written(200, b"nobody's")], ids=["end of stream", "second response"])
async def test_an_idle_connection_with_unread_data_is_not_reused(unread: bytes) -> None:
    # Guards against a close, or a second response, that comes in the turn of the next attempt.
    writers: list[asyncio.StreamWriter] = []

    async def answer(_received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        writer.write(written(200, b"mine"))

    endpoint = await FakeEndpoint(answer).start()
    policy = forwarding_policy()
    async with node(policy, endpoint) as client:
        assert (await client.ask(request())).status == 200
        end_quarantine(client.node)
        policy.react = on_timer(lambda: [Forward("2", policy.ids()[0])])
        await client.send(request("/pay", method="POST"))
        await until(lambda: len(policy.of(RequestArrived)) == 2)
        endpoint_socket = writers[0].transport.get_extra_info("socket")
        if unread:
            os.write(endpoint_socket.fileno(), unread)
        else:
            endpoint_socket.shutdown(socket.SHUT_WR)
        client.node.dispatch(TimerExpired("retry"))  # in the same turn
        assert (await client.read()).body == b"mine"
        assert endpoint.opened == 2
        assert results(policy) == [AttemptResult.OK] * 2


async def test_connections_to_endpoints_are_limited() -> None:
    endpoint = await FakeEndpoint(silent).start()
    policy = forwarding_policy(fail_unless_complete)
    async with node(policy, endpoint, sockets=32 + 16) as client:  # so eight on either side
        others = [client.another() for _ in range(8)]
        for other in others[:7]:
            await other.send(request())
        await until(lambda: len(endpoint.got) == 7)
        client.node._connection_limits.max_connections = 7
        assert (await client.ask(request())).status == 504
        assert client.node._connection_limits.open_connections == 7
        assert results(policy) == [AttemptResult.CONNECT_FAILED]
        for other in others:
            other.close()
        await until(lambda: client.node._connection_limits.open_connections == 0)


async def test_idle_connections_are_reused_for_concurrent_requests() -> None:
    waiting: list[asyncio.StreamWriter] = []

    async def wait(_received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        waiting.append(writer)

    endpoint = await FakeEndpoint(wait).start()
    policy = forwarding_policy()
    async with node(policy, endpoint) as client:
        others = [client.another() for _ in range(6)]
        for turn in range(1, 4):
            for other in others:
                await other.send(request())
            await until(lambda: len(waiting) == len(others))
            for writer in waiting:
                writer.write(written(200))
            waiting.clear()
            for other in others:
                assert (await other.read()).status == 200
            end_quarantine(client.node)
            assert (len(endpoint.got), endpoint.opened) == (6 * turn, 6)
        for other in others:
            other.close()


async def test_an_idle_connection_is_closed_for_one_to_another_endpoint() -> None:
    first, second = await FakeEndpoint(answers(200)).start(), await FakeEndpoint(answers(200)).start()
    policy = ScriptedPolicy()
    async with node(policy, first, second) as client:
        client.node._connection_limits.max_connections = 1
        for index, endpoint in enumerate((first, second)):
            forward_requests(policy, index=index)
            assert (await client.ask(request())).status == 200
            assert len(endpoint.got) == 1
            assert client.node._connection_limits.open_connections == 1
        await until(lambda: first.closed == 1)
