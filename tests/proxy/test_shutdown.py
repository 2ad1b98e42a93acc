"""Graceful shutdown: all requests that arrive before its end get a response."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Iterable
from typing import cast

import pytest

from loadbalancer.messages import (
    Action,
    Event,
    Fail,
    RequestArrived,
    TimerExpired,
)
from loadbalancer.proxy.shutdown import shutdown_timeout_s
from loadbalancer.settings import RequestClass
from loadbalancer.units import NANOSECONDS_PER_MILLISECOND
from tests.support.fake_endpoint import FakeEndpoint, never_respond, respond_with
from tests.support.fake_policies import ScriptedPolicy
from tests.support.http_messages import ReceivedMessage, format_response, request
from tests.support.running_proxy import running_proxy
from tests.support.scripted import fail_all, forwarding_policy, request_readiness
from tests.support.waiting import wait_until


def fail_new_and_first_requests(event: Event) -> Iterable[Action]:
    """Fail each request that arrives, and the first eight requests when a timer expires."""
    if isinstance(event, TimerExpired):
        return [Fail(str(number)) for number in range(1, 9)]
    return fail_all(event)


@pytest.fixture
def no_late_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the shutdown not wait for late connections."""
    monkeypatch.setattr("loadbalancer.proxy.shutdown.LATE_CONNECTIONS_S", 0.0)


async def test_requests_that_arrive_late_in_a_shutdown_are_served() -> None:
    release = asyncio.Event()

    async def respond(received: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
        if "/late" in received.start_line:
            await release.wait()
        writer.write(format_response(200, b"it"))

    endpoint = await FakeEndpoint(respond).start()
    policy = forwarding_policy()
    async with running_proxy(policy, endpoint) as client:
        draining = asyncio.create_task(client.proxy.drain())
        await wait_until(lambda: not client.proxy.ready)
        assert (await client.exchange(request())).status == 200  # no request is pending for a moment
        assert not client.proxy._pending_requests
        late = client.new_client()
        await late.send(request("/read/late"))
        await wait_until(lambda: client.proxy.downstream._socket is None)
        asyncio.get_running_loop().call_later(0.1, release.set)
        assert (await late.read()).body == b"it"
        await draining


@pytest.mark.usefixtures("no_late_connections")
async def test_the_listen_backlog_is_served_in_a_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    # Clients in the listen backlog wait until the connection limit admits them.
    policy = ScriptedPolicy()
    async with running_proxy(policy, max_sockets=32 + 16) as client:  # allows eight clients
        busy = [client.new_client() for _ in range(8)]
        for other in busy:
            await other.send(request())
        await wait_until(lambda: len(policy.events_of(RequestArrived)) == len(busy))
        late = [client.new_client() for _ in range(2)]
        for other in late:
            await other.send(request())
        paused = asyncio.Event()
        monkeypatch.setattr(client.proxy.downstream, "_pause_accepting", lambda _for_s=None: paused.set())
        draining = asyncio.create_task(client.proxy.drain())
        await paused.wait()  # the shutdown has reached the backlog
        monkeypatch.undo()
        policy.react = fail_new_and_first_requests
        client.proxy.dispatch(TimerExpired("now"))
        for other in (*busy, *late):
            response = await other.read()
            assert response.status == 504
            assert response.headers["connection"] == "close"
        await draining
        assert len(policy.events_of(RequestArrived)) == len(busy) + len(late)


@pytest.mark.parametrize(
    ("timeouts_ms", "shutdown_s"),
    [
        ([], 3.5),
        ([0], 3.5),
        ([250], 0.75),
        ([800, 2000], 2.5),
        ([2000, 0], 3.5),
        ([3000], 3.5),
        ([220, 4600], 3.5),
    ],
)
def test_a_shutdown_ends_before_the_earliest_sigkill(timeouts_ms: list[int], shutdown_s: float) -> None:
    classes = [
        RequestClass(str(ms), client_timeout_ns=ms * NANOSECONDS_PER_MILLISECOND) for ms in timeouts_ms
    ]
    assert shutdown_timeout_s(classes) == pytest.approx(shutdown_s)


@pytest.mark.usefixtures("no_late_connections")
async def test_pending_requests_fail_at_the_end_of_a_shutdown(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # If the longest client timeout is short, SIGKILL comes soon after a request that arrives late.
    endpoint = await FakeEndpoint(never_respond).start()
    policy = forwarding_policy()
    async with running_proxy(policy, endpoint, client_timeout_ns=100 * NANOSECONDS_PER_MILLISECOND) as client:
        await client.send(request(deadline_ms=600_000))
        await wait_until(lambda: endpoint.requests)
        started_s = time.monotonic()
        draining = asyncio.create_task(client.proxy.drain())
        assert (await client.read()).status == 504
        assert time.monotonic() - started_s < 2.5  # about 0.6 s; 3.4 s if the settings were ignored
        await draining
    assert "n: graceful shutdown: timeout after 0.60 s, failing 1 pending requests" in caplog.text


@pytest.mark.usefixtures("no_late_connections")
@pytest.mark.parametrize("kept_alive", [False, True], ids=["new connection", "kept-alive connection"])
async def test_a_partially_received_request_is_served_in_a_shutdown(
    monkeypatch: pytest.MonkeyPatch, kept_alive: bool
) -> None:
    monkeypatch.setattr("loadbalancer.proxy.client_eviction.MIN_EVICTION_AGE_S", 0.0)
    endpoint = await FakeEndpoint(respond_with(200, b"it")).start()
    policy = forwarding_policy()
    async with running_proxy(policy, endpoint) as client:
        if kept_alive:
            assert (await client.exchange(request())).status == 200
        idle = client.new_client()
        assert (await request_readiness(idle)).status == 200
        data = request()
        await client.send(data[:-3])
        await wait_until(
            lambda: any(connection.request_started for connection in client.proxy.downstream._connections)
        )
        draining = asyncio.create_task(client.proxy.drain())
        assert await idle.is_closed_by_proxy()  # the shutdown has reached the connections between requests
        await client.send(data[-3:])
        response = await client.read()
        assert (response.body, response.headers["connection"]) == (b"it", "close")
        await draining


async def test_a_large_response_is_written_completely_in_a_shutdown() -> None:
    body = bytes(range(256)) * 1000
    endpoint = await FakeEndpoint(respond_with(200, body)).start()
    policy = forwarding_policy()
    async with running_proxy(policy, endpoint) as client:
        await client.send(b"")
        assert client.writer is not None
        client_side = cast(asyncio.Transport, client.writer.transport)
        client_side.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client_side.pause_reading()
        await wait_until(lambda: client.proxy.downstream._connections)
        server_side = next(iter(client.proxy.downstream._connections))
        await wait_until(lambda: server_side._transport)
        assert server_side._transport is not None
        server_side._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        draining = asyncio.create_task(client.proxy.drain())
        await wait_until(lambda: not client.proxy.ready)
        await client.send(request())
        await wait_until(lambda: client.proxy.downstream._flushing)
        await wait_until(lambda: client.proxy.downstream._socket is None)
        assert not draining.done()
        for transport in (client_side, server_side._transport):  # a transfer with small buffers is slow
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, option, 1 << 20)
        client_side.resume_reading()
        assert (await client.read()).body == body
        await draining
