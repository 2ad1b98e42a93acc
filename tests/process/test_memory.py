"""The memory of a proxy process stays within its limit, whatever its peers send."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from tests.support.fake_endpoint import FakeEndpoint, respond_with
from tests.support.http_messages import HOST, request
from tests.support.proxy_process import exchange, proxy_process

# The least memory and the most descriptors that a process is given.
MEMORY_MB = 32
DESCRIPTORS = 1024

# Near the limit on connections, which is half of the descriptors.
PEERS = 450

HEAD_START = b"POST /read HTTP/1.1\r\nHost: service.internal\r\n"
SHORT_HEADERS = b"".join(b"%02x:\r\n" % (number % 256) for number in range(2600))

RESPONSE_TIMEOUT_S = 3.0


def peak_memory_mb(pid: int) -> float:
    """Return the highest resident memory of a process so far, mapped files included."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM:"))


@asynccontextmanager
async def peers_that_send(port: int, data: bytes, count: int = PEERS) -> AsyncIterator[list[bytes]]:
    """Open connections that send `data`, and read until the proxy closes them.

    Yields a list to which each closed connection adds what it has received.
    """
    received: list[bytes] = []

    async def run_peer() -> None:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                writer.write(data)
                received.append(await reader.read())
            finally:
                writer.close()

    tasks = [asyncio.create_task(run_peer()) for _ in range(count)]
    try:
        yield received
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def test_incomplete_requests_with_many_short_headers_stay_within_the_memory_limit(
    tmp_path: Path,
) -> None:
    # Guards against a process that is killed for memory: a parsed header of 5 bytes takes some 120.
    endpoint = await FakeEndpoint(respond_with(200)).start()
    async with proxy_process(tmp_path, endpoint.port, memory_mb=MEMORY_MB, sockets=DESCRIPTORS) as (
        process,
        port,
    ):
        async with peers_that_send(port, HEAD_START + SHORT_HEADERS) as received:
            statuses = []
            end_s = asyncio.get_running_loop().time() + RESPONSE_TIMEOUT_S
            while asyncio.get_running_loop().time() < end_s:
                statuses.append((await exchange(port, request())).status)
                await asyncio.sleep(0.01)
            assert len(received) == PEERS  # each had its error or close
        assert set(statuses) == {200}
        assert process.returncode is None
        assert peak_memory_mb(process.pid) < MEMORY_MB
    endpoint.stop()
