"""Starts a real balancer by the deploy file's `run` command, with fakes as its upstreams and discovery."""

from __future__ import annotations

import asyncio
import os
import subprocess
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import orjson

from scale_test.deployment import ROOT, read_deployment
from scale_test.errors import ScaleTestError
from scale_test.process_memory import peak_resident_bytes, resident_bytes
from scale_test.slopes.fakes import HOST, FakeServices, until_cancelled
from scale_test.slopes.inputs import Json, endpoint_list
from scale_test.slopes.measuring import Figures
from scale_test.units import NS_PER_S

READY_LINE = "ready on port "
READY_POLL_S = 0.05
LOG_TAIL_CHARACTERS = 500  # length of the end of the log that the error about an exit shows


class BalancerExitedError(ScaleTestError):
    """The balancer exited before it was ready."""


class RealBalancer:
    """A running balancer, whose processor time and memory can be measured."""

    def __init__(self, pid: int, port: int) -> None:
        self.pid = pid
        self.port = port

    def cpu_s(self) -> float:
        """Return the processor seconds of all its threads so far."""
        tasks = Path(f"/proc/{self.pid}/task").iterdir()
        return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / NS_PER_S

    def memory(self) -> Figures:
        """Return the figures `rss_b`, the resident bytes now, and `top_b`, their peak so far."""
        return {"rss_b": resident_bytes(self.pid), "top_b": peak_resident_bytes(self.pid)}


def port_of(server: asyncio.Server) -> int:
    """Return the port that a server listens on."""
    return int(server.sockets[0].getsockname()[1])


def configuration(services: FakeServices, discovery: str, settings: Json, *, known: bool) -> Json:
    """Return the contents of the balancer's configuration file; with `known` it includes the full list."""
    config: Json = {
        "name": "n0",
        "listen": f"{HOST}:0",
        "discovery": discovery,
        "seed": "1",
        "settings": settings,
        "limits": {"sockets": 16384},
    }
    if known:
        config["known"] = endpoint_list(list(services.rows.values()))
    return config


@asynccontextmanager
async def running_balancer(
    services: FakeServices, settings: Json, *, known: bool = False
) -> AsyncIterator[RealBalancer]:
    """Start the fakes and a balancer, wait until it is ready, and stop them all at the end of the context.

    Raises:
        BalancerExitedError: The balancer exited before it was ready.
    """
    discovery = await asyncio.start_server(until_cancelled(services.serve_discovery), HOST, 0)
    upstream = await asyncio.start_server(until_cancelled(services.serve_upstream), HOST, 0)
    for row in services.rows.values():
        row["dial"] = f"{HOST}:{port_of(upstream)}"
    config = configuration(services, f"{HOST}:{port_of(discovery)}", settings, known=known)
    with tempfile.TemporaryDirectory() as folder:
        log = Path(folder) / "log"
        process = start_process(Path(folder), log, config)
        try:
            yield RealBalancer(process.pid, await wait_until_ready(process, log))
        finally:
            process.kill()
            process.wait()
            discovery.close()
            upstream.close()


def start_process(folder: Path, log: Path, config: Json) -> subprocess.Popen[bytes]:
    """Start the balancer by the deploy file's `run` command, with this configuration."""
    path = folder / "config.json"
    path.write_bytes(orjson.dumps(config))
    with log.open("wb") as file:
        return subprocess.Popen(
            ["/bin/sh", "-c", read_deployment().run],
            cwd=ROOT,
            stdout=file,
            stderr=file,
            env={**os.environ, "RELAY_CONFIG": str(path)},
        )


async def wait_until_ready(process: subprocess.Popen[bytes], log: Path) -> int:
    """Wait until the balancer logs that it is ready, and return its port.

    Raises:
        BalancerExitedError: The balancer exited before it was ready.
    """
    while True:
        text = log.read_text()
        if READY_LINE in text:
            return int(text.partition(READY_LINE)[2].split()[0])
        if process.poll() is not None:
            raise BalancerExitedError(
                f"the balancer exited before it was ready; its log ends with: {text[-LOG_TAIL_CHARACTERS:]}"
            )
        await asyncio.sleep(READY_POLL_S)
