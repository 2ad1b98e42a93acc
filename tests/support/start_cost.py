"""What a start costs: processor seconds from exec to the first 200 of /health/ready, by length of the list.

    python -m tests.support.start_cost 200 10000 160000

At a share c of a core a start takes about cpu / c, and the rest that `readiness_delay_s` adds.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
import tempfile
import time
from pathlib import Path

from tests.support.sockets import HOST, entry

CORES = 1.0
READY = b"GET /health/ready HTTP/1.1\r\n\r\n"
TICKS = os.sysconf("SC_CLK_TCK")


def known(count: int) -> dict[str, object]:
    return {"seq": 1, "whole": True, "hosts": [entry(f"s-{i:08x}", 1 + i % 60_000) for i in range(count)]}


def used_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def ready(port: int) -> bool:
    try:
        with socket.create_connection((HOST, port), timeout=30) as mine:
            mine.sendall(READY)
            return mine.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


async def start(count: int) -> tuple[float, float, float]:
    """Megabytes of the list, processor seconds and seconds to ready."""
    with socket.socket() as free, tempfile.TemporaryDirectory() as folder:
        free.bind((HOST, 0))
        port = free.getsockname()[1]
        free.close()
        path = Path(folder) / "config.json"
        text = json.dumps(known(count))
        path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"{HOST}:{port}",
                    "discovery": f"{HOST}:1",
                    "seed": "1",
                    "limits": {"cores": CORES, "sockets": 1024},
                    "settings": {},
                    "known": None,
                }
            ).replace("null", text)
        )
        began = time.monotonic()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "loadbalancer",
            stderr=asyncio.subprocess.DEVNULL,
            env={**os.environ, "RELAY_CONFIG": str(path)},
        )
        try:
            while not ready(port):
                assert process.returncode is None, "it ended before it was ready"
                await asyncio.sleep(0.02)
            return len(text) / 1e6, used_s(process.pid), time.monotonic() - began
        finally:
            process.kill()
            await process.wait()


if __name__ == "__main__":
    for length in map(int, sys.argv[1:] or ("200", "10000", "160000")):
        print(
            "{:7d} upstreams, {:5.1f} MB: {:6.2f} s of processor, {:6.2f} s to ready".format(
                length, *asyncio.run(start(length))
            )
        )
