"""Discovery that answers each call seconds late: the balancer gives all its calls up, and misses a drain."""

from __future__ import annotations

import asyncio
import sys

from harness_2.balancer import almaty_settings
from harness_2.drain import DrainedUpstream, Readings
from harness_2.http import Message
from harness_2.play import Scene, run
from harness_2.record import has_trouble
from harness_2.servers import Connection

SLOW_S = 3.2  # how late discovery takes up each call
FIRST_CALL_MAX_S = 2.5  # a quarter of `ask_within_ns`
WATCH_S = 12.0  # a first watch, which finds no change, has ended by then
TOLD_S = 6.0
AFTER_S = 10.0
CLIENTS = 12


async def slow(_request: Message, _connection: Connection) -> bool:
    """Take a call up late; what follows is as usual."""
    await asyncio.sleep(SLOW_S)
    return False


async def play(scene: Scene) -> None:
    """Let one of four upstreams drain while discovery is slow."""
    upstreams = await scene.add_upstreams(["u1", "u2", "u3", "u4"], "alm-1")
    if has_trouble():
        scene.discovery.on_call = slow
    balancer = await scene.add_balancer(almaty_settings())
    drained = DrainedUpstream(scene, upstreams[0], "alm-1")
    readings = Readings(drained)
    readings.start([scene.client(balancer) for _ in range(CLIENTS)])
    await asyncio.sleep(FIRST_CALL_MAX_S + WATCH_S)
    await drained.drain(scene.record.now() + TOLD_S)
    await asyncio.sleep(AFTER_S)
    await readings.stop()


if __name__ == "__main__":
    sys.exit(run(__file__, play))
