"""A watch that falls silent, then a crowded discovery: the next call comes long after a drain is told."""

from __future__ import annotations

import asyncio
import sys
from urllib.parse import parse_qs, urlsplit

from harness_2.balancer import almaty_settings
from harness_2.drain import FOREVER_S, DrainedUpstream, Readings
from harness_2.http import Message, format_response
from harness_2.play import Scene, run
from harness_2.record import CouldNotRunError, has_trouble
from harness_2.servers import Connection

DRAIN_AFTER_S = 1.0  # after the watch fell silent
TOLD_AFTER_WAIT_S = 2.0
CROWDED_S = 0.5
FIRST_CALL_MAX_S = 4.0
AFTER_S = 5.0
CLIENTS = 12
UNAVAILABLE = 503


class SilentOnce:
    """Discovery whose first watch falls silent, and which has too many callers when that is called again."""

    def __init__(self, scene: Scene) -> None:
        """Begin with no call."""
        self.scene = scene
        self.watched = asyncio.Event()
        self.silent_s = 0.0
        self.wait_s = 0.0
        self.crowded_until_s = 0.0

    async def answer(self, request: Message, connection: Connection) -> bool:
        """Leave the first watch without an answer; refuse calls while crowded."""
        record = self.scene.record
        if not self.watched.is_set():
            wait_ms = parse_qs(urlsplit(request.target).query).get("wait_ms", ["0"])[0]
            self.silent_s = record.now()
            self.wait_s = int(wait_ms) / 1000
            self.watched.set()
            if not has_trouble():
                return False
            record.write("discovery: this watch falls silent")
            await asyncio.sleep(FOREVER_S)
        if not has_trouble():
            return False
        self.crowded_until_s = self.crowded_until_s or record.now() + CROWDED_S
        if record.now() < self.crowded_until_s:
            record.write("discovery has too many callers: 503")
            await connection.send(format_response(UNAVAILABLE))
            return True
        return False


async def play(scene: Scene) -> None:
    """Let one of four upstreams drain soon after the watch has fallen silent."""
    upstreams = await scene.add_upstreams(["u1", "u2", "u3", "u4"], "alm-1")
    silent = SilentOnce(scene)
    scene.discovery.on_call = silent.answer
    balancer = await scene.add_balancer(almaty_settings())
    drained = DrainedUpstream(scene, upstreams[0], "alm-1")
    readings = Readings(drained)
    readings.start([scene.client(balancer) for _ in range(CLIENTS)])
    try:
        await asyncio.wait_for(silent.watched.wait(), FIRST_CALL_MAX_S)
    except TimeoutError as error:
        raise CouldNotRunError("the balancer did not watch") from error
    await asyncio.sleep(DRAIN_AFTER_S)
    await drained.drain(silent.silent_s + silent.wait_s + TOLD_AFTER_WAIT_S)
    await asyncio.sleep(AFTER_S)
    await readings.stop()


if __name__ == "__main__":
    sys.exit(run(__file__, play))
