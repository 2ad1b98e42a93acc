"""An upstream that drains and then leaves, and the check that it gets nothing new by then."""

from __future__ import annotations

import asyncio
from collections import Counter

from harness_2.client import Client
from harness_2.http import Message
from harness_2.play import Scene
from harness_2.servers import Connection, Upstream

GRACE_S = 0.25 + 0.05  # `stop_sending_within_ns`, and what every time limit is longer by
HELD_UP_S = 0.15  # how long a balancer may be held up
GONE_AFTER_S = 0.8  # after the last moment at which it may get something new
FINISHED_S = 2.0  # by then a draining upstream has finished what it had
FOREVER_S = 3600.0
PAUSE_S = 0.02
DEADLINE_MS = 800


class DrainedUpstream:
    """An upstream that is to get nothing new after the balancer counts as told, and is gone by then."""

    def __init__(self, scene: Scene, upstream: Upstream, zone: str) -> None:
        """Leave the upstream as it is; `drain` starts the drain."""
        self.scene = scene
        self.upstream = upstream
        self.zone = zone
        self.listed_s = 0.0
        self.ends_s = FOREVER_S
        self.gone = False
        self.late: set[str] = set()
        upstream.behavior = self.serve

    async def drain(self, told_s: float) -> None:
        """List the upstream as draining, which counts as told at `told_s`, and let it leave.

        Args:
            told_s: When the balancer counts as told at the latest, in seconds since the start of the case.
        """
        record = self.scene.record
        self.scene.discovery.set_entry(self.upstream.entry(self.zone, "draining"))
        self.listed_s = record.now()
        self.ends_s = told_s + GRACE_S + HELD_UP_S
        await asyncio.sleep(FINISHED_S)
        self.scene.discovery.set_entry(self.upstream.entry(self.zone, "removed"))
        await asyncio.sleep(self.ends_s + GONE_AFTER_S - record.now())
        self.gone = True
        record.write(f"{self.upstream.name} is gone: it refuses new connections and is silent on open ones")
        self.upstream.stop_listening()

    async def serve(self, upstream: Upstream, request: Message, _connection: Connection) -> bool:
        """Note what comes too late, and answer it only until the upstream is gone."""
        now_s = self.scene.record.now()
        if now_s <= self.ends_s:
            return False
        request_id = request.headers.get("req-id", "")
        self.late.add(request_id)
        since_s = now_s - self.listed_s
        self.scene.record.broken(
            f"{upstream.name} got {request_id} {since_s:.3f} s after its drain was listed"
        )
        if self.gone:
            await asyncio.sleep(FOREVER_S)
        return False


class Readings:
    """Clients that send readings one after another."""

    def __init__(self, drained: DrainedUpstream) -> None:
        """Begin with no client."""
        self.drained = drained
        self.answered: dict[str, int] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, clients: list[Client]) -> None:
        """Let clients send until `stop`."""
        self._tasks = [asyncio.create_task(self._send(client)) for client in clients]

    async def _send(self, client: Client) -> None:
        while True:
            outcome = await client.send("POST", "/reading", DEADLINE_MS, body=b"{}")
            if outcome.request_id in self.drained.late:
                self.answered[outcome.request_id] = outcome.status
            await asyncio.sleep(PAUSE_S)

    async def stop(self) -> None:
        """Stop all clients, and record what became of the readings that came too late."""
        await asyncio.sleep(2 * DEADLINE_MS / 1000)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        counts = Counter(self.answered.values())
        self.drained.scene.record.write(f"answers to what was sent too late, by status: {dict(counts)}")
