"""Runs a proxy in the test's event loop, and provides a client that connects to it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from loadbalancer.proxy.configuration import Configuration
from loadbalancer.proxy.proxy import Policy, Proxy
from loadbalancer.settings import Idempotency, Limits, RequestClass, Rules, Settings
from loadbalancer.units import NANOSECONDS_PER_MILLISECOND
from tests.support.endpoint_lists import list_of_ports, read_live_list
from tests.support.fake_discovery import FakeDiscovery
from tests.support.fake_endpoint import FakeEndpoint
from tests.support.http_messages import HOST, ReceivedMessage, read_message
from tests.support.waiting import WAIT_TIMEOUT_S

POLL_INTERVAL_NS = 40 * NANOSECONDS_PER_MILLISECOND
CONNECT_TIMEOUT_NS = 2000 * NANOSECONDS_PER_MILLISECOND
DEDUPLICATION_WINDOW_NS = 1000 * NANOSECONDS_PER_MILLISECOND
BOOK_LATENCY_OBJECTIVE_NS = 5000 * NANOSECONDS_PER_MILLISECOND


def proxy_settings(
    *,
    reports_in_responses: bool = False,
    polls: bool = False,
    client_timeout_ns: int = 0,
    **limits: Any,  # noqa: ANN401 - fields of `Limits`
) -> Settings:
    """Return settings with the request classes `read`, `pay` (non-idempotent), `book` (idempotency key).

    Args:
        reports_in_responses: Whether endpoints send load reports in responses.
        polls: Whether the proxy polls the endpoint list; otherwise discovery pushes it.
        client_timeout_ns: Client timeout of all request classes; 0 means none.
        **limits: Fields of `Limits`.
    """
    limits = {"max_attempts": 3, "connect_timeout_ns": CONNECT_TIMEOUT_NS, **limits}
    return Settings(
        load_reports_in_responses=reports_in_responses,
        discovery_pushes=not polls,
        rules=Rules(poll_interval_ns=POLL_INTERVAL_NS) if polls else Rules(),
        request_classes={
            "read": RequestClass("read", client_timeout_ns=client_timeout_ns),
            "pay": RequestClass("pay", Idempotency.NON_IDEMPOTENT, client_timeout_ns=client_timeout_ns),
            "book": RequestClass(
                "book",
                Idempotency.IDEMPOTENCY_KEY,
                deduplication_window_ns=DEDUPLICATION_WINDOW_NS,
                latency_objective_ns=BOOK_LATENCY_OBJECTIVE_NS,
                client_timeout_ns=client_timeout_ns,
            ),
        },
        limits=Limits(**limits),
        load_report_columns=("inflight",),
    )


@asynccontextmanager
async def running_proxy(
    policy: Policy,
    *endpoints: FakeEndpoint,
    discovery: FakeDiscovery | None = None,
    max_sockets: int = 1024,
    initial_list: object = None,
    ready_delay_s: float = 0.0,
    **settings: Any,  # noqa: ANN401 - arguments of `proxy_settings`
) -> AsyncIterator[Client]:
    """Run a proxy and yield a client of it; at the end, stop the proxy, the endpoints and discovery.

    The proxy starts with `initial_list`, or by default with a list of `endpoints`.
    """
    discovery = discovery or FakeDiscovery()
    await discovery.server.start()
    ports = [endpoint.port for endpoint in endpoints]
    configuration = Configuration(
        name="n",
        listen=(HOST, 0),
        discovery=(HOST, discovery.server.port),
        seed=1,
        max_sockets=max_sockets,
        settings=proxy_settings(**settings),
        known_endpoints=read_live_list(initial_list or list_of_ports(*ports)),
    )
    proxy = Proxy(configuration, policy)
    port = await proxy.start(ready_delay_s)
    client = Client(proxy, port)
    try:
        yield client
    finally:
        client.close()
        proxy.close()
        for server in (*endpoints, discovery.server):
            server.stop()


class Client:
    """A client with one connection to a proxy, opened by its first request."""

    def __init__(self, proxy: Proxy, port: int) -> None:
        self.proxy = proxy
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def send(self, data: bytes) -> None:
        """Send bytes without waiting for a response."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        self.writer.write(data)

    async def read(self) -> ReceivedMessage:
        """Read a response, and return it."""
        assert self.reader is not None
        return await asyncio.wait_for(read_message(self.reader), WAIT_TIMEOUT_S)

    async def exchange(self, data: bytes) -> ReceivedMessage:
        """Send a request, and return its response."""
        await self.send(data)
        return await self.read()

    async def is_closed_by_proxy(self) -> bool:
        """Wait until the proxy closes the connection; return whether it sent nothing more before that."""
        assert self.reader is not None
        return await asyncio.wait_for(self.reader.read(), WAIT_TIMEOUT_S) == b""

    def new_client(self) -> Client:
        """Return another client of the same proxy."""
        return Client(self.proxy, self.port)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
