"""The balancer process of a run: its configuration, signals, memory and descriptors."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import subprocess
import time
from pathlib import Path

import psutil

from scale_test.child_process import ChildProcess
from scale_test.cluster import is_ready
from scale_test.deployment import ROOT, read_deployment
from tests.soak.kinds import RequestKind
from tests.soak.schedule import PAUSE_S, Schedule
from tests.support.endpoint_lists import Json, complete_list
from tests.support.http_messages import HOST

NS_PER_S = 1_000_000_000
NS_PER_MS = 1_000_000
READY_POLL_INTERVAL_S = 0.02
READY_LOG_LINE = re.compile(r"ready on port (\d+)")
READINESS_TIMEOUT_S = 10.0
STOP_SENDING_WITHIN_S = 0.25
DEDUPLICATION_WINDOW_S = 1.2
MEMORY_MB = 96
SEND_CAP = 3

REPEAT_VALUES = {
    RequestKind.READ: "read_like",
    RequestKind.BOOK: "idempotency_key",
    RequestKind.PAY: "non_idempotent",
}


def soak_settings(schedule: Schedule) -> Json:
    """Return the balancer's settings for a run."""
    profiles = [
        {
            "name": kind.value,
            "repeat": REPEAT_VALUES[kind],
            "dedup_scope": "all",
            "window_ns": int(DEDUPLICATION_WINDOW_S * NS_PER_S),
            "aim_ns": 300 * NS_PER_MS,
            "worth": 1.0,
            "late_worth": 0.2,
            "hard_limit_ns": int(schedule.max_deadline_s * NS_PER_S),
        }
        for kind in RequestKind
    ]
    return {
        "registry_mode": "push" if schedule.pushes else "ask",
        "weight_source": "none",
        "profiles": profiles,
        "limits": {
            "send_cap": SEND_CAP,
            "may_cancel": True,
            "retry_after": True,
            "conn_idle_ns": 5 * NS_PER_S,
            "connect_timeout_ns": schedule.connect_timeout_ms * NS_PER_MS,
        },
        "rules": {
            "ask_within_ns": 10 * NS_PER_S,
            "stop_sending_within_ns": int(STOP_SENDING_WITHIN_S * NS_PER_S),
            "cold_from": 0.3,
            "cold_ns": 2 * NS_PER_S,
            "fall_multiple": 2.5,
            "overload_for_ns": NS_PER_S,
        },
    }


def build_balancer() -> None:
    """Run `build` of the deploy file, which skips a finished build; raise CalledProcessError if it fails."""
    subprocess.run(["/bin/sh", "-c", read_deployment().build], cwd=ROOT, check=True)


class BalancerProcess:
    """A balancer process, started by `run` of the deploy file."""

    def __init__(self, schedule: Schedule, folder: Path) -> None:
        self.port = 0  # 0 until the balancer has logged its port
        self._schedule = schedule
        self._folder = folder
        self._configuration_path = folder / "config.json"
        self._child: ChildProcess | None = None

    def write_configuration(self, discovery_address: str, known: Json) -> None:
        """Replace the configuration file atomically."""
        content = {
            "name": "n0",
            "listen": f"{HOST}:0",
            "discovery": discovery_address,
            "seed": f"{self._schedule.seed:016x}",
            "limits": {"sockets": self._schedule.descriptors, "memory_mb": MEMORY_MB},
            "known": known,
            "settings": soak_settings(self._schedule),
        }
        new_path = self._configuration_path.with_suffix(".new")
        new_path.write_text(json.dumps(content))
        new_path.replace(self._configuration_path)

    async def start(self) -> float:
        """Start the balancer; return the seconds until it was ready.

        Raises:
            TimeoutError: The balancer was not ready within `READINESS_TIMEOUT_S`.
        """
        command = f"ulimit -n {self._schedule.descriptors}; {read_deployment().run}"
        started_s = time.monotonic()
        self._child = await ChildProcess.start(
            "balancer", self._folder, "/bin/sh", "-c", command, RELAY_CONFIG=str(self._configuration_path)
        )
        async with asyncio.timeout(READINESS_TIMEOUT_S):
            while not await self._read_port_and_check_readiness():
                await asyncio.sleep(READY_POLL_INTERVAL_S)
        return time.monotonic() - started_s

    async def _read_port_and_check_readiness(self) -> bool:
        match = READY_LOG_LINE.search(self.log())
        if match is None:
            return False
        self.port = int(match[1])
        return await is_ready((HOST, self.port))

    @property
    def child(self) -> ChildProcess:
        """The started process; an assertion fails before the start."""
        assert self._child is not None
        return self._child

    @property
    def exit_status(self) -> int | None:
        """The exit status; None while the balancer runs."""
        return self.child.process.returncode

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the balancer, unless it has ended."""
        if self.exit_status is None:
            with contextlib.suppress(ProcessLookupError):  # ended, but its status has not been read yet
                os.kill(self.child.pid, signal_number)

    def reload(self, discovery_address: str, known_entries: int, known: Json) -> None:
        """Write a new configuration with so many made-up entries, or with `known` if 0, and send SIGHUP."""
        self.write_configuration(discovery_address, complete_list(known_entries) if known_entries else known)
        self.send_signal(signal.SIGHUP)

    async def pause(self) -> None:
        """Stop the balancer for `PAUSE_S`, then continue it."""
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        self.send_signal(signal.SIGCONT)

    async def wait(self, timeout_s: float) -> bool:
        """Wait for the end of the balancer; return whether it ended within the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.child.process.wait()
        except TimeoutError:
            return False
        return True

    async def kill(self) -> None:
        """End the balancer with SIGKILL."""
        if self._child is not None:
            await self._child.kill()

    def memory_bytes(self) -> int:
        """Return the resident memory; 0 once the balancer has ended."""
        try:
            return int(psutil.Process(self.child.pid).memory_info().rss)
        except psutil.Error:
            return 0

    def descriptors(self) -> int:
        """Return the number of open descriptors; 0 once the balancer has ended."""
        try:
            return int(psutil.Process(self.child.pid).num_fds())
        except psutil.Error:
            return 0

    def log(self) -> str:
        """Return what the balancer has logged so far."""
        return self.child.log.read_text(errors="replace")
