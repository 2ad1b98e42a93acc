"""A fake endpoint whose machine is away at first."""

from __future__ import annotations

import asyncio
import socket

from tests.support.fake_endpoint import FakeEndpoint, Responder
from tests.support.http_messages import HOST


class Machine(FakeEndpoint):
    """One that is not there yet: its port is held, connections to it are refused, or never come up."""

    def __init__(self, respond: Responder, refuses: bool) -> None:
        super().__init__(respond)
        self._socket = socket.socket()
        self._refuses = refuses
        self._filling: list[socket.socket] = []

    async def start(self) -> FakeEndpoint:
        self._socket.bind((HOST, 0))
        self.port = self._socket.getsockname()[1]
        if not self._refuses:
            self._socket.listen(0)
            for _ in range(4):  # a backlog that is full drops what else would connect
                self._filling.append(socket.socket())
                self._filling[-1].setblocking(False)
                self._filling[-1].connect_ex((HOST, self.port))
        return self

    async def comes_back(self) -> None:
        self._server = await asyncio.start_server(self._serve, sock=self._socket)

    def stop(self) -> None:
        super().stop()
        for held in (self._socket, *self._filling):
            held.close()
