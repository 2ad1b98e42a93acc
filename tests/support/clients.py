"""Clients on plain sockets, and the ways in which they disconnect."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from loadbalancer.proxy.client_connection import ClientConnection
from tests.support.sockets import HOST, Client

READY_REQUEST = b"GET /health/ready HTTP/1.1\r\n\r\n"

Disconnect = Callable[[socket.socket], None]


def full_close(sock: socket.socket) -> None:
    """Send a FIN, or an RST if there is unread input."""
    sock.close()


def half_close(sock: socket.socket) -> None:
    """Send a FIN, and go on reading."""
    sock.shutdown(socket.SHUT_WR)


def reset(sock: socket.socket) -> None:
    """Send an RST."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


each_disconnect = pytest.mark.parametrize("disconnect", [full_close, half_close, reset])


@asynccontextmanager
async def plain_socket(client: Client, receive_buffer: int | None = None) -> AsyncIterator[socket.socket]:
    """A socket to the client's proxy: what is done to it is done at once, between two turns of the loop."""
    with socket.socket() as sock:
        if receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (HOST, client.port))
        yield sock


def first_connection(client: Client) -> ClientConnection:
    """The proxy's side of its only connection."""
    return next(iter(client.node.downstream._connections))


def transport_of(connection: ClientConnection) -> asyncio.Transport:
    """The transport of a connection that is set up."""
    assert connection._transport is not None
    return connection._transport
