"""Subjects that start a real balancer, with fakes of its upstreams and of discovery on loopback."""

from __future__ import annotations

import asyncio
import time

from scale_test.slopes.fakes import Client, FakeServices
from scale_test.slopes.inputs import Json, endpoint_row, raw_settings
from scale_test.slopes.measuring import Figures
from scale_test.slopes.real_balancer import RealBalancer, running_balancer
from scale_test.units import NS_PER_S

QUIET_S = 4.0  # without requests or changes
SETTLED_ROWS_PER_SECOND = 20_000  # after half of QUIET_S a start takes so long for each row
CHANGED_ROWS_PER_SECOND = 80_000  # after an eighth of QUIET_S a change takes so long for each row
LIST_POLL_S = 0.05
MAX_LIST_RESPONSES = 3  # after so many without a watch, the balancer has rejected the list
CHANGED_ENDPOINTS = 6
ENDPOINTS_UNDER_LOAD = 64
ENDPOINTS_WITH_MANY_SETTINGS = 100  # tenants or routes
MIN_LOAD_S = 5.0
MIN_LOAD_REQUESTS = 100
WARM_UP_REQUESTS = 30
FIRST_REQUEST_ID = 100  # of those that count
CONNECTIONS_OPEN_S = 1.5
SLOW_UPSTREAM_DELAY_S = 2.0


def fake_services(endpoints: int) -> FakeServices:
    """Fakes with a list of so many endpoints."""
    return FakeServices([endpoint_row(number) for number in range(endpoints)])


async def list_is_accepted(services: FakeServices) -> bool:
    """Wait until the balancer watches for changes; False where it keeps requesting the full list."""
    while not services.watches and services.responses < MAX_LIST_RESPONSES:
        await asyncio.sleep(LIST_POLL_S)
    return services.watches > 0


async def measure_start(endpoints: int, settings: Json) -> Figures:
    """Measure a process: its start, quiet time and single changes of the list.

    The list comes from discovery; where the balancer rejects it, from the configuration.
    """
    figures: Figures = {"taken": 1}
    while True:
        services = fake_services(endpoints)
        async with running_balancer(services, settings, known=not figures["taken"]) as balancer:
            if not await list_is_accepted(services):
                figures |= {"taken": 0, "list_b": services.discovery_bytes / services.responses}
                continue
            figures.setdefault("list_b", services.discovery_bytes)
            figures |= await measure_quiet(services, balancer, endpoints)
            quiet_cores = figures["quiet_cores"]
            return figures | await measure_changes(services, balancer, endpoints, quiet_cores)


async def measure_quiet(services: FakeServices, balancer: RealBalancer, endpoints: int) -> Figures:
    """Measure the start, and a quiet period."""
    settle_s = QUIET_S / 2 + endpoints / SETTLED_ROWS_PER_SECOND
    await asyncio.sleep(settle_s)
    cpu_s = balancer.cpu_s()
    discovery_bytes = services.discovery_bytes
    await asyncio.sleep(QUIET_S)
    quiet_cores = (balancer.cpu_s() - cpu_s) / QUIET_S
    return {
        "start_s": cpu_s - quiet_cores * settle_s,
        "quiet_cores": quiet_cores,
        "quiet_rate_b": (services.discovery_bytes - discovery_bytes) / QUIET_S,
        **balancer.memory(),
    }


async def measure_changes(
    services: FakeServices, balancer: RealBalancer, endpoints: int, quiet_cores: float
) -> Figures:
    """Measure changes of one endpoint each, less the processor time of a quiet period."""
    cpu_s = balancer.cpu_s()
    discovery_bytes = services.discovery_bytes
    gap_s = QUIET_S / 8 + endpoints / CHANGED_ROWS_PER_SECOND
    for host in list(services.rows)[:CHANGED_ENDPOINTS]:
        services.change(host, health="draining")
        await asyncio.sleep(gap_s)
    return {
        "change_s": (balancer.cpu_s() - cpu_s) / CHANGED_ENDPOINTS - quiet_cores * gap_s,
        "change_b": (services.discovery_bytes - discovery_bytes) / CHANGED_ENDPOINTS,
    }


def process(count: int) -> Figures:
    """A real process before so many upstreams: start, quiet, one change at a time from discovery."""
    return asyncio.run(measure_start(count, raw_settings()))


