"""The stand-in of discovery, as the protocol page has it: whole lists, watches, changes; calls in turn.

Each balancer is told an address of its own, so that its calls and bytes can be counted."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

from scale_test.child_process import serve
from scale_test.courses import COURSES
from scale_test.plan import Plan
from scale_test.registry import Registry

HOST = "127.0.0.1"
LONGEST_WAIT_S = 60.0
PIECE = 256 * 1024  # bytes written at once
TURN_S = 0.1  # so long at most a slow reader holds up the next call; then its answer goes out beside
DOWN = b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


@dataclass
class Caller:
    """What one balancer has asked and got."""

    calls: int = 0
    refused: int = 0
    received: int = 0  # bytes
    sent: int = 0
    # When it first showed that it had a version, by asking for what is newer.
    has: list[tuple[int, int]] = field(default_factory=list)
    # Whole lists: begun at, version, then its next call came at, and named that version or not
    wholes: list[list[int]] = field(default_factory=list)


@dataclass(eq=False)
class Call:
    caller: Caller
    after: int | None
    writer: asyncio.StreamWriter
    over: asyncio.Event = field(default_factory=asyncio.Event)
    whole: bool = False
    timer: asyncio.TimerHandle | None = None


class Discovery:
    def __init__(self, registry: Registry, callers: int) -> None:
        self.registry = registry
        self.callers = [Caller() for _ in range(callers)]
        self.down = False
        self.cuts: list[tuple[int, int]] = []  # down, and back
        self._cut_ns = 0
        self._parked: dict[Call, None] = {}  # watches with nothing new yet, in the order in which they came
        self._queue: asyncio.Queue[Call] = asyncio.Queue()
        self._connections: set[asyncio.StreamWriter] = set()
        self._servers: list[asyncio.Server] = []
        self._called = asyncio.Event()
        self._worker: asyncio.Task[None] | None = None

    async def start(self) -> list[tuple[str, int]]:
        """An address for each balancer."""
        self._worker = asyncio.create_task(self._work())
        for caller in self.callers:

            async def accept(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, caller: Caller = caller
            ) -> None:
                await self._serve(caller, reader, writer)

            self._servers.append(await asyncio.start_server(accept, HOST, 0))
        return [server.sockets[0].getsockname()[:2] for server in self._servers]

    def close(self) -> None:
        if self._worker is not None:
            self._worker.cancel()
        for server in self._servers:
            server.close()
        for writer in self._connections:
            writer.transport.abort()

    # -- calls --

    async def _serve(
        self, caller: Caller, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self._take(caller, head, writer)
                if self.down:
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass  # it has gone
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _take(self, caller: Caller, head: bytes, writer: asyncio.StreamWriter) -> None:
        query = parse_qs(urlsplit(head.split(b" ", 2)[1].decode()).query)
        after = int(query["after"][0]) if "after" in query else None
        caller.calls += 1
        caller.received += len(head)
        if self.down:
            caller.refused += 1
            caller.sent += len(DOWN)
            writer.write(DOWN)
            await writer.drain()
            return
        self._note(caller, after)
        call = Call(caller, after, writer)
        if after == self.registry.version:
            wait = min(int(query.get("wait_ms", ["0"])[0]) / 1000, LONGEST_WAIT_S)
            call.timer = asyncio.get_running_loop().call_later(wait, self._turn, call)
            self._parked[call] = None
        else:
            self._queue.put_nowait(call)
        await call.over.wait()

    def _note(self, caller: Caller, after: int | None) -> None:
        now = time.monotonic_ns()
        if after is not None and (not caller.has or after > caller.has[-1][1]):
            caller.has.append((now, after))
        if caller.wholes and len(caller.wholes[-1]) == 2:
            caller.wholes[-1] += [now, int(after is not None and after >= caller.wholes[-1][1])]
        self._called.set()

    def _turn(self, call: Call) -> None:
        """A watch's wait is over: it joins the queue."""
        if call in self._parked:
            del self._parked[call]
            if call.timer is not None:
                call.timer.cancel()
            self._queue.put_nowait(call)

    async def _work(self) -> None:
        while True:
            call = await self._queue.get()
            whole = (
                call.whole
                or call.after is None
                or not (self.registry.first <= call.after <= self.registry.version)
            )
            body = self.registry.whole() if whole else self.registry.since(call.after)
            if whole:
                call.caller.wholes.append([time.monotonic_ns(), self.registry.version])
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            call.caller.sent += len(head) + len(body)
            if len(body) <= PIECE:
                call.writer.write(head + body)
                call.over.set()
            else:
                call.writer.write(head)
                await asyncio.wait({asyncio.create_task(self._write(call, body))}, timeout=TURN_S)

    async def _write(self, call: Call, body: bytes) -> None:
        view = memoryview(body)
        with contextlib.suppress(OSError):
            for at in range(0, len(body), PIECE):
                call.writer.write(view[at : at + PIECE])
                await call.writer.drain()
        call.over.set()

    # -- what the run has it do --

    def change(self, rows: list[int], health: str = "", born: bool = False) -> None:
        self.registry.change(rows, health, born)
        if not self.down:
            for call in list(self._parked):
                self._turn(call)

    def cut(self) -> None:
        """Down: watches end, and calls are refused."""
        self.down, self._cut_ns = True, time.monotonic_ns()
        for writer in self._connections:
            writer.transport.abort()
        for call in self._parked:
            call.over.set()
        self._parked.clear()

    def back(self) -> None:
        """Up again, with no memory of what changed when: whoever calls gets the whole list."""
        self.registry.forget()
        self.down = False
        self.cuts.append((self._cut_ns, time.monotonic_ns()))

    async def settled(self, patience: float) -> bool:
        """Wait until all balancers have called with the newest version."""
        try:
            async with asyncio.timeout(patience):
                while any(not c.has or c.has[-1][1] < self.registry.version for c in self.callers):
                    self._called.clear()
                    await self._called.wait()
        except TimeoutError:
            return False
        return True

    async def tell_whole(self, number: int, patience: float) -> bool:
        """Change a row, and tell this balancer of it by the whole list; true once its next call has come."""
        caller = self.callers[number]
        try:
            async with asyncio.timeout(patience):
                while not any(c.caller is caller for c in self._parked):
                    self._called.clear()
                    await self._called.wait()
                call = next(c for c in reversed(self._parked) if c.caller is caller)
                told = len(caller.wholes)
                call.whole = True
                self.change([0])
                while len(caller.wholes) <= told or len(caller.wholes[told]) == 2:
                    self._called.clear()
                    await self._called.wait()
        except TimeoutError:
            return False
        return True


