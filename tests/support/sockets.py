"""Helpers of the socket tests: a scripted module, a client, an endpoint and a discovery, all on loopback."""

from __future__ import annotations

import asyncio
import itertools
import json
import re
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, TypeVar

from loadbalancer.configuration import Configuration
from loadbalancer.messages import Action, EndpointUpdate, EndpointUpdateKind, Event
from loadbalancer.proxy.endpoint_list import EndpointList
from loadbalancer.proxy.endpoint_list_parser import unix_offset_ns
from loadbalancer.proxy.endpoint_list_reader import EndpointListReader
from loadbalancer.proxy.proxy import Policy, Proxy
from loadbalancer.settings import Idempotency, Limits, RequestClass, Rules, Settings

HOST = "127.0.0.1"
WAIT_TIMEOUT_S = 10.0  # a test that waits longer has failed
NANOSECONDS_PER_MILLISECOND = 1_000_000
REQUEST_NUMBERS = itertools.count()

Json = dict[str, Any]
Writer = asyncio.StreamWriter
Responder = Callable[["ReceivedMessage", Writer], Awaitable[None]]

EventType = TypeVar("EventType")


async def wait_until(true: Callable[[], object]) -> None:
    """Wait for something to become true."""
    end = time.monotonic() + WAIT_TIMEOUT_S
    while not true():
        assert time.monotonic() < end, "never became true"
        await asyncio.sleep(0.001)


@dataclass
class ReceivedMessage:
    """A message as it came, read by hand and not by the code under test."""

    start_line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        return int(self.start_line.split()[1])


async def read_message(reader: asyncio.StreamReader) -> ReceivedMessage:
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in head[1:] if line)}
    return ReceivedMessage(head[0], headers, await reader.readexactly(int(headers.get("content-length", 0))))


