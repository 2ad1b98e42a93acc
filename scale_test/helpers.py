"""Typed interfaces to the commands of the helper processes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path

from scale_test.balancer_config import Address, Json
from scale_test.child_process import ChildProcess
from scale_test.plan import Plan
from scale_test.records import BalancerReport, CallerTraffic, DiscoveryReport, RequestSample


class DiscoveryHelper:
    """The helper process that runs the fake discovery service."""

    def __init__(self, process: ChildProcess) -> None:
        self.process = process

    async def start(self, plan: Plan, upstream_addresses: Sequence[str], known_path: Path) -> list[Address]:
        """Start discovery and write the endpoint list to a file, or `null` if balancers start without a list.

        Returns:
            The address that each balancer is to call, by balancer number.
        """
        addresses = await self.process.call(
            "start", plan=asdict(plan), upstream_addresses=upstream_addresses, known_path=str(known_path)
        )
        return [(host, port) for host, port in addresses]

    async def run_scenario(self) -> None:
        """Run the plan's scenario to its end."""
        await self.process.call("run_scenario")

    async def wait_settled(self, timeout_s: float) -> bool:
        """Wait until all balancers have called with the newest version; return False on a timeout."""
        return bool(await self.process.call("wait_settled", timeout_s=timeout_s))

    async def send_full_list(self, number: int, timeout_s: float) -> bool:
        """Send one balancer a full list, and return whether its next call came in time."""
        return bool(await self.process.call("send_full_list", number=number, timeout_s=timeout_s))

    async def traffic(self) -> list[CallerTraffic]:
        """Return each balancer's calls and bytes so far."""
        return [CallerTraffic(**caller) for caller in await self.process.call("traffic")]

    async def report(self) -> DiscoveryReport:
        """Return what discovery has recorded so far."""
        return DiscoveryReport.from_json(await self.process.call("report"))


class LoadHelper:
    """A helper process that runs the load generator."""

    def __init__(self, process: ChildProcess) -> None:
        self.process = process

    async def start_upstreams(self) -> list[str]:
        """Start listening as the upstreams, and return the addresses, formatted as in the endpoint list."""
        return [str(upstream_address) for upstream_address in await self.process.call("start_upstreams")]

    async def start_clients(self, address: Address, rate: float, seed: int) -> None:
        """Start sending requests to a balancer at an average of `rate` per second."""
        await self.process.call("start_clients", address=address, rate=rate, seed=seed)

    async def report(self) -> list[RequestSample]:
        """Return a sample of each request that has ended so far."""
        return [RequestSample(**sample) for sample in await self.process.call("report")]


class HollowHelper:
    """A helper process that runs hollow balancers."""

    def __init__(self, process: ChildProcess) -> None:
        self.process = process
        self.baseline_rss_bytes = 0  # resident memory before it held a balancer

    async def start(self, config_path: Path, balancers: Sequence[Json]) -> list[int]:
        """Start balancers one after the other.

        Returns:
            How long each took in nanoseconds, the reading of its configuration included.
        """
        return [
            int(start_ns)
            for start_ns in await self.process.call(
                "start", config_path=str(config_path), balancer_overrides=balancers
            )
        ]

    async def report(self) -> list[BalancerReport]:
        """Stop the balancers, and return what each recorded."""
        return [BalancerReport.from_json(balancer) for balancer in await self.process.call("report")]