def process_tenants(count: int) -> Figures:
    """A real process with so many tenants before 100 upstreams."""
    return asyncio.run(measure_start(ENDPOINTS_WITH_MANY_SETTINGS, raw_settings(tenants=count)))


def process_routes(count: int) -> Figures:
    """A real process with so many routes before 100 upstreams."""
    return asyncio.run(measure_start(ENDPOINTS_WITH_MANY_SETTINGS, raw_settings(routes=count)))


class RequestLoad:
    """Requests to a balancer, on connections that are reused."""

    def __init__(self, port: int) -> None:
        self.served = 0
        self.wall_s: list[float] = []  # of each request
        self._port = port
        self._idle: list[Client] = []

    async def request(self, request_id: int) -> None:
        """Send one request; once more on a new connection where its own was closed between requests."""
        client = self._idle.pop() if self._idle else await Client.connect(self._port)
        begun = time.monotonic()
        try:
            self.served += await client.get(request_id)
        except (OSError, asyncio.IncompleteReadError):
            client = await Client.connect(self._port)
            self.served += await client.get(request_id)
        self.wall_s.append(time.monotonic() - begun)
        self._idle.append(client)

    async def warm_up(self) -> None:
        """Send some requests that aren't counted."""
        for request_id in range(WARM_UP_REQUESTS):
            await self.request(request_id)
        self.served = 0
        self.wall_s.clear()

    async def run(self, requests: int, rate: int) -> None:
        """Send so many requests, evenly at a rate per second, and wait until all have ended."""
        begun = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for number in range(requests):
                await asyncio.sleep(begun + number / rate - time.monotonic())
                group.create_task(self.request(FIRST_REQUEST_ID + number))


async def measure_rate(rate: int, seconds: float) -> Figures:
    """Measure a balancer under so many requests a second."""
    services = fake_services(ENDPOINTS_UNDER_LOAD)
    requests = int(rate * seconds)
    async with running_balancer(services, raw_settings() | {"replicas_of_me": 1}, known=True) as balancer:
        load = RequestLoad(balancer.port)
        await load.warm_up()
        cpu_before_s = balancer.cpu_s()
        await load.run(requests, rate)
        cpu_s = balancer.cpu_s() - cpu_before_s
        wall_s = sorted(load.wall_s)
        return {
            "cores": cpu_s / seconds,
            "request_s": cpu_s / max(1, load.served),
            "served": load.served,
            "asked": requests,
            "wall_half_s": wall_s[len(wall_s) // 2],
            "wall_99_s": wall_s[len(wall_s) * 99 // 100],
            **balancer.memory(),
        }


def rates(count: int) -> Figures:
    """Requests a second through a real process; their wall time, the fakes' part of it included."""
    return asyncio.run(measure_rate(count, max(MIN_LOAD_S, MIN_LOAD_REQUESTS / count)))


async def measure_connections(count: int, *, with_requests: bool) -> Figures:
    """Measure client connections, idle or each with a request that is open all the time."""
    services = fake_services(2 * count if with_requests else ENDPOINTS_UNDER_LOAD)
    services.upstream_delay_s = SLOW_UPSTREAM_DELAY_S
    settings = raw_settings() | {"replicas_of_me": 1, "prices": {}, "zones": []}
    settings["profiles"][0]["aim_ns"] = 5 * NS_PER_S
    async with running_balancer(services, settings, known=True) as balancer:
        memory_before = balancer.memory()["rss_b"]
        cpu_before_s = balancer.cpu_s()
        clients = [await Client.connect(balancer.port) for _ in range(count)]
        requests: list[asyncio.Task[bool]] = []
        if with_requests:
            requests = [asyncio.create_task(client.get(number)) for number, client in enumerate(clients)]
        await asyncio.sleep(CONNECTIONS_OPEN_S)
        figures: Figures = {
            "memory_b": balancer.memory()["rss_b"] - memory_before,
            "upstream_connections": services.upstream_connections,
        }
        results = await asyncio.gather(*requests, return_exceptions=True)
        figures["all_s"] = balancer.cpu_s() - cpu_before_s
        figures["served"] = sum(result is True for result in results)
        return figures


def clients(count: int) -> Figures:
    """Idle client connections at a real process for 1.5 s, opening included."""
    return asyncio.run(measure_connections(count, with_requests=False))


def connections(count: int) -> Figures:
    """Requests open at once at a real process, each with a client's and an upstream's connection."""
    return asyncio.run(measure_connections(count, with_requests=True))
