"""Runs a case: sets it up, plays it, and ends everything that it started."""

from __future__ import annotations

import asyncio
import contextlib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from harness_2.balancer import Balancer, Json
from harness_2.client import Client
from harness_2.record import EXIT_COULD_NOT_RUN, Record
from harness_2.servers import Discovery, Upstream

LIMIT_S = 110.0
CLOSING_S = 0.1  # for the event loop to close the connections


class Scene:
    """What a case has started, to be ended with it."""

    def __init__(self, record: Record) -> None:
        """Begin with a discovery that is not started."""
        self.record = record
        self.discovery = Discovery(record)
        self.upstreams: list[Upstream] = []
        self.balancers: list[Balancer] = []
        self.clients: list[Client] = []

    async def add_upstreams(self, names: list[str], zone: str, work_s: float = 0.04) -> list[Upstream]:
        """Start upstreams, and list them at discovery."""
        added = []
        for name in names:
            upstream = Upstream(self.record, name, work_s)
            await upstream.start()
            self.discovery.set_entry(upstream.entry(zone))
            added.append(upstream)
        self.upstreams += added
        return added

    async def add_balancer(self, settings: Json, **options: int) -> Balancer:
        """Start a balancer that knows discovery's list of now."""
        balancer = Balancer(self.record, settings, **options)
        self.balancers.append(balancer)
        balancer.write_configuration(self.discovery.address, self.discovery.whole())
        await balancer.start()
        return balancer

    def client(self, balancer: Balancer) -> Client:
        """Return a client of a balancer."""
        self.clients.append(Client(self.record, balancer.port))
        return self.clients[-1]

    async def end(self) -> None:
        """End all processes and stand-ins."""
        for balancer in self.balancers:
            await balancer.stop()
        for server in [self.discovery, *self.upstreams]:
            server.stop()
        for client in self.clients:
            client.close()
        await asyncio.sleep(CLOSING_S)


Play = Callable[[Scene], Awaitable[None]]


def run(case_file: str, play: Play) -> int:
    """Play a case, and return its exit status."""
    record = Record(Path(case_file).resolve().parent)
    return asyncio.run(_run(record, play))


async def _run(record: Record, play: Play) -> int:
    scene = Scene(record)
    try:
        await scene.discovery.start()
        async with asyncio.timeout(LIMIT_S):
            await play(scene)
    except Exception as error:  # noqa: BLE001 - whatever stops the case, it says nothing about the rule
        traceback.print_exc()
        record.write(f"could not run: {error!r}")
        return EXIT_COULD_NOT_RUN
    finally:
        with contextlib.suppress(ProcessLookupError):
            await scene.end()
    return record.verdict()
