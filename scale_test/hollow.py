"""Hollow balancers: the real proxy, discovery client and policy without clients, many in one process."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from loadbalancer.configuration_reader import read_configuration
from loadbalancer.messages import Action, EndpointUpdate, EndpointUpdateKind, Event
from loadbalancer.policy.balancer import Balancer
from loadbalancer.proxy.configuration import Configuration
from loadbalancer.proxy.discovery_call import DiscoveryResult
from loadbalancer.proxy.endpoint_addresses import EndpointAddresses
from loadbalancer.proxy.endpoint_list import EndpointList
from loadbalancer.proxy.endpoint_list_applier import EndpointListApplier
from loadbalancer.proxy.endpoint_list_reader import EndpointListReader
from loadbalancer.proxy.proxy import Proxy
from scale_test.child_process import commands_of, serve
from scale_test.records import NEVER_NS, BalancerReport, PolicyChange, ResponseInForce


class TimedPolicy:
    """Wraps a policy and records how long it takes to apply changes of the endpoint list."""

    def __init__(self, policy: Balancer) -> None:
        self._policy = policy
        self.changes: list[PolicyChange] = []

    def handle(self, now_ns: int, events: Iterable[Event]) -> list[Action]:
        """Pass the events to the policy, and record how long a call with changes of the list takes."""
        events = list(events)
        begun_ns = time.monotonic_ns()
        actions = self._policy.handle(now_ns, events)
        done_ns = time.monotonic_ns()
        for event in events:
            if isinstance(event, EndpointUpdate) and event.kind is EndpointUpdateKind.DELTA:
                self.changes.append(PolicyChange(begun_ns, done_ns, len(list(event.endpoints))))
        return actions


class RecordingListApplier(EndpointListApplier):
    """A list applier that records when the last row of each discovery response came into force."""

    def __init__(
        self,
        reader: EndpointListReader,
        addresses: EndpointAddresses,
        on_update: Callable[[EndpointUpdate], None],
    ) -> None:
        super().__init__(reader, addresses, on_update)
        self.in_force: list[tuple[int, int]] = []  # version, time in ns; in order of arrival
        self._waiting_tasks: set[asyncio.Task[None]] = set()

    def on_discovery_result(self, result: DiscoveryResult) -> None:
        """Apply a response as usual, and record when it is in force.

        Responses without rows are not recorded, unless they are a full list.
        """
        super().on_discovery_result(result)
        if not isinstance(result, EndpointList) or not (result.complete or len(result)):
            return
        index = len(self.in_force)
        self.in_force.append((result.version, time.monotonic_ns()))
        if self.is_pending(result) and self.task is not None:
            waiting_task = asyncio.get_running_loop().create_task(self._record_in_force(index, self.task))
            self._waiting_tasks.add(waiting_task)
            waiting_task.add_done_callback(self._waiting_tasks.discard)

    async def _record_in_force(self, index: int, apply_task: asyncio.Task[None]) -> None:
        self.in_force[index] = (self.in_force[index][0], NEVER_NS)
        await asyncio.wait({apply_task})  # the task ends when it has applied all pending lists
        self.in_force[index] = (self.in_force[index][0], time.monotonic_ns())


class HollowProxy(Proxy):
    """A proxy that records when its endpoint lists came into force."""

    list_applier_class = RecordingListApplier
    list_applier: RecordingListApplier

    def __init__(self, config: Configuration, policy: TimedPolicy) -> None:
        super().__init__(config, policy)
        self.changes = policy.changes


class HollowCommands:
    """The commands of this process: `start`, any number of times, and then `report`."""

    def __init__(self) -> None:
        self._proxies: list[HollowProxy] = []

    async def start(self, config_path: str, balancer_overrides: list[dict[str, Any]]) -> object:
        """Start balancers one after the other.

        Returns:
            How long each took in nanoseconds, the reading of its configuration included.
        """
        start_times_ns = []
        for overrides in balancer_overrides:
            begun_ns = time.monotonic_ns()
            proxy = hollow_proxy(config_path, overrides)
            await proxy.start()
            start_times_ns.append(time.monotonic_ns() - begun_ns)
            self._proxies.append(proxy)
            await asyncio.sleep(0)
        return start_times_ns

    async def report(self) -> object:
        """Stop the balancers, and return what each recorded."""
        for proxy in self._proxies:
            proxy.close()
        return [
            BalancerReport(proxy.changes, [ResponseInForce(*entry) for entry in proxy.list_applier.in_force])
            for proxy in self._proxies
        ]


def hollow_proxy(config_path: str, overrides: dict[str, Any]) -> HollowProxy:
    """Create a balancer from the shared configuration file and its own overrides.

    The file is read again for each balancer, so that balancers share no strings: real ones share none either.
    Its memory limit is left out, since many balancers share the process.
    """
    base = read_configuration(config_path)
    settings = replace(base.settings, proxy_index=overrides["me"], zone=overrides["zone"])
    policy = TimedPolicy(Balancer(settings, overrides["seed"], time.monotonic_ns()))
    configuration = replace(
        base,
        name=overrides["name"],
        discovery=tuple(overrides["discovery"]),
        seed=overrides["seed"],
        settings=settings,
        memory_bytes=0,
    )
    return HollowProxy(configuration, policy)


if __name__ == "__main__":
    logging.basicConfig(level=logging.WARNING)
    asyncio.run(serve(commands_of(HollowCommands())))
