"""The helpers' commands, with their results as records."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path

from scale_test.balancer_config import Address, Json
from scale_test.child_process import ChildProcess
from scale_test.plan import Plan
from scale_test.records import BalancerReport, CallerTraffic, DiscoveryReport, RequestSample


class DiscoveryHelper:
    """The process of the fake discovery."""

    def __init__(self, process: ChildProcess) -> None:
        self.process = process

    async def start(self, plan: Plan, upstream_addresses: Sequence[str], known_path: Path) -> list[Address]:
        """Start listening, and write the list to a file; returns an address for each balancer."""
        addresses = await self.process.call(
            "start", plan=asdict(plan), upstream_addresses=upstream_addresses, known_path=str(known_path)
        )
        return [(host, port) for host, port in addresses]

    async def run_scenario(self) -> None:
        """Play the plan's scenario to its end."""
        await self.process.call("run_scenario")

    async def wait_settled(self, timeout_s: float) -> bool:
        """Wait until all balancers have called with the newest version; False on a timeout."""
        return bool(await self.process.call("wait_settled", timeout_s=timeout_s))

    async def send_full_list(self, number: int, timeout_s: float) -> bool:
        """Send a full list to a balancer; returns whether its next call has come in time."""
        return bool(await self.process.call("send_full_list", number=number, timeout_s=timeout_s))

    async def traffic(self) -> list[CallerTraffic]:
        """The traffic of each balancer so far."""
        return [CallerTraffic(**caller) for caller in await self.process.call("traffic")]

    async def report(self) -> DiscoveryReport:
        """What it has recorded so far."""
        return DiscoveryReport.from_json(await self.process.call("report"))


class LoadHelper:
    """A process of the load generator."""

    def __init__(self, process: ChildProcess) -> None:
        self.process = process

    async def start_upstreams(self) -> list[str]:
        """Start listening as the upstreams; returns their addresses."""
        return [str(upstream_address) for upstream_address in await self.process.call("start_upstreams")]

    async def start_clients(self, address: Address, rate: float, seed: int) -> None:
        """Start sending so many requests a second."""
        await self.process.call("start_clients", address=address, rate=rate, seed=seed)

    async def report(self) -> list[RequestSample]:
        """The requests that have ended."""
        return [RequestSample(**sample) for sample in await self.process.call("report")]


class HollowHelper:
    """A process of hollow balancers."""

    def __init__(self, process: ChildProcess) -> None:
        self.process = process
        self.baseline_rss_bytes = 0  # resident, before it held a balancer

    async def start(self, config_path: Path, balancers: Sequence[Json]) -> list[int]:
        """Start balancers, one after the other; returns the nanoseconds that each took."""
        return [
            int(ns)
            for ns in await self.process.call("start", config_path=str(config_path), balancers=balancers)
        ]

    async def report(self) -> list[BalancerReport]:
        """Stop the balancers; returns what each recorded."""
        return [BalancerReport.from_json(balancer) for balancer in await self.process.call("report")]
