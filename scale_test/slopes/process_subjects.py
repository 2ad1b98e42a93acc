"""Subjects that start a real balancer, with fakes of its upstreams and of discovery on loopback.

`RealBalancer.memory` adds the figures `rss_b` and `top_b`; they are described there.
"""

from __future__ import annotations

import asyncio
import time

from scale_test.slopes.fakes import Client, FakeServices
from scale_test.slopes.inputs import Json, endpoint_row, raw_settings
from scale_test.slopes.measuring import Figures
from scale_test.slopes.real_balancer import RealBalancer, running_balancer
from scale_test.units import NS_PER_S

QUIET_S = 4.0  # the measured period without requests or changes
SETTLED_ROWS_PER_SECOND = 20_000  # the wait after a start is QUIET_S / 2, and 1 s for each 20,000 rows
CHANGED_ROWS_PER_SECOND = 80_000  # the wait after a change is QUIET_S / 8, and 1 s for each 80,000
LIST_POLL_S = 0.05
MAX_LIST_RESPONSES = 3  # if no watch has followed so many responses, the list counts as rejected
CHANGED_ENDPOINTS = 6
ENDPOINTS_UNDER_LOAD = 64
ENDPOINTS_WITH_MANY_SETTINGS = 100  # used if the number of tenants or routes is varied
MIN_LOAD_S = 5.0
MIN_LOAD_REQUESTS = 100
WARM_UP_REQUESTS = 30
FIRST_REQUEST_ID = 100  # the lowest id of a measured request; the ids of the warm-up are below it
CONNECTIONS_OPEN_S = 1.5
SLOW_UPSTREAM_DELAY_S = 2.0  # longer than CONNECTIONS_OPEN_S, so that all requests are open until then


def fake_services(endpoints: int) -> FakeServices:
    """Create fakes with a list of this many endpoints."""
    return FakeServices([endpoint_row(number) for number in range(endpoints)])


async def wait_for_list_acceptance(services: FakeServices) -> bool:
    """Wait until the balancer watches for changes; return False if it keeps requesting the full list."""
    while not services.watches and services.responses < MAX_LIST_RESPONSES:
        await asyncio.sleep(LIST_POLL_S)
    return services.watches > 0


async def measure_start(endpoints: int, settings: Json) -> Figures:
    """Measure a real balancer: its start, a quiet period and single changes of the list.

    The list comes from discovery. If the balancer rejects it, the measurement is repeated with the list in
    the configuration file.
    """
    figures: Figures = {"taken": 1}  # whether the balancer accepts the full list from discovery
    while True:
        services = fake_services(endpoints)
        async with running_balancer(services, settings, known=not figures["taken"]) as balancer:
            if not await wait_for_list_acceptance(services):
                figures |= {"taken": 0, "list_b": services.discovery_bytes / services.responses}
                continue
            figures.setdefault("list_b", services.discovery_bytes)  # bytes of the call and its response
            figures |= await measure_quiet(services, balancer, endpoints)
            quiet_cores = figures["quiet_cores"]
            return figures | await measure_changes(services, balancer, endpoints, quiet_cores)


async def measure_quiet(services: FakeServices, balancer: RealBalancer, endpoints: int) -> Figures:
    """Measure the start, and a period without requests or changes."""
    settle_s = QUIET_S / 2 + endpoints / SETTLED_ROWS_PER_SECOND
    await asyncio.sleep(settle_s)
    cpu_s = balancer.cpu_s()
    discovery_bytes = services.discovery_bytes
    await asyncio.sleep(QUIET_S)
    quiet_cores = (balancer.cpu_s() - cpu_s) / QUIET_S
    return {
        "start_s": cpu_s - quiet_cores * settle_s,  # to start, less quiet_cores for the wait
        "quiet_cores": quiet_cores,  # processor time per second in the quiet period
        "quiet_rate_b": (services.discovery_bytes - discovery_bytes)
        / QUIET_S,  # per second, to and from discovery
        **balancer.memory(),
    }


