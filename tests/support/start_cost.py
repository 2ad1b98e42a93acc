"""Measures the CPU time and the duration of a proxy's start, by the length of its endpoint list.

    python -m tests.support.start_cost 200 10000 160000

With a fraction of a core, a start takes about its CPU time divided by that fraction, plus the delay that
`readiness_delay_s` adds.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
import tempfile
import time
from asyncio.subprocess import DEVNULL, Process
from dataclasses import dataclass
from pathlib import Path

from tests.support.endpoint_lists import complete_list
from tests.support.http_messages import HOST, READY_REQUEST

CPU_CORES = 1.0
MAX_SOCKETS = 1024
CONNECT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
BYTES_PER_MEGABYTE = 1e6
DEFAULT_LENGTHS = ("200", "10000", "160000")
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")

USER_TICKS_FIELD = 11  # index in /proc/PID/stat, counted from the field after the command name
SYSTEM_TICKS_FIELD = 12


@dataclass(frozen=True)
class StartCost:
    """The measured cost of a start."""

    list_bytes: int
    cpu_s: float
    ready_s: float

    def __str__(self) -> str:
        megabytes = self.list_bytes / BYTES_PER_MEGABYTE
        return f"{megabytes:5.1f} MB: {self.cpu_s:6.2f} s of processor, {self.ready_s:6.2f} s to ready"


def cpu_time_s(pid: int) -> float:
    """Return the CPU time that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])) / CLOCK_TICKS_PER_S


def is_ready(port: int) -> bool:
    """Return whether the proxy at this port reports that it is ready."""
    try:
        with socket.create_connection((HOST, port), timeout=CONNECT_TIMEOUT_S) as connection:
            connection.sendall(READY_REQUEST)
            return connection.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


def free_port() -> int:
    """Return a port that nothing listens on."""
    with socket.socket() as unused:
        unused.bind((HOST, 0))
        port: int = unused.getsockname()[1]
        return port


def write_configuration(path: Path, port: int, endpoint_list: str) -> None:
    """Write a configuration that contains an endpoint list, given as JSON text."""
    configuration = {
        "name": "n0",
        "listen": f"{HOST}:{port}",
        "discovery": f"{HOST}:1",
        "seed": "1",
        "limits": {"cores": CPU_CORES, "sockets": MAX_SOCKETS},
        "settings": {},
        "known": None,
    }
    path.write_text(json.dumps(configuration).replace("null", endpoint_list))


async def start_process(configuration: Path) -> Process:
    """Start a proxy in a separate process."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "loadbalancer",
        stderr=DEVNULL,
        env={**os.environ, "RELAY_CONFIG": str(configuration)},
    )


async def measure_start(endpoint_count: int) -> StartCost:
    """Start a proxy with a list of `endpoint_count` endpoints, and stop it once it is ready."""
    endpoint_list = json.dumps(complete_list(endpoint_count))
    port = free_port()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        write_configuration(path, port, endpoint_list)
        started_s = time.monotonic()
        process = await start_process(path)
        try:
            while not is_ready(port):
                assert process.returncode is None, "the proxy exited before it was ready"
                await asyncio.sleep(POLL_INTERVAL_S)
            return StartCost(
                list_bytes=len(endpoint_list),
                cpu_s=cpu_time_s(process.pid),
                ready_s=time.monotonic() - started_s,
            )
        finally:
            process.kill()
            await process.wait()


def main() -> None:
    """Measure a start with each of the list lengths given on the command line."""
    for length in map(int, sys.argv[1:] or DEFAULT_LENGTHS):
        print(f"{length:7d} endpoints, {asyncio.run(measure_start(length))}")


if __name__ == "__main__":
    main()
