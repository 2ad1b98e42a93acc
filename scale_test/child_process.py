"""The processes of a run: each leads a process group of its own, and none outlives the run."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from asyncio.subprocess import DEVNULL, PIPE
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any

import orjson

from scale_test.plan import PlanError

ROOT = Path(__file__).parent.parent
LONGEST_LINE = 2**30
Commands = Mapping[str, Callable[..., Awaitable[object]]]


class Process:
    """A process that was started for the run, and its log."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, log: Path) -> None:
        self.name, self.process, self.log = name, process, log

    @property
    def pid(self) -> int:
        return self.process.pid

    @classmethod
    async def start(cls, name: str, folder: Path, *command: str, talks: bool = False, **env: str) -> Process:
        """Start it with a temporary folder of its own; one that talks is asked on its standard input."""
        temporary = folder / f"{name}.tmp"
        temporary.mkdir()
        log = folder / f"{name}.log"
        with log.open("wb") as out:
            process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                stdin=PIPE if talks else DEVNULL,
                stdout=PIPE if talks else out,
                stderr=out,
                env={**os.environ, "TMPDIR": str(temporary), **env},
                limit=LONGEST_LINE,
                start_new_session=True,
            )
        return cls(name, process, log)

    def ended(self) -> PlanError:
        lines = self.log.read_text(errors="replace").strip().splitlines()
        return PlanError(f"{self.name} has ended: {lines[-1] if lines else 'it said nothing'}")

    async def ask(self, do: str, **arguments: object) -> Any:
        """Give a helper one command; it answers with one line."""
        assert self.process.stdin is not None and self.process.stdout is not None
        with contextlib.suppress(ConnectionError):
            self.process.stdin.write(orjson.dumps({"do": do, **arguments}) + b"\n")
            await self.process.stdin.drain()
        line = await self.process.stdout.readline()
        if not line:
            await self.process.wait()
            raise self.ended()
        return orjson.loads(line)

    async def kill(self) -> None:
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.pid, signal.SIGKILL)
            await self.process.wait()


async def helper(role: str, name: str, folder: Path) -> Process:
    return await Process.start(name, folder, sys.executable, "-m", f"scale_test.{role}", talks=True)


async def serve(commands: Commands) -> None:
    """In a helper: work off commands until the run closes the pipe."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LONGEST_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        command = orjson.loads(line)
        answer = await commands[command.pop("do")](**command)
        sys.stdout.buffer.write(orjson.dumps(answer) + b"\n")
        sys.stdout.flush()
