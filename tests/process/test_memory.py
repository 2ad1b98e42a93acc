"""The memory of a proxy process stays within its limit, whatever its peers send."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from tests.support.fake_endpoint import FakeEndpoint, Responder, Writer, respond_with
from tests.support.http_messages import HOST, ReceivedMessage, request
from tests.support.proxy_process import exchange, proxy_process
from tests.support.waiting import wait_until

# The least memory and the most descriptors that a process is given.
MEMORY_MB = 32
DESCRIPTORS = 1024

# Near the limit on connections, which is half of the descriptors.
PEERS = 450

HEAD_START = b"POST /read HTTP/1.1\r\nHost: service.internal\r\n"
LARGE_HEAD = HEAD_START + b"Content-Length: 65536\r\n\r\n"
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


@asynccontextmanager
async def proxy_with_least_memory(
    folder: Path,
    *ports: int,
    **options: Any,  # noqa: ANN401 - arguments of `proxy_process`
) -> AsyncIterator[int]:
    """Run a proxy with the least memory, and yield its port; check that it still runs and never had more."""
    async with proxy_process(folder, *ports, memory_mb=MEMORY_MB, sockets=DESCRIPTORS, **options) as (
        process,
        port,
    ):
        yield port
        assert process.returncode is None
        assert peak_memory_mb(process.pid) < MEMORY_MB


async def statuses_of_sound_requests(port: int, duration_s: float = RESPONSE_TIMEOUT_S) -> list[int]:
    """Send requests one after another, and return the statuses of the responses."""
    statuses = []
    end_s = asyncio.get_running_loop().time() + duration_s
    while asyncio.get_running_loop().time() < end_s:
        statuses.append((await exchange(port, request())).status)
        await asyncio.sleep(0.01)
    return statuses


@pytest.mark.parametrize(
    "incomplete",
    [
        pytest.param(HEAD_START + SHORT_HEADERS, id="many-short-headers"),
        pytest.param(
            HEAD_START + b"Content-Length: 65536\r\n\r\n" + b"x" * 60_000, id="part-of-a-large-body"
        ),
        pytest.param(
            HEAD_START + b"Transfer-Encoding: chunked\r\n\r\n0\r\nTrailer: " + b"x" * 500_000,
            id="endless-trailer",
        ),
    ],
)
async def test_incomplete_requests_stay_within_the_memory_limit(incomplete: bytes, tmp_path: Path) -> None:
    # Guards against a process that is killed for memory: hundreds of peers stop in the middle of a request.
    endpoint = await FakeEndpoint(respond_with(200)).start()
    async with proxy_with_least_memory(tmp_path, endpoint.port) as port:
        async with peers_that_send(port, incomplete) as received:
            statuses = await statuses_of_sound_requests(port)
            assert len(received) == PEERS  # each had its error or close
        assert set(statuses) == {200}
    endpoint.stop()


async def test_requests_that_are_written_slowly_stay_within_the_memory_limit(tmp_path: Path) -> None:
    # Guards against a process that is killed for memory: hundreds of clients write large requests slowly.
    endpoint = await FakeEndpoint(respond_with(200)).start()

    async def write_slowly(port: int) -> None:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(LARGE_HEAD)
            while not reader.at_eof():
                writer.write(b"x" * 1000)
                await asyncio.sleep(0.03)
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(1000), 0.001)
            writer.close()

    async with proxy_with_least_memory(tmp_path, endpoint.port) as port:
        tasks = [asyncio.create_task(write_slowly(port)) for _ in range(PEERS)]
        assert set(await statuses_of_sound_requests(port)) == {200}
        await asyncio.gather(*tasks)
    endpoint.stop()


async def respond_endlessly(_received: ReceivedMessage, writer: Writer) -> None:
    """Send a response without end, as fast as the proxy reads it."""
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    while True:
        writer.write(b"4000\r\n" + b" " * 0x4000 + b"\r\n")
        await writer.drain()
        await asyncio.sleep(0.005)


async def respond_with_many_headers(_received: ReceivedMessage, writer: Writer) -> None:
    """Send the head of a response with many short headers, and not its end."""
    writer.write(b"HTTP/1.1 200 OK\r\n" + SHORT_HEADERS)


async def send_repeatedly(port: int, duration_s: float) -> None:
    """Send requests for a time, each soon after the proxy has responded to the one before."""
    end_s = asyncio.get_running_loop().time() + duration_s
    while asyncio.get_running_loop().time() < end_s:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            await exchange(port, request(deadline_ms=1000))
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("respond", [respond_endlessly, respond_with_many_headers])
async def test_incomplete_responses_stay_within_the_memory_limit(respond: Responder, tmp_path: Path) -> None:
    # Guards against a process that is killed for memory: endpoints send responses without end.
    endpoints = [await FakeEndpoint(respond).start() for _ in range(24)]
    async with proxy_with_least_memory(tmp_path, *(each.port for each in endpoints)) as port:
        await asyncio.gather(*(send_repeatedly(port, RESPONSE_TIMEOUT_S) for _ in range(100)))
    for endpoint in endpoints:
        endpoint.stop()


@pytest.mark.parametrize("mode", ["ask", "push"])
async def test_an_endless_endpoint_list_stays_within_the_memory_limit(mode: str, tmp_path: Path) -> None:
    # Guards against a process that is killed for memory by its discovery.
    discovery = await FakeEndpoint(respond_endlessly).start()
    endpoint = await FakeEndpoint(respond_with(200)).start()
    async with proxy_with_least_memory(
        tmp_path, endpoint.port, discovery_port=discovery.port, mode=mode
    ) as port:
        await wait_until(lambda: discovery.requests)
        assert set(await statuses_of_sound_requests(port)) == {200}
    discovery.stop()
    endpoint.stop()
