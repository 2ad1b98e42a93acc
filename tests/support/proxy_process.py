"""Starts a proxy as a process, and exchanges single messages with it."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import sys
from asyncio.subprocess import PIPE, Process
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from tests.support.endpoint_lists import list_of_ports
from tests.support.http_messages import HOST, ReceivedMessage, read_message
from tests.support.waiting import WAIT_TIMEOUT_S

SETTINGS = {
    "profiles": [{"name": "read", "repeat": "read_like", "aim_ns": 3_000_000_000}],
    "limits": {"send_cap": 2, "retry_after": True},
}


def configuration(*ports: int, **changes: object) -> dict[str, object]:
    """Return a configuration whose known list has endpoints on these ports, with changed members."""
    return {
        "name": "n0",
        "listen": f"{HOST}:0",
        "discovery": f"{HOST}:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 1024},
        "known": list_of_ports(*ports),
        "settings": SETTINGS,
        **changes,
    }


@asynccontextmanager
async def proxy_process(
    folder: Path,
    *ports: int,
    descriptors: int = 1024,
    path: Path | None = None,
    discovery_port: int = 1,
    mode: str = "push",
    **limits: float,
) -> AsyncIterator[tuple[Process, int]]:
    """Start a proxy as a process, and yield the process and its port once it is ready.

    Its configuration is written to `folder`, unless `path` names a configuration file.
    """
    if path is None:
        path = folder / "config.json"
        path.write_text(
            json.dumps(
                configuration(
                    *ports,
                    discovery=f"{HOST}:{discovery_port}",
                    settings={**SETTINGS, "registry_mode": mode},
                    limits={"sockets": 1024, **limits},
                )
            )
        )

    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "loadbalancer",
        stderr=PIPE,
        env={**os.environ, "RELAY_CONFIG": str(path)},
        preexec_fn=limit_descriptors,
    )
    assert process.stderr is not None
    try:
        line = b""
        while b"ready on port" not in line:
            line = await asyncio.wait_for(process.stderr.readline(), WAIT_TIMEOUT_S)
            assert line, "the process ended before it was ready"
        yield process, int(line.split()[-1])
    finally:
        if process.returncode is None:
            process.kill()
        await process.communicate()


async def exchange(port: int, data: bytes) -> ReceivedMessage:
    """Send a request on a connection of its own, and return the response."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    response = await asyncio.wait_for(read_message(reader), WAIT_TIMEOUT_S)
    writer.close()
    return response
