"""A fake endpoint that cannot be reached at first."""

from __future__ import annotations

import asyncio
import socket

from tests.support.fake_endpoint import FakeEndpoint, Responder
from tests.support.http_messages import HOST


class UnreachableServer(FakeEndpoint):
    """A server on a reserved port: until `start_accepting`, connections are refused or never established."""

    def __init__(self, respond: Responder, refuses_connections: bool) -> None:
        super().__init__(respond)
        self._socket = socket.socket()
        self._refuses_connections = refuses_connections
        self._backlog_sockets: list[socket.socket] = []

    async def start(self) -> FakeEndpoint:
        self._socket.bind((HOST, 0))
        self.port = self._socket.getsockname()[1]
        if not self._refuses_connections:
            self._socket.listen(0)
            for _ in range(4):  # once the backlog is full, the kernel drops further connection attempts
                self._backlog_sockets.append(socket.socket())
                self._backlog_sockets[-1].setblocking(False)
                self._backlog_sockets[-1].connect_ex((HOST, self.port))
        return self

    async def start_accepting(self) -> None:
        """Accept connections from now on."""
        self._server = await asyncio.start_server(self._serve, sock=self._socket)

    def stop(self) -> None:
        super().stop()
        for held in (self._socket, *self._backlog_sockets):
            held.close()
