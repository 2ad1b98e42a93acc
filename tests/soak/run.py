"""One run: starts the fake servers and the balancer, plays the schedule, and checks the rules."""

from __future__ import annotations

import asyncio
import logging
import signal
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from loadbalancer.proxy.connection_pool import MAX_IDLE_CONNECTIONS_PER_ENDPOINT
from tests.soak import checks
from tests.soak.balancer_process import BalancerProcess
from tests.soak.clients import Clients
from tests.soak.kinds import Rule
from tests.soak.records import Lag, Records
from tests.soak.schedule import (
    ChangeList,
    ConnectBadClient,
    OpenConnectionFlood,
    Pause,
    PlannedRequest,
    Reload,
    Schedule,
    SetDiscoveryCondition,
    SetEndpointBehavior,
    Step,
    Terminate,
    draw_schedule,
)
from tests.soak.servers import SoakDiscovery, SoakEndpoint
from tests.support.endpoint_lists import entry
from tests.support.http_messages import HOST

NEW_CONNECTIONS_AFTER_SIGTERM_S = 0.4  # afterwards, the platform sends new connections elsewhere
LAG_CHECK_INTERVAL_S = 0.01  # the lag is that of this process's event loop
MIN_RECORDED_LAG_S = 0.005
SAMPLE_INTERVAL_S = 0.5
MAX_MEMORY_GROWTH_BYTES = 24_000_000
MAX_OTHER_DESCRIPTORS = 48  # descriptors for the event loop, discovery, logs, and sockets being closed


@dataclass(frozen=True)
class BrokenRule:
    """A violation, with the events of the second before it; times are in seconds since readiness."""

    rule: str
    request_id: str
    at_s: float
    text: str
    events: list[str]


@dataclass(frozen=True)
class SeedResult:
    """The result of one seed, as it is written to the JSON file."""

    seed: int
    requests: int
    served: int
    attempts: int
    ready_s: float
    max_lag_s: float
    broken: list[BrokenRule] = field(default_factory=list)


