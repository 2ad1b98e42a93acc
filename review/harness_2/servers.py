"""Stand-ins for upstreams and for discovery, on loopback addresses."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

from harness_2.http import OK, BrokenMessageError, Message, format_response, read_message
from harness_2.record import Record

HOST = "127.0.0.1"
LIST_PATH = "/registry/instances"
NOT_FOUND = 404
DEFAULT_WORK_S = 0.04
READ_LIMIT = 1 << 20


class Connection:
    """One accepted connection of a stand-in."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Keep both directions."""
        self.reader = reader
        self.writer = writer

    async def send(self, data: bytes) -> None:
        """Write bytes; nothing happens if the peer has gone."""
        with contextlib.suppress(ConnectionError):
            self.writer.write(data)
            await self.writer.drain()

    def reset(self) -> None:
        """End the connection with a reset."""
        raw = self.writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    def close(self) -> None:
        """Close the connection; what was written is still sent."""
        self.writer.close()


class Server:
    """A stand-in that reads requests one after another on each connection."""

    def __init__(self, record: Record, name: str) -> None:
        """Prepare the server; `start` opens its port."""
        self.record = record
        self.name = name
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=READ_LIMIT)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Refuse new connections from now on."""
        if self._server is not None:
            self._server.close()

    def stop(self) -> None:
        """Stop listening, and end all connections."""
        self.stop_listening()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        connection = Connection(reader, writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self.handle(request, connection)
                if request.closes:
                    break
        except (BrokenMessageError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, request: Message, connection: Connection) -> None:
        """Answer a request."""
        raise NotImplementedError


Behavior = Callable[["Upstream", Message, Connection], Awaitable[bool]]
"""Answers a request in place of the upstream, or returns False to leave that to it."""


class Upstream(Server):
    """A sound upstream: runs each request for some time, and answers with the request's id in the body."""

    def __init__(self, record: Record, name: str, work_s: float = DEFAULT_WORK_S) -> None:
        """Prepare the upstream."""
        super().__init__(record, name)
        self.work_s = work_s
        self.behavior: Behavior | None = None
        self.runs: list[tuple[float, str, str]] = []
        """Time, request id and idempotency key of what was run."""
        self.inflight = 0

    def entry(self, zone: str, status: str = "up", born_ms: int = 0) -> dict[str, object]:
        """Return the entry of the upstream in discovery's list."""
        return {
            "host": f"s-{self.name}",
            "dial": self.address,
            "site": zone,
            "class": "std",
            "block": 1,
            "health": status,
            "share": 1.0,
            "born_ms": born_ms,
        }

    def answer_body(self, request: Message) -> bytes:
        """Return the body of the answer to a request, which no other request gets."""
        text = {"upstream": self.name, "id": request.headers.get("req-id"), "path": request.target}
        return json.dumps(text).encode()

    def note_run(self, request: Message) -> None:
        """Record that a request has run here."""
        request_id = request.headers.get("req-id", "")
        key = request.headers.get("idempotency-key", "")
        self.runs.append((self.record.now(), request_id, key))
        self.record.write(f"{self.name} runs {request.start_line!r} id={request_id} key={key}")

    async def handle(self, request: Message, connection: Connection) -> None:
        """Run a request and answer it, unless the behavior does; a probe gets 404 without a behavior."""
        if request.target in ("/health/live", "/stats"):
            if self.behavior is None or not await self.behavior(self, request, connection):
                await connection.send(format_response(NOT_FOUND))
            return
        if "req-id" not in request.headers:
            await connection.send(format_response(NOT_FOUND))
            return
        self.inflight += 1
        try:
            if self.behavior is None or not await self.behavior(self, request, connection):
                self.note_run(request)
                await asyncio.sleep(self.work_s)
                await connection.send(format_response(OK, self.answer_body(request), self.load_header()))
        finally:
            self.inflight -= 1

    def load_header(self) -> dict[str, str]:
        """Return the header with the load report."""
        report = {"inflight": max(0, self.inflight - 1), "latency_ms": self.work_s * 1000}
        return {"Srv-Load": json.dumps(report)}


class Discovery(Server):
    """Sound discovery that is asked: the whole list, or a watch on changes since a version."""

    def __init__(self, record: Record, name: str = "discovery") -> None:
        """Begin with an empty list."""
        super().__init__(record, name)
        self.version = 1
        self.entries: dict[str, dict[str, object]] = {}
        self.changed_at: dict[str, int] = {}
        self._changed = asyncio.Event()
        self.on_call: Callable[[Message, Connection], Awaitable[bool]] | None = None
        """Answers a call in place of discovery, or returns False to leave that to it."""

    def set_entry(self, entry: dict[str, object]) -> None:
        """Add or change an entry; calls that wait are answered."""
        self.version += 1
        host = str(entry["host"])
        self.entries[host] = entry
        self.changed_at[host] = self.version
        self.record.write(f"{self.name} has version {self.version}: {host} {entry['health']}")
        self._changed.set()
        self._changed = asyncio.Event()

    def whole(self) -> dict[str, object]:
        """Return the whole list."""
        listed = [entry for entry in self.entries.values() if entry["health"] != "removed"]
        return {"seq": self.version, "whole": True, "hosts": listed}

    def _changes(self, after: int) -> dict[str, object]:
        changed = [self.entries[host] for host, version in self.changed_at.items() if version > after]
        return {"seq": self.version, "whole": False, "hosts": changed}

    async def handle(self, request: Message, connection: Connection) -> None:
        """Answer a call, at once or when there is a change or its wait is over."""
        self.record.write(f"{self.name} is asked {request.target}")
        if self.on_call is not None and await self.on_call(request, connection):
            return
        query = parse_qs(urlsplit(request.target).query)
        if "after" not in query:
            answer = self.whole()
        else:
            after = int(query["after"][0])
            wait_s = int(query.get("wait_ms", ["0"])[0]) / 1000
            if after >= self.version and wait_s:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), wait_s)
            answer = self._changes(after) if after <= self.version else self.whole()
        self.record.write(f"{self.name} answers {request.target}: {json.dumps(answer)[:90]}")
        await self.send_list(answer, connection)

    async def send_list(self, answer: dict[str, object], connection: Connection) -> None:
        """Send a list."""
        await connection.send(format_response(OK, json.dumps(answer).encode()))
