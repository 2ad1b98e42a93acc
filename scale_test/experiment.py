"""Runs an experiment: starts its processes, runs its phases, collects the figures and ends the processes."""

from __future__ import annotations

import asyncio
import itertools
import tempfile
from dataclasses import dataclass
from pathlib import Path

from scale_test.child_process import HelperRole
from scale_test.cluster import Cluster
from scale_test.errors import ExperimentError
from scale_test.helpers import LoadHelper
from scale_test.measurements import Measurements
from scale_test.plan import Plan
from scale_test.records import BalancerReport
from scale_test.report import Phase, Row

WARM_UP_S = 1.0  # clients send for this long before the first phase
# The pause after a full list has been read, in which it comes into force: a fixed part, and a part by rows.
FULL_LIST_PAUSE_S = 1.0
FULL_LIST_ROWS_PER_S = 80_000
MIN_SETTLE_TIMEOUT_S = 8.0  # balancers count as notified of a version 6 s after discovery has it
FULL_LIST_TIMEOUT_S = 30.0  # for a watch, the full list in response to it, and the next call


@dataclass(frozen=True)
class ExperimentResult:
    """The rows of the report, and the notes on them."""

    rows: list[Row]
    notes: list[str]


class Experiment:
    """The phases of an experiment on a cluster."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self._plan = plan
        self._cluster = Cluster(plan, folder)
        self._measurements = Measurements(self._cluster)

    async def run(self) -> ExperimentResult:
        """Run the phases, and finally kill all processes, also after an error.

        Raises:
            ExperimentError: The experiment could not continue.
        """
        watch_task = asyncio.create_task(self._cluster.watch())
        phases_task = asyncio.create_task(self._run_phases())
        try:
            done, _ = await asyncio.wait({watch_task, phases_task}, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        except TimeoutError as error:
            raise ExperimentError(f"not all balancers were ready within {self._plan.patience:g} s") from error
        finally:
            watch_task.cancel()
            phases_task.cancel()
            await asyncio.gather(watch_task, phases_task, return_exceptions=True)
            await self._cluster.kill()
        rows = [row for row in self._measurements.rows if row.count]
        return ExperimentResult(rows, self._measurements.notes)

    async def _run_phases(self) -> None:
        plan = self._plan
        measurements = self._measurements
        measurements.add_start_times(await self._cluster.start())
        discovery = self._cluster.discovery
        if not await discovery.wait_settled(plan.patience):
            raise ExperimentError(f"not all balancers called discovery within {plan.patience:g} s")
        clients = await self._start_clients()
        async with measurements.phase(Phase.QUIET):
            await asyncio.sleep(plan.quiet)
        async with measurements.phase(Phase.SCENARIO):
            await discovery.run_scenario()
        settled = await discovery.wait_settled(min(plan.patience, max(plan.duration, MIN_SETTLE_TIMEOUT_S)))
        if not settled:
            measurements.notes.append("some balancers did not have the newest list when the run ended")
        await self._send_full_lists()
        measurements.add_memory()
        await self._gather_reports(clients)

    async def _start_clients(self) -> LoadHelper | None:
        """Start the clients of the loaded balancer, if the plan has one, and let their traffic warm up."""
        plan = self._plan
        if not plan.loaded:
            return None
        clients = LoadHelper(await self._cluster.start_helper(HelperRole.LOAD, "clients"))
        await clients.start_clients(self._cluster.listen_addresses[0], plan.requests, plan.seed)
        await asyncio.sleep(min(WARM_UP_S, plan.quiet))
        return clients

    async def _send_full_lists(self) -> None:
        """Send full lists to the loaded balancer and to a hollow one.

        A hollow balancer records when the list is in force. The next call of a real balancer shows only when
        it has read the list.
        """
        plan = self._plan
        numbers = list(range(plan.loaded))
        if plan.loaded and plan.hollow:
            numbers.append(plan.real)
        timeout_s = min(plan.patience, FULL_LIST_TIMEOUT_S)
        pause_s = min(FULL_LIST_PAUSE_S + plan.upstreams / FULL_LIST_ROWS_PER_S, plan.quiet)
        for _, number in itertools.product(range(plan.wholes), numbers):
            if not await self._cluster.discovery.send_full_list(number, timeout_s):
                self._measurements.notes.append(
                    f"balancer {number} took no full list in time; no more were sent"
                )
                break
            await asyncio.sleep(pause_s)

    async def _gather_reports(self, clients: LoadHelper | None) -> None:
        """Fetch the helpers' reports, and add the figures calculated from them."""
        measurements = self._measurements
        discovery = await self._cluster.discovery.report()
        hollow = await self._hollow_reports()
        measurements.add_list_figures(discovery, hollow)
        if clients is not None:
            delays = measurements.full_list_delays(discovery, hollow)
            tail_ns = max((delay.after_next_call_ns for delay in delays), default=0)
            measurements.add_request_figures(await clients.report(), discovery, tail_ns)

    async def _hollow_reports(self) -> list[BalancerReport]:
        """Return the hollow balancers' reports by number; numbers are assigned to processes round-robin."""
        reports = [await helper.report() for helper in self._cluster.hollow]
        interleaved = itertools.chain.from_iterable(itertools.zip_longest(*reports))
        return [report for report in interleaved if report is not None]


async def run_experiment(plan: Plan) -> ExperimentResult:
    """Run an experiment in a temporary folder.

    Raises:
        ExperimentError: The experiment could not continue.
    """
    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        return await Experiment(plan, Path(folder)).run()