class Run:
    """A run of one schedule."""

    def __init__(self, schedule: Schedule, folder: Path) -> None:
        self.schedule = schedule
        self.records = Records()
        self.endpoints = [
            SoakEndpoint(number, self.records, is_late=number in schedule.late_endpoints)
            for number in range(schedule.endpoint_count)
        ]
        self.discovery = SoakDiscovery(self.records, pushes=schedule.pushes)
        self.balancer = BalancerProcess(schedule, folder)
        self.clients = Clients(self.records)
        self.start_duration_s = 0.0
        self._ready_at_s = 0.0
        self._memory_at_readiness_bytes = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def play(self) -> SeedResult:
        """Start the balancer, play the schedule, kill the balancer and check the rules; return the result."""
        self._tasks.append(asyncio.create_task(self._measure_lag()))
        try:
            await self._start()
            await self._play_schedule()
        except TimeoutError:
            self.records.add_violation(
                Rule.READINESS, f"balancer was not ready in time; its log: {self.balancer.log()}"
            )
        finally:
            await self.balancer.kill()
            for task in self._tasks:
                task.cancel()
        self._check()
        return self._result()

    async def _start(self) -> None:
        for endpoint in self.endpoints:
            await endpoint.server.start()
            row = entry(f"s{endpoint.number}", endpoint.server.port)
            self.discovery.fake.entries[row["host"]] = row
        address = await self.discovery.open_address()
        self.balancer.write_configuration(address, self.discovery.known_list())
        self.start_duration_s = await self.balancer.start()
        self.clients.set_balancer_port(self.balancer.port)
        self._ready_at_s = time.monotonic()
        self._memory_at_readiness_bytes = self.balancer.memory_bytes()
        self._tasks.append(asyncio.create_task(self._sample_process()))

    async def _play_schedule(self) -> None:
        steps = asyncio.create_task(self._play_steps())
        self._tasks += [steps, asyncio.create_task(self._listen_late())]
        await self._send_requests()
        await steps
        await self._sleep_until(self.schedule.kill_s)
        await self.clients.wait(0.0)

    async def _play_steps(self) -> None:
        for timed in self.schedule.steps:
            await self._sleep_until(timed.at_s)
            self.records.log_event(str(timed.step))
            await self._execute(timed.step)

    async def _execute(self, step: Step) -> None:
        match step:
            case SetEndpointBehavior():
                self.endpoints[step.endpoint].set_behavior(step.behavior)
            case ChangeList():
                self.discovery.change(step, f"{HOST}:{self.endpoints[step.endpoint].server.port}")
            case SetDiscoveryCondition():
                self.discovery.set_condition(step.condition)
            case Reload():
                await self._reload(step)
            case ConnectBadClient():
                self.clients.run_in_background(self.clients.connect_bad_client(step.kind))
            case OpenConnectionFlood():
                self.clients.run_in_background(self.clients.open_connection_flood(step.connections))
            case Pause():
                self.clients.run_in_background(self.balancer.pause())
            case Terminate():
                self._terminate()

    async def _reload(self, step: Reload) -> None:
        address = await self.discovery.open_address(step.old_address_listens_s)
        self.records.reloads_s.append(time.monotonic())
        self.balancer.reload(address, step.known_entries, self.discovery.known_list())

    def _terminate(self) -> None:
        if self.balancer.exit_status is not None:
            if not self.records.terminations_s:
                self.records.add_violation(
                    Rule.CRASH, f"balancer exited before SIGTERM with status {self.balancer.exit_status}"
                )
            return
        if not self.records.terminations_s:
            loop = asyncio.get_running_loop()
            loop.call_later(NEW_CONNECTIONS_AFTER_SIGTERM_S, self.clients.stop_connecting)
        self.records.terminations_s.append(time.monotonic())
        self.balancer.send_signal(signal.SIGTERM)

    async def _send_requests(self) -> None:
        for planned in self.schedule.requests:
            await self._sleep_until(planned.at_s)
            self._send(planned)

    def _send(self, planned: PlannedRequest) -> None:
        if self.balancer.exit_status is None:
            self.clients.run_in_background(self.clients.send(planned))

    async def _listen_late(self) -> None:
        for number, at_s in sorted(self.schedule.late_endpoints.items(), key=lambda item: item[1]):
            await self._sleep_until(at_s)
            await self.endpoints[number].listen_late()

    async def _sleep_until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, self._ready_at_s + at_s - time.monotonic()))

    async def _measure_lag(self) -> None:
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(LAG_CHECK_INTERVAL_S)
            late_s = time.monotonic() - before_s - LAG_CHECK_INTERVAL_S
            if late_s > MIN_RECORDED_LAG_S:
                self.records.lags.append(Lag(time.monotonic(), late_s))

    async def _sample_process(self) -> None:
        while self.balancer.exit_status is None:
            self._check_growth()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _check_growth(self) -> None:
        memory_bytes = self.balancer.memory_bytes()
        if memory_bytes - self._memory_at_readiness_bytes > MAX_MEMORY_GROWTH_BYTES:
            self.records.add_violation(
                Rule.GROWTH,
                f"{self._memory_at_readiness_bytes} bytes of memory at readiness, now {memory_bytes}",
            )
        descriptors = self.balancer.descriptors()
        expected = (
            self.clients.open_connections
            + MAX_IDLE_CONNECTIONS_PER_ENDPOINT * self.schedule.endpoint_count
            + len(self.records.attempts_in_flight())
            + MAX_OTHER_DESCRIPTORS
        )
        if descriptors > expected:
            self.records.add_violation(
                Rule.GROWTH, f"{descriptors} open descriptors, expected at most {expected}"
            )

    def _check(self) -> None:
        records = self.records
        status = self.balancer.exit_status
        if status not in (0, -signal.SIGKILL) and records.terminations_s:
            records.add_violation(Rule.CRASH, f"exit status {status} after SIGTERM")
        if "Traceback" in self.balancer.log():
            records.add_violation(Rule.TRACEBACK, self.balancer.log()[-2000:])
        checks.check_requests(records, self.schedule)
        checks.check_attempts(records, self.schedule)
        checks.check_bad_clients(records)

    def _result(self) -> SeedResult:
        records = self.records
        broken = [
            BrokenRule(
                rule=violation.rule.value,
                request_id=violation.request_id,
                at_s=round(violation.at_s - self._ready_at_s, 3),
                text=violation.text,
                events=[
                    f"{line.at_s - self._ready_at_s:.3f} {line.text}"
                    for line in records.log_before(violation.at_s)
                ],
            )
            for violation in sorted(records.violations, key=lambda reported: reported.at_s)
        ]
        return SeedResult(
            seed=self.schedule.seed,
            requests=len(records.requests),
            served=sum(request.status == checks.OK for request in records.requests),
            attempts=sum(len(attempts) for attempts in records.attempts.values()),
            ready_s=round(self.start_duration_s, 3),
            max_lag_s=round(max((lag.seconds for lag in records.lags), default=0.0), 3),
            broken=broken,
        )


def run_seed(seed: int) -> SeedResult:
    """Run one seed in this process."""
    # asyncio would log the cancelled connections of the fake servers.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_play(draw_schedule(seed), Path(folder)))


async def _play(schedule: Schedule, folder: Path) -> SeedResult:
    return await Run(schedule, folder).play()
