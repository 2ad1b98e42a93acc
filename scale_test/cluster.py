"""The processes of an experiment: discovery, upstreams, real and hollow balancers."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import psutil

from scale_test.balancer_config import Address, ConfigurationWriter, format_address
from scale_test.child_process import ChildProcess, HelperRole
from scale_test.deployment import read_deployment
from scale_test.errors import ExperimentError
from scale_test.helpers import DiscoveryHelper, HollowHelper, LoadHelper
from scale_test.plan import Plan, memory_limit
from scale_test.units import BYTES_PER_MB, NS_PER_S

MAX_CONCURRENT_STARTS = 4  # processes of balancers that start at once, as they share the processors
MEMORY_CHECK_INTERVAL_S = 0.25
READY_POLL_S = 0.02
HOSTS_PER_SUBNET = 250  # hosts 1 to 250 of each 127.8.x.0/24


@dataclass(frozen=True)
class StartTimes:
    """How long each balancer took to become ready, in seconds."""

    real_s: list[float]
    hollow_s: list[float]


def free_address(number: int) -> Address:
    """Return the loopback address for a balancer number, with a port that is free on it."""
    host = f"127.8.{number // HOSTS_PER_SUBNET}.{number % HOSTS_PER_SUBNET + 1}"
    with socket.socket() as probe:
        probe.bind((host, 0))
        return host, int(probe.getsockname()[1])


async def is_ready(address: Address) -> bool:
    """Return whether the balancer at this address passes its readiness check."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    try:
        writer.write(b"GET /health/ready HTTP/1.1\r\nHost: scale\r\nConnection: close\r\n\r\n")
        return b" 200 " in await reader.readline()
    except OSError:
        return False
    finally:
        writer.close()


class Cluster:
    """Starts, monitors and kills the processes of an experiment."""

    discovery: DiscoveryHelper

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.folder = folder
        self.processes: list[ChildProcess] = []
        self.real: list[ChildProcess] = []
        self.hollow: list[HollowHelper] = []
        self.discovery_addresses: list[Address] = []  # indexed by balancer number; real balancers come first
        self.listen_addresses = [free_address(number) for number in range(plan.real)]
        self._start_slots = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

    async def start_helper(self, role: HelperRole, name: str) -> ChildProcess:
        """Start a helper process and add it to the processes that are monitored and killed."""
        process = await ChildProcess.start_helper(role, name, self.folder)
        self.processes.append(process)
        return process

    async def start(self) -> StartTimes:
        """Start all processes, and wait until all balancers are ready.

        Raises:
            ExperimentError: A process exited.
            TimeoutError: Not all balancers were ready within `plan.patience` seconds.
        """
        plan = self.plan
        upstreams = LoadHelper(await self.start_helper(HelperRole.LOAD, "upstreams"))
        self.discovery = DiscoveryHelper(await self.start_helper(HelperRole.DISCOVERY, "discovery"))
        known_path = self.folder / "known.json"
        self.discovery_addresses = await self.discovery.start(
            plan, await upstreams.start_upstreams(), known_path
        )
        writer = ConfigurationWriter(plan, self.folder, self.discovery_addresses, known_path.read_bytes())
        deployment = read_deployment()
        await self._build(deployment.build)
        async with asyncio.timeout(plan.patience):
            real = await asyncio.gather(
                *(self._start_real(number, deployment.run, writer) for number in range(plan.real))
            )
            hollow = await asyncio.gather(
                *(self._start_hollow(number, writer) for number in range(len(plan.hollow_counts)))
            )
        self.real = [started.process for started in real]
        self.hollow = [started.helper for started in hollow]
        return StartTimes(
            [started.ready_s for started in real],
            [ready_ns / NS_PER_S for started in hollow for ready_ns in started.ready_ns],
        )

    async def _build(self, command: str) -> None:
        build = await ChildProcess.start("build", self.folder, "/bin/sh", "-c", command)
        try:
            if await build.process.wait():
                raise build.exit_error()
        finally:
            await build.kill()

    async def _start_real(self, number: int, run_command: str, writer: ConfigurationWriter) -> StartedReal:
        """Start a real balancer by the deploy file's `run` command, and wait until it is ready."""
        async with self._start_slots:
            address = self.listen_addresses[number]
            configuration = writer.configuration(number)
            path = writer.write(f"real{number}", number, format_address(address))
            started_s = time.monotonic()
            process = await ChildProcess.start(
                f"real{number}",
                self.folder,
                "/bin/sh",
                "-c",
                run_command,
                RELAY_NAME=configuration["name"],
                RELAY_LISTEN=format_address(address),
                RELAY_DISCOVERY=configuration["discovery"],
                RELAY_CONFIG=str(path),
            )
            self.processes.append(process)
            while not await is_ready(address):
                await asyncio.sleep(READY_POLL_S)
            path.unlink()
            return StartedReal(process, time.monotonic() - started_s)

    async def _start_hollow(self, number: int, writer: ConfigurationWriter) -> StartedHollow:
        """Start one process of hollow balancers, which are assigned to the processes round-robin.

        The memory of the process is measured before it holds a balancer, but after an empty `start` command.
        """
        async with self._start_slots:
            plan = self.plan
            helper = HollowHelper(await self.start_helper(HelperRole.HOLLOW, f"hollow{number}"))
            first = plan.real + number
            numbers = range(first, plan.balancers, plan.hollow_processes)
            path = writer.write(f"hollow{number}", first, "127.0.0.1:0")
            await helper.start(path, [])
            helper.baseline_rss_bytes = psutil.Process(helper.process.pid).memory_info().rss
            ready_ns = await helper.start(path, [writer.hollow_overrides(each) for each in numbers])
            path.unlink()
            return StartedHollow(helper, ready_ns)

    async def watch(self) -> None:
        """Monitor the processes until one exits or together they exceed the memory limit.

        Raises:
            ExperimentError: Always; it names the process that exited, or the memory used.
        """
        while True:
            used = memory_used_by(self.processes)
            limit = memory_limit()
            if used > limit:
                raise ExperimentError(
                    f"{used // BYTES_PER_MB} MB of memory used; the limit is {limit // BYTES_PER_MB} MB"
                )
            await asyncio.sleep(MEMORY_CHECK_INTERVAL_S)

    async def kill(self) -> None:
        """Kill all processes and wait until they have exited."""
        await asyncio.gather(*(process.kill() for process in self.processes))


@dataclass(frozen=True)
class StartedReal:
    """A real balancer, and how long it took to become ready, in seconds."""

    process: ChildProcess
    ready_s: float


@dataclass(frozen=True)
class StartedHollow:
    """A process of hollow balancers, and how long each balancer took to start, in nanoseconds."""

    helper: HollowHelper
    ready_ns: list[int]


def memory_used_by(processes: Sequence[ChildProcess]) -> int:
    """Return the total resident bytes of these processes.

    Raises:
        ExperimentError: One of them has exited.
    """
    used = 0
    for process in processes:
        try:
            used += psutil.Process(process.pid).memory_info().rss
        except psutil.NoSuchProcess as error:
            raise process.exit_error() from error
        if process.process.returncode is not None:
            raise process.exit_error()
    return used
