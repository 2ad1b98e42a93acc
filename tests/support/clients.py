"""Clients on plain sockets, the ways in which they disconnect, and checks after a disconnect."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from loadbalancer.proxy.client_connection import ClientConnection
from tests.support.fake_endpoint import FakeEndpoint, respond_with
from tests.support.fake_policies import ScriptedPolicy
from tests.support.http_messages import HOST, request
from tests.support.running_proxy import Client
from tests.support.scripted import forward_requests
from tests.support.waiting import wait_until

Disconnect = Callable[[socket.socket], None]


def full_close(sock: socket.socket) -> None:
    """Send a FIN, or an RST if there is unread input."""
    sock.close()


def half_close(sock: socket.socket) -> None:
    """Send a FIN, and keep the receiving side open."""
    sock.shutdown(socket.SHUT_WR)


def reset(sock: socket.socket) -> None:
    """Send an RST."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


each_disconnect = pytest.mark.parametrize("disconnect", [full_close, half_close, reset])


@asynccontextmanager
async def plain_socket(client: Client, receive_buffer: int | None = None) -> AsyncIterator[socket.socket]:
    """Open a non-blocking socket to the client's proxy.

    A call on the socket does not yield to the event loop, so that no other code runs between two calls.
    """
    with socket.socket() as sock:
        if receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (HOST, client.port))
        yield sock


def first_connection(client: Client) -> ClientConnection:
    """Return the first client connection of the proxy that this client uses."""
    return next(iter(client.proxy.downstream._connections))


def transport_of(connection: ClientConnection) -> asyncio.Transport:
    """Return the transport of an established connection."""
    assert connection._transport is not None
    return connection._transport


@asynccontextmanager
async def client_with_unread_response(
    client: Client, endpoint: FakeEndpoint, response_bytes: int
) -> AsyncIterator[socket.socket]:
    """Open a socket that does not read its response, so that a part of it is still unsent in the proxy.

    The endpoint sends an empty response to each later request.
    """
    async with plain_socket(client, receive_buffer=2048) as sock:
        await wait_until(
            lambda: any(connection._transport for connection in client.proxy.downstream._connections)
        )
        connection = first_connection(client)
        proxy_socket = transport_of(connection).get_extra_info("socket")
        proxy_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        endpoint.respond = respond_with(200, b"x" * response_bytes)
        sock.send(request("/read/large"))
        await wait_until(lambda: connection.has_unsent_data)
        endpoint.respond = respond_with(200)
        yield sock


async def assert_only_later_request_is_forwarded(
    endpoint: FakeEndpoint, client: Client, policy: ScriptedPolicy, received_before: int = 0
) -> None:
    """Send a request from a new client; assert that it is served, and that the proxy has no pending request.

    Assert also that the endpoint received no other request after its first `received_before` ones. From now
    on, the policy forwards each new request to the first endpoint.
    """
    forward_requests(policy)
    assert (await client.new_client().exchange(request("/read/later"))).status == 200
    assert request_targets(endpoint)[received_before:] == ["/read/later"]
    assert not client.proxy._pending_requests


def request_targets(endpoint: FakeEndpoint) -> list[str]:
    """Return the targets of the received requests, in order."""
    return [received.start_line.split()[1] for received in endpoint.requests]
