"""Peers that begin a request with many short headers and stop: the balancer's memory exceeds its limit."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys

from harness_2.balancer import Balancer, almaty_settings
from harness_2.client import Client
from harness_2.http import OK
from harness_2.play import Scene, run
from harness_2.record import Record, has_trouble
from harness_2.servers import HOST

MEMORY_MB = 128
PEERS = 450
HEADERS = 2600  # 13 KB in all
CALM_S = 2.0
PLAY_S = 6.0
CHECK_S = 0.02
LEAVE_S = 3.0
CLIENTS = 8
DEADLINE_MS = 800
START = b"POST /reading HTTP/1.1\r\nHost: service.internal\r\n"


async def improper_peer(balancer: Balancer) -> None:
    """Send the start of a request, and nothing more; leave at the balancer's error or close."""
    with contextlib.suppress(OSError, TimeoutError):
        reader, writer = await asyncio.open_connection(HOST, balancer.port)
        try:
            writer.write(START + b"".join(b"%02x:\r\n" % (number % 256) for number in range(HEADERS)))
            async with asyncio.timeout(LEAVE_S):
                await reader.read()
        finally:
            writer.close()


async def watch_memory(record: Record, balancer: Balancer) -> None:
    """Do what the platform does: kill the balancer when it takes too much memory, mapped files left out."""
    peak = 0.0
    while True:
        private = balancer.private_mb()
        if private > peak + 1:
            peak = private
            record.write(f"the balancer takes {private:.1f} of {MEMORY_MB} MB")
        if private > MEMORY_MB:
            record.broken(f"the balancer took {private:.1f} MB of {MEMORY_MB} MB and is killed")
            balancer.send_signal(signal.SIGKILL)
            return
        await asyncio.sleep(CHECK_S)


async def requests(record: Record, client: Client) -> None:
    """Send readings one after another; each has to get an answer."""
    while True:
        outcome = await client.send("POST", "/reading", DEADLINE_MS, body=b"{}")
        if outcome.answer is None:
            record.broken(f"reading {outcome.request_id} got no answer: {outcome.error}")
            return
        if outcome.status != OK:
            await asyncio.sleep(CHECK_S)


async def play(scene: Scene) -> None:
    """Let sound clients send readings; then improper peers come."""
    await scene.add_upstreams(["u1", "u2", "u3", "u4"], "alm-1")
    balancer = await scene.add_balancer(almaty_settings(), memory_mb=MEMORY_MB)
    tasks = [asyncio.create_task(watch_memory(scene.record, balancer))]
    tasks += [asyncio.create_task(requests(scene.record, scene.client(balancer))) for _ in range(CLIENTS)]
    await asyncio.sleep(CALM_S)
    if has_trouble():
        scene.record.write(f"{PEERS} peers connect, and send the start of a request with {HEADERS} headers")
        peers = [asyncio.create_task(improper_peer(balancer)) for _ in range(PEERS)]
        await asyncio.wait(peers, timeout=PLAY_S)
    else:
        await asyncio.sleep(PLAY_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


if __name__ == "__main__":
    sys.exit(run(__file__, play))