def format_response(status: int, body: bytes = b"", *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


async def never_respond(received: ReceivedMessage, writer: Writer) -> None:
    """Answers nothing."""


def respond_with(status: int, body: bytes = b"", *headers: str) -> Responder:
    async def respond(_request: ReceivedMessage, writer: Writer) -> None:
        writer.write(format_response(status, body, *headers))

    return respond


def respond_raw(data: bytes, close: bool = False) -> Responder:
    async def respond(_request: ReceivedMessage, writer: Writer) -> None:
        writer.write(data)
        if close:
            writer.close()

    return respond


async def abort_connection(_request: ReceivedMessage, writer: Writer) -> None:
    writer.transport.abort()


class FakeEndpoint:
    """A server that notes what comes and answers as told."""

    def __init__(self, respond: Responder) -> None:
        self.respond = respond
        self.requests: list[ReceivedMessage] = []
        self.opened_connections = self.closed_connections = 0
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> FakeEndpoint:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        self.opened_connections += 1
        try:
            while True:
                self.requests.append(await read_message(reader))
                await self.respond(self.requests[-1], writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed_connections += 1
            writer.close()

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()


class FakeDiscovery:
    """A discovery: its list, changed by `change`, and each call as it came."""

    def __init__(self) -> None:
        self.entries: dict[str, Json] = {}
        self.version = 1
        self.calls: list[tuple[float, str]] = []
        self.broken_response = b""  # what it answers instead, while it is broken
        self._changed = asyncio.Event()
        self._last_changes: dict[str, int] = {}  # version of a host's last change, the latest one last
        self.server = FakeEndpoint(self._respond)

    def change(self, host: str, **row: object) -> None:
        self.entries[host] = {**entry(host), **self.entries.get(host, {}), **row}
        self.version += 1
        self._last_changes.pop(host, None)
        self._last_changes[host] = self.version
        self._changed.set()

    async def _respond(self, received: ReceivedMessage, writer: Writer) -> None:
        self.calls.append((time.monotonic(), received.start_line.split()[1]))
        if self.broken_response:
            writer.write(self.broken_response)
            writer.close()
            return
        after = re.search(r"after=(\d+)", received.start_line)
        if after is None:
            hosts = list(self.entries.values())
        else:
            hosts = await self._changes_after(int(after[1]))
        body = json.dumps({"seq": self.version, "whole": after is None, "hosts": hosts}).encode()
        writer.write(format_response(200, body))

    async def _changes_after(self, version: int) -> list[Json]:
        """Wait for a newer version; return what changed since, also if an earlier response told it."""
        while self.version <= version:
            self._changed.clear()
            await self._changed.wait()
        return [
            self.entries[host] for host, last_change in self._last_changes.items() if last_change > version
        ]


def entry(host: str, port: int = 1, **more: object) -> Json:
    return {
        "host": host,
        "dial": f"{HOST}:{port}",
        "site": "east",
        "class": "m",
        "block": 0,
        "health": "up",
        "share": 1.0,
        "born_ms": 0,
        **more,
    }


def read_live_list(raw: object) -> EndpointList:
    """A list as a balancer is told it at its start."""
    return EndpointListReader(unix_offset_ns()).read(json.dumps(raw).encode())


def list_of_ports(*ports: int) -> Json:
    return {"seq": 1, "whole": True, "hosts": [entry(f"s{i}", port) for i, port in enumerate(ports)]}


@dataclass
class ScriptedPolicy:
    """Stands in for the module: notes the events, and does what the test says."""

    react: Callable[[Event], Iterable[Action]] = lambda _event: ()
    events: list[Event] = field(default_factory=list)
    open_calls: int = 0
    deepest_call: int = 0

    def handle(self, now_ns: int, events: Iterable[Event]) -> list[Action]:  # noqa: ARG002 - the signature of a policy
        self.open_calls += 1
        self.deepest_call = max(self.deepest_call, self.open_calls)
        self.events += events
        actions = [a for e in events for a in self.react(e)]
        self.open_calls -= 1
        return actions

    def events_of(self, kind: type[EventType]) -> list[EventType]:
        """The events of one type, in the order in which they came."""
        return [e for e in self.events if isinstance(e, kind)]

    def endpoint_ids(self) -> list[int]:
        """The numbers of the endpoints, as last listed whole."""
        lists = [e for e in self.events_of(EndpointUpdate) if e.kind is not EndpointUpdateKind.DELTA]
        return [u.id for u in lists[-1].endpoints]


@dataclass
class RecordingPolicy:
    """A module, and what it was told and said, batch by batch."""

    module: Policy
    batches: list[tuple[list[Event], list[Action]]] = field(default_factory=list)

    def handle(self, now_ns: int, events: Iterable[Event]) -> list[Action]:
        batch = list(events)
        actions = list(self.module.handle(now_ns, batch))
        self.batches.append((batch, actions))
        return actions

    def first_actions_after(self, kind: EndpointUpdateKind) -> list[Action] | None:
        """What the module said when it was first told of such a list."""
        told = (
            said
            for events, said in self.batches
            if any(isinstance(e, EndpointUpdate) and e.kind is kind for e in events)
        )
        return next(told, None)


def proxy_settings(
    reports_in_responses: bool = False,
    polls: bool = False,
    client_timeout_ns: int = 0,
    **limits: Any,  # noqa: ANN401 - fields of `Limits`
) -> Settings:
    return Settings(
        load_reports_in_responses=reports_in_responses,
        discovery_pushes=not polls,
        rules=Rules(poll_interval_ns=40 * NANOSECONDS_PER_MILLISECOND) if polls else Rules(),
        request_classes={
            "read": RequestClass("read", client_timeout_ns=client_timeout_ns),
            "pay": RequestClass("pay", Idempotency.NON_IDEMPOTENT, client_timeout_ns=client_timeout_ns),
            "book": RequestClass(
                "book",
                Idempotency.IDEMPOTENCY_KEY,
                deduplication_window_ns=1000 * NANOSECONDS_PER_MILLISECOND,
                latency_objective_ns=5000 * NANOSECONDS_PER_MILLISECOND,
                client_timeout_ns=client_timeout_ns,
            ),
        },
        limits=Limits(
            **{"max_attempts": 3, "connect_timeout_ns": 2000 * NANOSECONDS_PER_MILLISECOND, **limits}
        ),
        load_report_columns=("inflight",),
    )


@asynccontextmanager
async def running_proxy(
    module: Policy,
    *endpoints: FakeEndpoint,
    discovery: FakeDiscovery | None = None,
    sockets: int = 1024,
    initial_list: object = None,
    ready_delay_s: float = 0.0,
    **limits: Any,  # noqa: ANN401 - fields of `Limits`
) -> AsyncIterator[Client]:
    """A node that knows these endpoints, and a client of it."""
    discovery = discovery or FakeDiscovery()
    await discovery.server.start()
    config = Configuration(
        "n",
        (HOST, 0),
        (HOST, discovery.server.port),
        1,
        sockets,
        proxy_settings(**limits),
        read_live_list(initial_list or list_of_ports(*(u.port for u in endpoints))),
    )
    balancer = Proxy(config, module)
    port = await balancer.start(ready_delay_s)
    client = Client(balancer, port)
    try:
        yield client
    finally:
        client.close()
        balancer.close()
        for u in (*endpoints, discovery.server):
            u.stop()


class Client:
    """One connection to the node, and requests on it."""

    def __init__(self, balancer: Proxy, port: int) -> None:
        self.proxy = balancer
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: Writer | None = None

    async def send(self, data: bytes) -> None:
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        self.writer.write(data)

    async def read(self) -> ReceivedMessage:
        assert self.reader is not None
        return await asyncio.wait_for(read_message(self.reader), WAIT_TIMEOUT_S)

    async def exchange(self, data: bytes) -> ReceivedMessage:
        await self.send(data)
        return await self.read()

    async def is_closed_by_proxy(self) -> bool:
        """The node closes the connection."""
        assert self.reader is not None
        return await asyncio.wait_for(self.reader.read(), WAIT_TIMEOUT_S) == b""

    def new_client(self) -> Client:
        return Client(self.proxy, self.port)

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()


def request(
    target: str = "/read",
    *more: str,
    deadline_ms: int | None = 5000,
    method: str = "GET",
    body: bytes = b"",
    request_id: str = "",
) -> bytes:
    """A client's request, with an id of its own unless the test names one."""
    request_id = request_id or f"{next(REQUEST_NUMBERS):08x}"
    lines = [f"{method} {target} HTTP/1.1", "Host: service.internal", f"Req-Id: {request_id}", *more]
    if deadline_ms is not None:
        lines.append(f"Req-Deadline-Ms: {deadline_ms}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body
