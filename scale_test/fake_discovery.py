"""A fake discovery service that serves full lists, changes and watches, and responds to calls in order.

Each balancer calls its own address, so that its calls and bytes can be counted separately.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from scale_test.http_messages import END_OF_HEAD, ok_head
from scale_test.records import CallerRecord, FullListResponse, Outage, VersionSeen
from scale_test.registry import Health, Registry

HOST = "127.0.0.1"
MAX_WAIT_S = 60.0  # a watch ends after this time even if its `wait_ms` is longer
WRITE_CHUNK_BYTES = 256 * 1024
MAX_WRITE_S = 0.1  # the longest time that a slow reader delays the response to the next call
UNAVAILABLE = b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


@dataclass(eq=False)
class PendingCall:
    """A balancer's call that has not been responded to yet."""

    caller: CallerRecord
    after: int | None  # the version that the balancer has; None: it asks for the full list
    writer: asyncio.StreamWriter
    completed: asyncio.Event = field(default_factory=asyncio.Event)  # set when the next call may be read
    force_full_list: bool = False  # respond with the full list even where the changes are known
    timer: asyncio.TimerHandle | None = None  # ends a watch after its wait


class FakeDiscovery:
    """Listens on one address for each balancer, and responds with the contents of a registry."""

    def __init__(self, registry: Registry, callers: int) -> None:
        self.registry = registry
        self.callers = [CallerRecord() for _ in range(callers)]
        self.down = False
        self.outages: list[Outage] = []
        self._outage_begun_ns = 0
        self._watches: dict[PendingCall, None] = {}  # open watches, in order of arrival
        self._queue: asyncio.Queue[PendingCall] = asyncio.Queue()  # calls that are due for a response
        self._connections: set[asyncio.StreamWriter] = set()
        self._servers: list[asyncio.Server] = []
        self._call_received = asyncio.Event()
        self._worker: asyncio.Task[None] | None = None

    async def start(self) -> list[tuple[str, int]]:
        """Start listening, and return an address for each balancer, by its number."""
        self._worker = asyncio.create_task(self._respond_to_calls())
        for caller in self.callers:
            serve = functools.partial(self._serve, caller)
            self._servers.append(await asyncio.start_server(serve, HOST, 0))
        return [server.sockets[0].getsockname()[:2] for server in self._servers]

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._worker is not None:
            self._worker.cancel()
        for server in self._servers:
            server.close()
        for writer in self._connections:
            writer.transport.abort()

    # -- calls --

    async def _serve(
        self, caller: CallerRecord, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(END_OF_HEAD)
                await self._handle_call(caller, head, writer)
                if self.down:
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass  # the balancer has closed the connection, or an outage has aborted it
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _handle_call(self, caller: CallerRecord, head: bytes, writer: asyncio.StreamWriter) -> None:
        query = parse_qs(urlsplit(head.split(b" ", 2)[1].decode()).query)
        after = int(query["after"][0]) if "after" in query else None
        caller.calls += 1
        caller.received += len(head)
        if self.down:
            caller.rejected += 1
            caller.sent += len(UNAVAILABLE)
            writer.write(UNAVAILABLE)
            await writer.drain()
            return
        self._record_call(caller, after)
        call = PendingCall(caller, after, writer)
        if after == self.registry.version:
            wait_s = min(int(query.get("wait_ms", ["0"])[0]) / 1000, MAX_WAIT_S)
            call.timer = asyncio.get_running_loop().call_later(wait_s, self._end_watch, call)
            self._watches[call] = None
        else:
            self._queue.put_nowait(call)
        await call.completed.wait()

    def _record_call(self, caller: CallerRecord, after: int | None) -> None:
        now_ns = time.monotonic_ns()
        seen = caller.versions_seen
        if after is not None and (not seen or after > seen[-1].version):
            seen.append(VersionSeen(now_ns, after))
        if caller.full_lists and caller.full_lists[-1].next_call_ns is None:
            response = caller.full_lists[-1]
            response.next_call_ns = now_ns
            response.accepted = after is not None and after >= response.version
        self._call_received.set()

    def _end_watch(self, call: PendingCall) -> None:
        """Queue a watch for its response, because the list has changed or its wait has expired."""
        if call in self._watches:
            del self._watches[call]
            if call.timer is not None:
                call.timer.cancel()
            self._queue.put_nowait(call)

    async def _respond_to_calls(self) -> None:
        while True:
            call = await self._queue.get()
            body = self._response_body(call)
            head = ok_head(len(body))
            call.caller.sent += len(head) + len(body)
            if len(body) <= WRITE_CHUNK_BYTES:
                call.writer.write(head + body)
                call.completed.set()
            else:
                call.writer.write(head)
                await asyncio.wait({asyncio.create_task(self._write_body(call, body))}, timeout=MAX_WRITE_S)

    def _response_body(self, call: PendingCall) -> bytes:
        after = call.after
        if call.force_full_list or after is None or not self.registry.knows_changes_after(after):
            body = self.registry.full_list()
            call.caller.full_lists.append(FullListResponse(time.monotonic_ns(), self.registry.version))
            return body
        return self.registry.changes_after(after)

    async def _write_body(self, call: PendingCall, body: bytes) -> None:
        view = memoryview(body)
        with contextlib.suppress(OSError):
            for start in range(0, len(body), WRITE_CHUNK_BYTES):
                call.writer.write(view[start : start + WRITE_CHUNK_BYTES])
                await call.writer.drain()
        call.completed.set()

    # -- commands of the experiment --

    def change(self, rows: Sequence[int], health: Health | None = None, *, restarted: bool = False) -> None:
        """Change rows of the list, and respond to all watches unless discovery is down."""
        self.registry.change(rows, health, restarted=restarted)
        if not self.down:
            for call in list(self._watches):
                self._end_watch(call)

    def begin_outage(self) -> None:
        """Begin an outage: abort all connections and drop their watches; from now on, reject calls."""
        self.down = True
        self._outage_begun_ns = time.monotonic_ns()
        for writer in self._connections:
            writer.transport.abort()
        for call in self._watches:
            call.completed.set()
        self._watches.clear()

    def end_outage(self) -> None:
        """End the outage and clear the log of changes: callers with an older version get the full list."""
        self.registry.forget_changes()
        self.down = False
        self.outages.append(Outage(self._outage_begun_ns, time.monotonic_ns()))

    async def wait_settled(self, timeout_s: float) -> bool:
        """Wait until all balancers have called with the newest version; return False on a timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._wait_for_calls(lambda: all(map(self._has_newest, self.callers)))
        except TimeoutError:
            return False
        return True

    def _has_newest(self, caller: CallerRecord) -> bool:
        seen = caller.versions_seen
        return bool(seen) and seen[-1].version >= self.registry.version

    async def send_full_list(self, number: int, timeout_s: float) -> bool:
        """Change a row, and send one balancer the full list in response to its watch.

        Returns:
            Whether its next call came before the timeout.
        """
        caller = self.callers[number]
        try:
            async with asyncio.timeout(timeout_s):
                await self._wait_for_calls(lambda: any(call.caller is caller for call in self._watches))
                watch = next(call for call in reversed(self._watches) if call.caller is caller)
                sent_before = len(caller.full_lists)
                watch.force_full_list = True
                self.change([0])
                await self._wait_for_calls(
                    lambda: (
                        len(caller.full_lists) > sent_before
                        and caller.full_lists[sent_before].next_call_ns is not None
                    )
                )
        except TimeoutError:
            return False
        return True

    async def _wait_for_calls(self, condition: Callable[[], bool]) -> None:
        while not condition():
            self._call_received.clear()
            await self._call_received.wait()
