"""The listener over loopback sockets: timeouts, admission and eviction of connections."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

import pytest

from loadbalancer.messages import Fail, RequestArrived, TimerExpired
from loadbalancer.proxy.client_connection import ClientConnection
from loadbalancer.proxy.connection_table import ConnectionTable
from loadbalancer.proxy.downstream import DownstreamServer
from tests.support.clients import plain_socket
from tests.support.fake_policies import ScriptedPolicy
from tests.support.http_messages import HOST, READY_REQUEST, request
from tests.support.running_proxy import Client, running_proxy
from tests.support.scripted import fail_all
from tests.support.waiting import WAIT_TIMEOUT_S, wait_until

SOCKETS_FOR_EIGHT_CLIENTS = 32 + 16


def first(table: ConnectionTable) -> ClientConnection:
    return next(iter(table))


def age(table: ConnectionTable, seconds: float) -> None:
    """Make all connections in the table appear older by `seconds`."""
    for client in table:
        table._entered_at_s[client] -= seconds


async def rest_of_stream(client: Client) -> bytes:
    assert client.reader is not None
    return await asyncio.wait_for(client.reader.read(), WAIT_TIMEOUT_S)


# -- timeouts --

PARTIAL_HEAD = b"GET /re"
PARTIAL_BODY = request("/pay", method="POST", body=b"abc")[:-1]


@pytest.mark.parametrize(
    ("kept_alive", "data", "response_start"),
    [
        (False, b"", b""),
        (False, PARTIAL_HEAD, b"HTTP/1.1 408 "),
        (False, PARTIAL_BODY, b"HTTP/1.1 408 "),
        (True, PARTIAL_HEAD, b"HTTP/1.1 408 "),
        (True, PARTIAL_BODY, b"HTTP/1.1 408 "),
    ],
)
async def test_request_that_is_not_received_in_time_ends_the_connection(
    kept_alive: bool, data: bytes, response_start: bytes
) -> None:
    async with running_proxy(ScriptedPolicy()) as client:
        server = client.proxy.downstream
        if kept_alive:
            await client.exchange(READY_REQUEST)
        await client.send(data)
        await wait_until(
            lambda: server._awaiting_request and (not data or first(server._awaiting_request).request_started)
        )
        server._enforce_timeouts()
        assert server._awaiting_request

        age(server._awaiting_request, 2.3)
        server._enforce_timeouts()

        received = await rest_of_stream(client)
        assert received.startswith(response_start)
        assert bool(received) == bool(response_start)
        client.close()
        await wait_until(lambda: not server._connections and not server._closing)


async def test_idle_connection_awaits_no_request() -> None:
    async with running_proxy(ScriptedPolicy()) as client:
        await client.exchange(READY_REQUEST)
        await client.send(b"")
        assert not client.proxy.downstream._awaiting_request


async def test_keep_alive_connection_is_closed_after_two_idle_seconds() -> None:
    async with running_proxy(ScriptedPolicy()) as client:
        server = client.proxy.downstream
        assert (await client.exchange(READY_REQUEST)).status == 200
        age(server._idle, 1.8)
        server._enforce_timeouts()
        assert (await client.exchange(READY_REQUEST)).status == 200  # this restarts the idle timeout
        age(server._idle, 2.0)
        server._enforce_timeouts()
        assert await client.is_closed_by_proxy()
        await wait_until(lambda: not server._connections)


async def test_first_byte_does_not_restart_the_receive_timeout() -> None:
    async with running_proxy(ScriptedPolicy()) as client:
        server = client.proxy.downstream
        await client.send(b"")
        await wait_until(lambda: server._awaiting_request)
        age(server._awaiting_request, 2.0)
        table = server._awaiting_request
        since_s = table._entered_at_s[first(table)]
        await client.send(b"GET")
        await wait_until(lambda: first(server._awaiting_request).request_started)
        assert table._entered_at_s[first(table)] == since_s


async def test_lingering_close_ends_after_its_timeout() -> None:
    async with running_proxy(ScriptedPolicy()) as client:
        server = client.proxy.downstream
        assert (await client.exchange(b"nonsense\r\n\r\n")).status == 400
        assert server._closing
        assert server._connections
        age(server._closing, 0.6)
        server._enforce_timeouts()
        assert not server._closing
        assert not server._connections


# -- admission and eviction --


async def test_silent_connections_are_evicted_before_idle_ones() -> None:
    async with running_proxy(ScriptedPolicy(), max_sockets=SOCKETS_FOR_EIGHT_CLIENTS) as client:
        server = client.proxy.downstream
        assert (await client.exchange(READY_REQUEST)).status == 200
        silent_clients = [client.new_client() for _ in range(7)]
        for silent_client in silent_clients:
            await silent_client.send(b"")
        await wait_until(lambda: len(server._awaiting_request) == 7)
        age(server._awaiting_request, 1.0)
        assert (await client.new_client().exchange(READY_REQUEST)).status == 200
        assert await silent_clients[0].is_closed_by_proxy()
        assert (await client.exchange(READY_REQUEST)).status == 200  # idle for longer, but still open
        for silent_client in silent_clients:
            silent_client.close()


async def test_connection_evicted_before_it_is_established_is_closed() -> None:
    async with running_proxy(ScriptedPolicy()) as client:
        server = client.proxy.downstream
        with socket.create_connection((HOST, client.port)) as sock:
            sock.setblocking(False)
            while not server._awaiting_request:
                server._accept()
            age(server._awaiting_request, 1.0)
            assert server._evict_one()  # its transport does not exist yet
            end_of_stream = asyncio.get_running_loop().sock_recv(sock, 1)
            assert await asyncio.wait_for(end_of_stream, WAIT_TIMEOUT_S) == b""


async def test_idle_connections_are_evicted_and_busy_ones_stay() -> None:
    policy = ScriptedPolicy()
    async with running_proxy(policy, max_sockets=SOCKETS_FOR_EIGHT_CLIENTS) as client:
        idle = client.new_client()
        assert (await idle.exchange(READY_REQUEST)).status == 200
        busy_clients = [client.new_client() for _ in range(7)]
        for busy in busy_clients:
            await busy.send(request())
        await wait_until(lambda: len(policy.events_of(RequestArrived)) == 7)

        # Near the connection limit, a response closes its connection.
        response = await client.new_client().exchange(READY_REQUEST)
        assert response.status == 200
        assert response.headers["connection"] == "close"
        assert await idle.is_closed_by_proxy()

        await client.send(request())
        await wait_until(lambda: len(policy.events_of(RequestArrived)) == 8)
        last = client.new_client()
        await last.send(READY_REQUEST)  # waits in the listen backlog until another request has its response
        policy.react = lambda event: [Fail("3")] if isinstance(event, TimerExpired) else ()
        client.proxy.dispatch(TimerExpired("now"))
        assert (await last.read()).status == 200
        for other in (*busy_clients, last):
            other.close()


async def test_accept_continues_after_running_out_of_file_descriptors(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with running_proxy(ScriptedPolicy()) as client:
        accept = socket.socket.accept
        failures_left = 2

        def fail_twice(self: socket.socket) -> object:
            nonlocal failures_left
            if failures_left:
                failures_left -= 1
                raise OSError(errno.EMFILE, "no descriptor")
            return accept(self)

        monkeypatch.setattr(socket.socket, "accept", fail_twice)
        assert (await client.exchange(READY_REQUEST)).status == 200
        assert not failures_left


# -- closing a connection with an unread request --


def drain(server: DownstreamServer) -> None:
    server.continue_shutdown()


def enforce_timeouts(server: DownstreamServer) -> None:
    server._enforce_timeouts()


def find_none_to_evict(server: DownstreamServer) -> None:
    assert not server._evict_one()


@pytest.mark.parametrize(
    ("had_request", "close_connections"),
    [(True, drain), (True, enforce_timeouts), (False, enforce_timeouts), (True, find_none_to_evict)],
)
async def test_connection_with_an_unread_request_is_not_closed(
    had_request: bool, close_connections: Callable[[DownstreamServer], None]
) -> None:
    # Guards against losing a request that the kernel has received and the proxy has not read yet.
    async with running_proxy(ScriptedPolicy(fail_all)) as client, plain_socket(client) as sock:
        server = client.proxy.downstream
        loop = asyncio.get_running_loop()
        await wait_until(lambda: any(connection._transport for connection in server._connections))
        if had_request:
            sock.send(READY_REQUEST)
            assert (await loop.sock_recv(sock, 4096)).startswith(b"HTTP/1.1 200 ")
            await wait_until(lambda: server._idle)

        sock.send(request())  # stays unread in the socket: the event loop does not run from here on
        for table in (server._idle, server._awaiting_request):
            age(table, 3.0)
        close_connections(server)

        received = await asyncio.wait_for(loop.sock_recv(sock, 4096), WAIT_TIMEOUT_S)
        assert received.startswith(b"HTTP/1.1 504 ")
