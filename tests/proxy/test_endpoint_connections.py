"""Tests of when a connection to an endpoint is reused, closed or refused."""

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
from loadbalancer.units import NANOSECONDS_PER_MILLISECOND
from tests.support.fake_endpoint import FakeEndpoint, never_respond, respond_raw, respond_with
from tests.support.fake_policies import ScriptedPolicy
from tests.support.http_messages import ReceivedMessage, format_response, request
from tests.support.running_proxy import running_proxy
from tests.support.scripted import (
    attempt_results,
    end_quarantine,
    fail_unless_complete,
    forward_requests,
    forwarding_policy,
    on_timer,
)
from tests.support.waiting import wait_until


@pytest.mark.parametrize(
    "extra_bytes",
    [format_response(200, b"mine"), b"\xd1\xaanoise\r\n\r\n", b"HTTP/1.1 2"],
    ids=["second response", "noise", "part of a response"],
)
async def test_bytes_after_a_response_close_the_connection(extra_bytes: bytes) -> None:
    endpoint = await FakeEndpoint(respond_raw(format_response(200, b"mine") + extra_bytes)).start()
    policy = forwarding_policy(fail_unless_complete)
    async with running_proxy(policy, endpoint) as client:
        for count in (1, 2):
            assert (await client.exchange(request())).body == b"mine"
            assert endpoint.opened_connections == len(endpoint.requests) == count
            assert not client.proxy._connection_limits.idle_connections
        assert attempt_results(policy) == [AttemptResult.OK] * 2


