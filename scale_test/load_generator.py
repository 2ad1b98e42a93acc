"""The load generator, a child process that acts as all upstreams or as the clients of one balancer."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from scale_test.child_process import commands_of, serve
from scale_test.http_messages import END_OF_HEAD, content_length, is_ok, ok_response
from scale_test.records import RequestSample

LISTENERS = 8  # the upstreams of the list share the addresses of these
SERVICE_TIME_S = 0.004  # time from an upstream's receipt of a request to its response
DEADLINE_MS = 2000  # sent with each request


@dataclass(frozen=True)
class Connection:
    """A client connection to the balancer."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


@dataclass(frozen=True)
class Response:
    """A response of the balancer."""

    head: bytes
    body: bytes

    @property
    def is_ok(self) -> bool:
        """Whether the request was served."""
        return is_ok(self.head)

    @property
    def upstream_ns(self) -> int:
        """The time that the upstream took, calculated from the two times in the body."""
        received, answered = self.body.split()
        return int(answered) - int(received)


async def serve_upstream(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Respond as an upstream; the body holds the times in ns of the request's receipt and of the response."""
    try:
        while True:
            await reader.readuntil(END_OF_HEAD)
            received_ns = time.monotonic_ns()
            await asyncio.sleep(SERVICE_TIME_S)
            body = b"%d %d" % (received_ns, time.monotonic_ns())
            writer.write(ok_response(body))
    except (OSError, asyncio.IncompleteReadError):
        writer.close()


class LoadCommands:
    """The commands of this process: `start_upstreams`, or `start_clients` and then `report`."""

    def __init__(self) -> None:
        self._servers: list[asyncio.Server] = []
        self._samples: list[RequestSample] = []
        self._idle: list[Connection] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start_upstreams(self) -> object:
        """Start listening as the upstreams, and return the addresses, formatted as in the endpoint list."""
        for number in range(LISTENERS):
            self._servers.append(await asyncio.start_server(serve_upstream, f"127.9.0.{number + 1}", 0))
        return ["{}:{}".format(*server.sockets[0].getsockname()[:2]) for server in self._servers]

    async def start_clients(self, address: tuple[str, int], rate: float, seed: int) -> object:
        """Start sending requests at an average of `rate` per second, without waiting for responses.

        The intervals between requests are exponentially distributed.
        """
        self._create_task(self._send_all(address, rate, random.Random(seed)))
        return True

    async def report(self) -> object:
        """Return a sample of each request that has ended so far."""
        return self._samples

    def _create_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_all(self, address: tuple[str, int], rate: float, rng: random.Random) -> None:
        due_s = time.monotonic()
        for number in itertools.count():
            due_s += rng.expovariate(rate)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            self._create_task(self._send_and_record(address, number))

    async def _send_and_record(self, address: tuple[str, int], number: int) -> None:
        request = (
            b"GET /reading HTTP/1.1\r\nHost: scale\r\nReq-Id: %016x\r\nReq-Owner: ash\r\n"
            b"Req-Deadline-Ms: %d\r\n\r\n" % (number, DEADLINE_MS)
        )
        sent_ns = time.monotonic_ns()
        added_ns = None
        try:
            async with asyncio.timeout(2 * DEADLINE_MS / 1000):
                response = await self._send(address, request)
            if response.is_ok:
                added_ns = time.monotonic_ns() - sent_ns - response.upstream_ns
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass  # the request is recorded as not served
        self._samples.append(RequestSample(sent_ns, time.monotonic_ns(), added_ns))

    async def _send(self, address: tuple[str, int], request: bytes) -> Response:
        """Send a request, and again on a new connection if its connection is closed before the response."""
        try:
            connection = self._idle.pop() if self._idle else await self._connect(address)
            return await self._exchange(connection, request)
        except (ConnectionError, asyncio.IncompleteReadError):
            return await self._exchange(await self._connect(address), request)

    @staticmethod
    async def _connect(address: tuple[str, int]) -> Connection:
        return Connection(*await asyncio.open_connection(*address))

    async def _exchange(self, connection: Connection, request: bytes) -> Response:
        connection.writer.write(request)
        head = await connection.reader.readuntil(END_OF_HEAD)
        body = await connection.reader.readexactly(content_length(head))
        if b"connection: close" in head.lower():
            connection.writer.close()
        else:
            self._idle.append(connection)
        return Response(head, body)


if __name__ == "__main__":
    asyncio.run(serve(commands_of(LoadCommands())))
