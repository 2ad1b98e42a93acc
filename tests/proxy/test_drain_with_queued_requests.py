"""A drain while an attempt waits for its connection and further requests are queued."""

from __future__ import annotations

import asyncio
import time

from loadbalancer.policy.balancer import Balancer
from tests.proxy.test_discovery_outage import Machine
from tests.support.fake_discovery import FakeDiscovery
from tests.support.fake_endpoint import FakeEndpoint, Writer, respond_with
from tests.support.http_messages import ReceivedMessage, format_response, request
from tests.support.running_proxy import proxy_settings, running_proxy
from tests.support.waiting import wait_until

CLIENTS = 8


async def test_requests_queued_at_a_drain_are_served_by_another_endpoint() -> None:
    release = asyncio.Event()

    async def respond_when_released(_request: ReceivedMessage, writer: Writer) -> None:
        await release.wait()
        writer.write(format_response(200))

    unreachable = await Machine(respond_with(200), refuses=False).start()
    reachable = await FakeEndpoint(respond_when_released).start()
    discovery = FakeDiscovery()
    balancer = Balancer(proxy_settings(max_attempts=2), 1, time.monotonic_ns())
    async with running_proxy(
        balancer, unreachable, reachable, discovery=discovery, max_attempts=2
    ) as first_client:
        clients = [first_client.new_client() for _ in range(CLIENTS)]
        for client in clients:
            await client.send(request())
        proxy = first_client.proxy
        await wait_until(lambda: reachable.requests and len(proxy._pending_requests) == CLIENTS)
        discovery.change("s0", port=unreachable.port, health="draining")
        await wait_until(lambda: len(proxy.addresses.ready()) == 1)
        release.set()
        statuses = [(await client.read()).status for client in clients]
        for client in clients:
            client.close()
    assert statuses == [200] * CLIENTS