async def measure_changes(
    services: FakeServices, balancer: RealBalancer, endpoints: int, quiet_cores: float
) -> Figures:
    """Measure changes of one endpoint each, less the processor time that a quiet balancer uses meanwhile."""
    cpu_s = balancer.cpu_s()
    discovery_bytes = services.discovery_bytes
    gap_s = QUIET_S / 8 + endpoints / CHANGED_ROWS_PER_SECOND
    for host in list(services.rows)[:CHANGED_ENDPOINTS]:
        services.change(host, health="draining")
        await asyncio.sleep(gap_s)
    return {
        "change_s": (balancer.cpu_s() - cpu_s) / CHANGED_ENDPOINTS - quiet_cores * gap_s,  # for one change
        "change_b": (services.discovery_bytes - discovery_bytes) / CHANGED_ENDPOINTS,  # to and from discovery
    }


def process(count: int) -> Figures:
    """Measure a real balancer with this many upstreams: start, quiet period, single changes of the list."""
    return asyncio.run(measure_start(count, raw_settings()))


def process_tenants(count: int) -> Figures:
    """Measure a real balancer with this many tenants and 100 upstreams, as `process` does."""
    return asyncio.run(measure_start(ENDPOINTS_WITH_MANY_SETTINGS, raw_settings(tenants=count)))


def process_routes(count: int) -> Figures:
    """Measure a real balancer with this many routes and 100 upstreams, as `process` does."""
    return asyncio.run(measure_start(ENDPOINTS_WITH_MANY_SETTINGS, raw_settings(routes=count)))


class RequestLoad:
    """Sends requests to a balancer on connections that are reused."""

    def __init__(self, port: int) -> None:
        self.served = 0
        self.wall_s: list[float] = []  # latency of each request
        self._port = port
        self._idle: list[Client] = []

    async def request(self, request_id: int) -> None:
        """Send one request; repeat it on a new connection if its connection is closed before the response."""
        client = self._idle.pop() if self._idle else await Client.connect(self._port)
        begun_s = time.monotonic()
        try:
            self.served += await client.get(request_id)
        except (OSError, asyncio.IncompleteReadError):
            client = await Client.connect(self._port)
            self.served += await client.get(request_id)
        self.wall_s.append(time.monotonic() - begun_s)
        self._idle.append(client)

    async def warm_up(self) -> None:
        """Send some requests that are not measured."""
        for request_id in range(WARM_UP_REQUESTS):
            await self.request(request_id)
        self.served = 0
        self.wall_s.clear()

    async def run(self, requests: int, rate: int) -> None:
        """Send requests at even intervals, `rate` per second, and wait until all have ended."""
        begun_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for number in range(requests):
                await asyncio.sleep(begun_s + number / rate - time.monotonic())
                group.create_task(self.request(FIRST_REQUEST_ID + number))


async def measure_rate(rate: int, seconds: float) -> Figures:
    """Measure a real balancer at `rate` requests per second."""
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
            "cores": cpu_s / seconds,  # processor time per second
            "request_s": cpu_s / max(1, load.served),  # for each request served
            "served": load.served,  # requests with status 200
            "asked": requests,  # requests sent
            "wall_half_s": wall_s[len(wall_s) // 2],  # median latency, the time in the fakes included
            "wall_99_s": wall_s[len(wall_s) * 99 // 100],  # 99th percentile of the latency
            **balancer.memory(),
        }


def rates(count: int) -> Figures:
    """Measure a real balancer at this many requests per second."""
    return asyncio.run(measure_rate(count, max(MIN_LOAD_S, MIN_LOAD_REQUESTS / count)))


async def measure_connections(count: int, *, with_requests: bool) -> Figures:
    """Measure a real balancer with this many client connections, idle or each with an open request."""
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
            "memory_b": balancer.memory()["rss_b"] - memory_before,  # resident memory that they added
            "upstream_connections": services.upstream_connections,  # open at the upstreams
        }
        results = await asyncio.gather(*requests, return_exceptions=True)
        figures["all_s"] = balancer.cpu_s() - cpu_before_s  # to open all, hold them and serve their requests
        figures["served"] = sum(result is True for result in results)  # requests with status 200
        return figures


def clients(count: int) -> Figures:
    """Measure a real balancer with this many idle client connections, which are open for 1.5 s."""
    return asyncio.run(measure_connections(count, with_requests=False))


def connections(count: int) -> Figures:
    """Measure a real balancer with this many open requests, each with its own client and upstream connection.

    The requests are sent at once, and the upstreams respond to each after 2 s.
    """
    return asyncio.run(measure_connections(count, with_requests=True))
