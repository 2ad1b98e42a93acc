"""Hollow balancers: the real node, list client and module, with no clients, many in one process."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from lanemux import interface as api
from lanemux.__main__ import read_config
from lanemux.net.node import Node
from lanemux.policy import Balancer
from scale.part import serve
from scale.registry import mark


class Watched:
    """The module, and when it had taken in which lists."""

    def __init__(self, module: Balancer) -> None:
        self._module = module
        self.changes: list[tuple[int, int, list[int]]] = []  # begun, done; the versions of the rows
        self.wholes: list[tuple[int, int]] = []  # begun, done

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        events = list(events)
        begun = time.monotonic_ns()
        actions = self._module.handle(now, events)
        done = time.monotonic_ns()
        for event in events:
            if isinstance(event, api.ListUpdate):
                if event.kind is api.ListKind.DELTA:
                    self.changes.append((begun, done, list({mark(u.weight) for u in event.upstreams})))
                elif event.kind is api.ListKind.FULL:
                    self.wholes.append((begun, done))
        return actions


class Commands:
    def __init__(self) -> None:
        self.modules: list[Watched] = []
        self.nodes: list[Node] = []

    async def start(self, config: str, nodes: list[dict[str, Any]]) -> object:
        """Start them one after the other; gives the time that each took, from its configuration on."""
        took = []
        for told in nodes:
            begun = time.monotonic_ns()
            base = read_config(config)  # read anew each time: a real balancer shares no text with another
            settings = replace(base.settings, me=told["me"], zone=told["zone"])
            module = Watched(Balancer(settings, told["seed"], time.monotonic_ns()))
            node = Node(replace(base, name=told["name"], discovery=tuple(told["discovery"]),
                                seed=told["seed"], settings=settings), module)
            await node.start()
            took.append(time.monotonic_ns() - begun)
            self.modules.append(module)
            self.nodes.append(node)
            await asyncio.sleep(0)
        return took

    async def report(self) -> object:
        for node in self.nodes:
            node.close()
        return [{"changes": m.changes, "wholes": m.wholes} for m in self.modules]


if __name__ == "__main__":
    logging.basicConfig(level=logging.WARNING)
    commands = Commands()
    asyncio.run(serve({"start": commands.start, "report": commands.report}))