class Commands:
    """The run's commands to this process."""

    discovery: Discovery
    plan: Plan

    async def start(self, plan: dict[str, object], dials: list[str], known: str) -> object:
        self.plan = Plan(**plan)  # type: ignore[arg-type]
        registry = Registry(self.plan, dials)
        Path(known).write_bytes(registry.whole() if self.plan.known else b"null")
        self.discovery = Discovery(registry, self.plan.balancers)
        return await self.discovery.start()

    async def course(self) -> object:
        await COURSES[self.plan.course](self.discovery, self.plan, random.Random(self.plan.seed))
        return True

    async def settled(self, patience: float) -> object:
        return await self.discovery.settled(patience)

    async def whole(self, number: int, patience: float) -> object:
        return await self.discovery.tell_whole(number, patience)

    async def counts(self) -> object:
        return [(c.calls, c.received, c.sent) for c in self.discovery.callers]

    async def report(self) -> object:
        return {
            "callers": [asdict(c) for c in self.discovery.callers],
            "made": self.discovery.registry.made,
            "cuts": self.discovery.cuts,
        }


if __name__ == "__main__":
    commands = Commands()
    asyncio.run(
        serve(
            {
                name: getattr(commands, name)
                for name in ("start", "course", "settled", "whole", "counts", "report")
            }
        )
    )