async def test_a_late_second_response_is_not_given_to_the_next_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Keeps the quarantine from ending during the test on a slow machine.
    monkeypatch.setattr("loadbalancer.proxy.attempts.QUARANTINE_S", 60.0)
    writers: list[asyncio.StreamWriter] = []

    async def respond(_received: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        if len(writers) == 1:
            writer.write(format_response(200, b"first"))
            return
        writers[0].write(format_response(200, b"first"))  # a second time, after the next request has arrived
        await writers[0].drain()
        await wait_until(lambda: endpoint.closed_connections or len(policy.events_of(AttemptEnded)) > 1)
        writer.write(format_response(200, b"second"))

    endpoint = await FakeEndpoint(respond).start()
    policy = forwarding_policy(fail_unless_complete)
    async with running_proxy(policy, endpoint) as client:
        assert (await client.exchange(request())).body == b"first"
        assert (await client.exchange(request())).body == b"second"


async def test_interim_responses_are_skipped_also_in_pieces() -> None:
    async def respond(_received: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
        interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: y\r\n\r\n"
        for byte in interim + format_response(200, b"it"):
            writer.write(bytes([byte]))
            await asyncio.sleep(0)

    endpoint = await FakeEndpoint(respond).start()
    policy = forwarding_policy(fail_unless_complete)
    async with running_proxy(policy, endpoint) as client:
        for _ in range(2):
            response = await client.exchange(request())
            assert (response.status, response.body) == (200, b"it")
            assert "link" not in response.headers
            end_quarantine(client.proxy)
        assert endpoint.opened_connections == 1


async def test_a_connection_near_its_idle_timeout_is_not_reused() -> None:
    endpoint = await FakeEndpoint(respond_with(200)).start()
    policy = forwarding_policy()
    async with running_proxy(
        policy, endpoint, connection_idle_timeout_ns=15_000 * NANOSECONDS_PER_MILLISECOND
    ) as client:
        for opened in (1, 1, 2):
            assert (await client.exchange(request())).status == 200
            end_quarantine(client.proxy)
            assert endpoint.opened_connections == opened
            if len(endpoint.requests) == 2:
                pool = next(iter(client.proxy.addresses.pools.values()))
                pool.idle_connections[0].idle_since_s -= 12.5  # as if it had been idle for 12.5 s
        await wait_until(lambda: endpoint.closed_connections == 1)


async def test_a_connection_that_its_endpoint_has_just_closed_is_not_reused() -> None:
    endpoint = await FakeEndpoint(respond_with(200)).start()
    policy = forwarding_policy()
    async with running_proxy(policy, endpoint) as client:
        assert (await client.exchange(request())).status == 200
        pool = next(iter(client.proxy.addresses.pools.values()))
        transport = pool.idle_connections[0]._transport
        assert transport is not None
        transport.close()  # as after a close by the endpoint; the pool is notified one event loop turn later
        ended: list[AttemptResult] = []
        start_exchange(
            pool, b"GET /read HTTP/1.1\r\n\r\n", None, lambda result, _response: ended.append(result)
        )
        assert not ended
        await wait_until(lambda: ended)
        assert ended == [AttemptResult.OK]
        assert endpoint.opened_connections == 2


@pytest.mark.parametrize(
    "unread", [b"", format_response(200, b"nobody's")], ids=["end of stream", "second response"]
)
async def test_an_idle_connection_with_unread_data_is_not_reused(unread: bytes) -> None:
    # A close or a second response arrives in the event loop turn in which the next attempt starts.
    writers: list[asyncio.StreamWriter] = []

    async def respond(_received: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        writer.write(format_response(200, b"mine"))

    endpoint = await FakeEndpoint(respond).start()
    policy = forwarding_policy()
    async with running_proxy(policy, endpoint) as client:
        assert (await client.exchange(request())).status == 200
        end_quarantine(client.proxy)
        policy.react = on_timer(lambda: [Forward("2", policy.endpoint_ids()[0])])
        await client.send(request("/pay", method="POST"))
        await wait_until(lambda: len(policy.events_of(RequestArrived)) == 2)
        endpoint_socket = writers[0].transport.get_extra_info("socket")
        if unread:
            os.write(endpoint_socket.fileno(), unread)
        else:
            endpoint_socket.shutdown(socket.SHUT_WR)
        client.proxy.dispatch(TimerExpired("retry"))  # in the same event loop turn
        assert (await client.read()).body == b"mine"
        assert endpoint.opened_connections == 2
        assert attempt_results(policy) == [AttemptResult.OK] * 2


async def test_connections_to_endpoints_are_limited() -> None:
    endpoint = await FakeEndpoint(never_respond).start()
    policy = forwarding_policy(fail_unless_complete)
    # Eight connections to clients and eight to endpoints.
    async with running_proxy(policy, endpoint, max_sockets=32 + 16) as client:
        clients = [client.new_client() for _ in range(8)]
        for other_client in clients[:7]:
            await other_client.send(request())
        await wait_until(lambda: len(endpoint.requests) == 7)
        client.proxy._connection_limits.max_connections = 7
        assert (await client.exchange(request())).status == 504
        assert client.proxy._connection_limits.open_connections == 7
        assert attempt_results(policy) == [AttemptResult.CONNECT_FAILED]
        for other_client in clients:
            other_client.close()
        await wait_until(lambda: client.proxy._connection_limits.open_connections == 0)


async def test_idle_connections_are_reused_for_concurrent_requests() -> None:
    waiting_writers: list[asyncio.StreamWriter] = []

    async def hold_response(_received: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
        waiting_writers.append(writer)

    endpoint = await FakeEndpoint(hold_response).start()
    policy = forwarding_policy()
    async with running_proxy(policy, endpoint) as client:
        clients = [client.new_client() for _ in range(6)]
        for round_number in range(1, 4):
            for other_client in clients:
                await other_client.send(request())
            await wait_until(lambda: len(waiting_writers) == len(clients))
            for writer in waiting_writers:
                writer.write(format_response(200))
            waiting_writers.clear()
            for other_client in clients:
                assert (await other_client.read()).status == 200
            end_quarantine(client.proxy)
            assert (len(endpoint.requests), endpoint.opened_connections) == (6 * round_number, 6)
        for other_client in clients:
            other_client.close()


async def test_an_idle_connection_is_closed_for_one_to_another_endpoint() -> None:
    first, second = (
        await FakeEndpoint(respond_with(200)).start(),
        await FakeEndpoint(respond_with(200)).start(),
    )
    policy = ScriptedPolicy()
    async with running_proxy(policy, first, second) as client:
        client.proxy._connection_limits.max_connections = 1
        for index, endpoint in enumerate((first, second)):
            forward_requests(policy, index=index)
            assert (await client.exchange(request())).status == 200
            assert len(endpoint.requests) == 1
            assert client.proxy._connection_limits.open_connections == 1
        await wait_until(lambda: first.closed_connections == 1)
