"""The child process that runs the fake discovery service and executes the experiment's commands."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from scale_test.child_process import commands_of, serve
from scale_test.fake_discovery import FakeDiscovery
from scale_test.plan import Plan
from scale_test.records import CallerTraffic, DiscoveryReport
from scale_test.registry import Registry
from scale_test.scenarios import SCENARIOS


class DiscoveryCommands:
    """The commands of this process; `start` has to be the first."""

    discovery: FakeDiscovery
    plan: Plan

    async def start(self, plan: dict[str, object], upstream_addresses: list[str], known_path: str) -> object:
        """Start discovery and write the endpoint list to a file, or `null` if balancers start without a list.

        Returns:
            The address that each balancer is to call, by balancer number.
        """
        self.plan = Plan(**plan)  # type: ignore[arg-type]
        registry = Registry(self.plan, upstream_addresses)
        Path(known_path).write_bytes(registry.full_list() if self.plan.known else b"null")
        self.discovery = FakeDiscovery(registry, self.plan.balancers)
        return await self.discovery.start()

    async def run_scenario(self) -> object:
        """Run the plan's scenario to its end."""
        await SCENARIOS[self.plan.scenario](self.discovery, self.plan, random.Random(self.plan.seed))
        return True

    async def wait_settled(self, timeout_s: float) -> object:
        """Wait until all balancers have called with the newest version; return False on a timeout."""
        return await self.discovery.wait_settled(timeout_s)

    async def send_full_list(self, number: int, timeout_s: float) -> object:
        """Send one balancer a full list, and return whether its next call came in time."""
        return await self.discovery.send_full_list(number, timeout_s)

    async def traffic(self) -> object:
        """Return each balancer's calls and bytes so far."""
        return [
            CallerTraffic(caller.calls, caller.received, caller.sent) for caller in self.discovery.callers
        ]

    async def report(self) -> object:
        """Return what discovery has recorded so far."""
        discovery = self.discovery
        return DiscoveryReport(discovery.callers, discovery.registry.versions, discovery.outages)


if __name__ == "__main__":
    asyncio.run(serve(commands_of(DiscoveryCommands())))
