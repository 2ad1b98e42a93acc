"""Hollow balancers: the real node, list client and module, with no clients, many in one process."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from loadbalancer.configuration import Configuration, read_config
from loadbalancer.messages import Action, EndpointUpdate, EndpointUpdateKind, Event
from loadbalancer.policy.balancer import Balancer
from loadbalancer.proxy.discovery_client import WatchResult
from loadbalancer.proxy.endpoint_list import EndpointList
from loadbalancer.proxy.proxy import Proxy
from scale_test.child_process import serve
from scale_test.report import NEVER_NS


class Watched:
    """The module, and how long it takes over changes."""

    def __init__(self, module: Balancer) -> None:
        self._module = module
        self.changes: list[tuple[int, int, int]] = []  # begun, done; how many rows

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        events = list(events)
        begun = time.monotonic_ns()
        actions = self._module.handle(now, events)
        done = time.monotonic_ns()
        for event in events:
            if isinstance(event, EndpointUpdate) and event.kind is EndpointUpdateKind.DELTA:
                self.changes.append((begun, done, len(list(event.endpoints))))
        return actions


class WatchedNode(Proxy):
    """The node, and when which answer of discovery was in force, to the last row."""

    def __init__(self, config: Configuration, module: Watched) -> None:
        super().__init__(config, module)
        self.changes = module.changes
        self.in_force: list[tuple[int, int]] = []  # version, done; in the order in which they came
        self._waits: set[asyncio.Task[None]] = set()

    def _on_watch_result(self, listing: WatchResult) -> None:
        super()._on_watch_result(listing)
        if not isinstance(listing, EndpointList) or not (listing.complete or len(listing)):
            return
        at = len(self.in_force)
        self.in_force.append((listing.version, time.monotonic_ns()))
        if listing in self._pending_updates and self._update_task is not None:
            wait = self._loop.create_task(self._until_in_force(at, self._update_task))
            self._waits.add(wait)
            wait.add_done_callback(self._waits.discard)

    async def _until_in_force(self, at: int, applying: asyncio.Task[None]) -> None:
        self.in_force[at] = (self.in_force[at][0], NEVER_NS)
        await asyncio.wait({applying})  # where others wait for their turn, it is the end of the last one
        self.in_force[at] = (self.in_force[at][0], time.monotonic_ns())


class Commands:
    def __init__(self) -> None:
        self.nodes: list[WatchedNode] = []

    async def start(self, config: str, nodes: list[dict[str, Any]]) -> object:
        """Start them one after the other; gives the time that each took, from its configuration on."""
        took = []
        for told in nodes:
            begun = time.monotonic_ns()
            base = read_config(config)  # read anew each time: a real balancer shares no text with another
            settings = replace(base.settings, proxy_index=told["me"], zone=told["zone"])
            module = Watched(Balancer(settings, told["seed"], time.monotonic_ns()))
            node = WatchedNode(
                replace(
                    base,
                    name=told["name"],
                    discovery=tuple(told["discovery"]),
                    seed=told["seed"],
                    settings=settings,
                ),
                module,
            )
            await node.start()
            took.append(time.monotonic_ns() - begun)
            self.nodes.append(node)
            await asyncio.sleep(0)
        return took

    async def report(self) -> object:
        for node in self.nodes:
            node.close()
        return [{"changes": n.changes, "in_force": n.in_force} for n in self.nodes]


if __name__ == "__main__":
    logging.basicConfig(level=logging.WARNING)
    commands = Commands()
    asyncio.run(serve({"start": commands.start, "report": commands.report}))
