"""Discovery that answers each call seconds late: the balancer gives all its calls up, and misses a drain."""

from __future__ import annotations

import asyncio
import sys

from harness_2.balancer import almaty_settings
from harness_2.client import Client
from harness_2.http import Message
from harness_2.play import Scene, run
from harness_2.record import has_trouble
from harness_2.servers import Connection, Upstream

SLOW_S = 3.2  # how late discovery takes up each call
FIRST_CALL_MAX_S = 2.5  # a quarter of `ask_within_ns`
WATCH_S = 11.0  # a first watch, which finds no change, is given up after this time at the latest
TOLD_S = 6.0
GRACE_S = 0.25 + 0.05  # `stop_sending_within_ns`, and what every time limit is longer by
HELD_UP_S = 0.15  # how long a balancer may be held up
AFTER_S = 12.0
CLIENTS = 4
PAUSE_S = 0.02
DEADLINE_MS = 800


async def slow(_request: Message, _connection: Connection) -> bool:
    """Take a call up late; what follows is as usual."""
    await asyncio.sleep(SLOW_S)
    return False


async def requests(client: Client) -> None:
    """Send readings one after another."""
    while True:
        await client.send("POST", "/reading", DEADLINE_MS, body=b"{}")
        await asyncio.sleep(PAUSE_S)


class Drained:
    """The requests that an upstream gets after the balancer counts as told that it drains."""

    def __init__(self, scene: Scene) -> None:
        """Begin with no drain."""
        self.scene = scene
        self.drained_s = float("inf")

    async def serve(self, upstream: Upstream, request: Message, connection: Connection) -> bool:
        """Note a request that comes too late, and reset it: the upstream finishes only what it has."""
        since_s = self.scene.record.now() - self.drained_s
        if since_s <= TOLD_S + GRACE_S + HELD_UP_S:
            return False
        request_id = request.headers.get("req-id")
        self.scene.record.broken(
            f"{upstream.name} got {request_id} {since_s:.3f} s after its drain was listed"
        )
        connection.reset()
        return True


async def play(scene: Scene) -> None:
    """Let one of four upstreams drain while discovery is slow."""
    upstreams = await scene.add_upstreams(["u1", "u2", "u3", "u4"], "alm-1")
    if has_trouble():
        scene.discovery.on_call = slow
    balancer = await scene.add_balancer(almaty_settings())
    tasks = [asyncio.create_task(requests(scene.client(balancer))) for _ in range(CLIENTS)]
    await asyncio.sleep(FIRST_CALL_MAX_S + WATCH_S + 1.0)
    drained = Drained(scene)
    upstreams[0].behavior = drained.serve
    scene.discovery.set_entry(upstreams[0].entry("alm-1", "draining"))
    drained.drained_s = scene.record.now()
    await asyncio.sleep(TOLD_S + AFTER_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


if __name__ == "__main__":
    sys.exit(run(__file__, play))
