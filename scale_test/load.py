"""Traffic for one balancer: stand-ins of upstreams, and clients. Run once as each."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Coroutine
from typing import Any

from scale_test.child_process import serve

STAND_INS = 8  # listening; all upstreams of the list lead to one of them
WORK_S = 0.004  # an upstream's time for a request
DEADLINE_MS = 2000
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """An upstream: the body says when the request came and when its answer went out."""
    try:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            came = time.monotonic_ns()
            await asyncio.sleep(WORK_S)
            body = b"%d %d" % (came, time.monotonic_ns())
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    except (OSError, asyncio.IncompleteReadError):
        writer.close()


class Commands:
    def __init__(self) -> None:
        self.servers: list[asyncio.Server] = []
        self.samples: list[tuple[int, int, int]] = []  # sent, answered, added: all in ns; -1 for not served
        self._idle: list[Streams] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def _begin(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def upstreams(self) -> object:
        """Listen; gives the addresses as discovery tells them."""
        self.servers = [await asyncio.start_server(answer, f"127.9.0.{i + 1}", 0) for i in range(STAND_INS)]
        return ["{}:{}".format(*server.sockets[0].getsockname()[:2]) for server in self.servers]

    async def clients(self, address: tuple[str, int], rate: float, seed: int) -> object:
        """Send so many requests a second from now on, at random times, whatever becomes of them."""
        self._begin(self._send(address, rate, random.Random(seed)))
        return True

    async def _send(self, address: tuple[str, int], rate: float, rng: random.Random) -> None:
        due = time.monotonic()
        for number in itertools.count():
            due += rng.expovariate(rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self._begin(self._request(address, number))

    async def _request(self, address: tuple[str, int], number: int) -> None:
        request = (
            b"GET /reading HTTP/1.1\r\nHost: scale\r\nReq-Id: %016x\r\nReq-Owner: ash\r\n"
            b"Req-Deadline-Ms: %d\r\n\r\n" % (number, DEADLINE_MS)
        )
        sent, added = time.monotonic_ns(), -1
        try:
            async with asyncio.timeout(2 * DEADLINE_MS / 1000):
                try:
                    head, body = await self._ask(address, request, bool(self._idle))
                except (ConnectionError, asyncio.IncompleteReadError):
                    head, body = await self._ask(address, request, False)  # its close crossed the request
            if head.startswith(b"http/1.1 200"):
                came, left = body.split()
                added = time.monotonic_ns() - sent - (int(left) - int(came))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass  # it has not been served
        self.samples.append((sent, time.monotonic_ns(), added))

    async def _ask(self, address: tuple[str, int], request: bytes, again: bool) -> tuple[bytes, bytes]:
        """Send it on a connection that was used before, or on a new one."""
        reader, writer = self._idle.pop() if again else await asyncio.open_connection(*address)
        writer.write(request)
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        body = await reader.readexactly(int(head.split(b"content-length:")[1].split(b"\r\n")[0]))
        if b"connection: close" in head:
            writer.close()
        else:
            self._idle.append((reader, writer))
        return head, body

    async def report(self) -> object:
        return self.samples


if __name__ == "__main__":
    commands = Commands()
    asyncio.run(serve({name: getattr(commands, name) for name in ("upstreams", "clients", "report")}))
