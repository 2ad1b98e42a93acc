"""The child processes of an experiment. Each leads a process group, which is killed as a whole.

A helper is a child process that executes commands: it reads each as one line of JSON from its standard
input, and writes the result as one line of JSON to its standard output.
"""

from __future__ import annotations

import asyncio
import contextlib
import inspect
import os
import signal
import sys
from asyncio.subprocess import DEVNULL, PIPE
from collections.abc import Awaitable, Callable, Mapping
from enum import StrEnum
from pathlib import Path
from typing import Any

import orjson

from scale_test.deployment import ROOT
from scale_test.errors import ExperimentError

MAX_LINE_BYTES = 2**30  # a report is one line; asyncio's default limit is 64 KiB

Commands = Mapping[str, Callable[..., Awaitable[object]]]


class HelperRole(StrEnum):
    """What a helper does; the value is its module in `scale_test`."""

    DISCOVERY = "discovery_process"
    HOLLOW = "hollow"
    LOAD = "load_generator"


class ChildProcess:
    """A process started by the experiment, and its log file."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, log: Path) -> None:
        self.name = name
        self.process = process
        self.log = log

    @property
    def pid(self) -> int:
        """The process id, which is also the id of its process group."""
        return self.process.pid

    @classmethod
    async def start(
        cls, name: str, folder: Path, *command: str, piped: bool = False, **env: str
    ) -> ChildProcess:
        """Start a process with its own temporary folder and log file.

        Args:
            name: Names the process in errors, and its files in the folder.
            folder: The folder of the experiment.
            command: The program and its arguments.
            piped: Whether standard input and output are pipes; otherwise input is empty and output is logged.
            env: Environment variables that are added to those of this process.
        """
        temporary = folder / f"{name}.tmp"
        temporary.mkdir()
        log = folder / f"{name}.log"
        with log.open("wb") as out:
            process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                stdin=PIPE if piped else DEVNULL,
                stdout=PIPE if piped else out,
                stderr=out,
                env={**os.environ, "TMPDIR": str(temporary), **env},
                limit=MAX_LINE_BYTES,
                start_new_session=True,
            )
        return cls(name, process, log)

    @classmethod
    async def start_helper(cls, role: HelperRole, name: str, folder: Path) -> ChildProcess:
        """Start a helper process of this role."""
        return await cls.start(name, folder, sys.executable, "-m", f"scale_test.{role}", piped=True)

    def exit_error(self) -> ExperimentError:
        """Return an error that says that the process exited, with the last line of its log."""
        lines = self.log.read_text(errors="replace").strip().splitlines()
        return ExperimentError(f"{self.name} exited: {lines[-1] if lines else 'its log is empty'}")

    async def call(self, command: str, **arguments: object) -> Any:  # noqa: ANN401 - any JSON value
        """Send a command to this process, which has to be a helper, and return the result.

        Raises:
            ExperimentError: The helper exited before it returned a result.
        """
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        with contextlib.suppress(ConnectionError):
            self.process.stdin.write(orjson.dumps({"command": command, "arguments": arguments}) + b"\n")
            await self.process.stdin.drain()
        line = await self.process.stdout.readline()
        if not line:
            await self.process.wait()
            raise self.exit_error()
        return orjson.loads(line)

    async def kill(self) -> None:
        """Kill the process and its process group, and wait until it has exited."""
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.pid, signal.SIGKILL)
            await self.process.wait()


def commands_of(handler: object) -> Commands:
    """Return the public coroutine methods of an object by name; each executes the command of that name."""
    methods = inspect.getmembers(handler, inspect.iscoroutinefunction)
    return {name: method for name, method in methods if not name.startswith("_")}


async def serve(commands: Commands) -> None:
    """Execute commands from standard input, one at a time, until the experiment closes the pipe."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        request = orjson.loads(line)
        result = await commands[request["command"]](**request["arguments"])
        sys.stdout.buffer.write(orjson.dumps(result) + b"\n")
        sys.stdout.flush()
