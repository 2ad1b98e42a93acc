"""The figures of an experiment, measured on its processes or calculated from their reports."""

from __future__ import annotations

import contextlib
import operator
import time
from collections.abc import AsyncIterator, Callable, Iterable, Sequence
from dataclasses import dataclass

import psutil

from scale_test import analysis
from scale_test.analysis import FullListDelay, Window
from scale_test.child_process import ChildProcess
from scale_test.cluster import Cluster, StartTimes
from scale_test.process_memory import peak_resident_bytes
from scale_test.records import BalancerReport, CallerTraffic, DiscoveryReport, RequestSample
from scale_test.report import Group, Phase, Row, WeightedValue, summarize
from scale_test.units import BYTES_PER_MB, NS_PER_MS, NS_PER_S

TRAFFIC_FIGURES: dict[str, Callable[[CallerTraffic], int]] = {
    "calls to discovery a second": operator.attrgetter("calls"),
    "bytes to discovery a second": operator.attrgetter("received"),
    "bytes from discovery a second": operator.attrgetter("sent"),
}


@dataclass(frozen=True)
class Memory:
    """Resident memory of a balancer or process, in MB."""

    now: float
    peak: float


def cpu_seconds(process: ChildProcess) -> float:
    """Return the processor time that a process has used so far, in seconds."""
    times = psutil.Process(process.pid).cpu_times()
    return float(times.user + times.system)


def memory_of(process: ChildProcess) -> Memory:
    """Return the resident memory of a process now and at its peak."""
    now = psutil.Process(process.pid).memory_info().rss
    return Memory(now / BYTES_PER_MB, peak_resident_bytes(process.pid) / BYTES_PER_MB)


class Measurements:
    """Collects the rows of the report, and the notes on them."""

    def __init__(self, cluster: Cluster) -> None:
        self.rows: list[Row] = []
        self.notes: list[str] = []
        self._plan = cluster.plan
        self._cluster = cluster
        self._windows: dict[Phase, Window] = {}

    @property
    def balancer_groups(self) -> dict[Group, range]:
        """The numbers of the balancers in each group, which are also their indexes in discovery's reports."""
        plan = self._plan
        return {
            Group.REAL: range(plan.loaded, plan.real),
            Group.LOADED: range(plan.loaded),
            Group.HOLLOW: range(plan.real, plan.balancers),
        }

    def add_row(
        self, figure: str, phase: Phase, group: Group, unit: str, values: Iterable[float | WeightedValue]
    ) -> None:
        """Add a row that summarizes these values."""
        self.rows.append(summarize(figure, phase, group, unit, values))

    def add_start_times(self, times: StartTimes) -> None:
        """Add the times that the balancers took to become ready."""
        self.add_row("time to ready", Phase.START, Group.REAL, "s", times.real_s)
        self.add_row("time to ready", Phase.START, Group.HOLLOW, "s", times.hollow_s)

    # -- processor time and traffic --

    @contextlib.asynccontextmanager
    async def phase(self, phase: Phase) -> AsyncIterator[None]:
        """Measure processor time and traffic with discovery during the context, and add them for a phase."""
        traffic_before = await self._cluster.discovery.traffic()
        cpu_before = self._cpu_seconds()
        begun_ns = time.monotonic_ns()
        yield
        ended_ns = time.monotonic_ns()
        cpu_after = self._cpu_seconds()
        traffic_after = await self._cluster.discovery.traffic()
        self._windows[phase] = Window(begun_ns, ended_ns)
        seconds = (ended_ns - begun_ns) / NS_PER_S
        for group, before in cpu_before.items():
            cpu_ms_per_s = [
                (after - earlier) * 1000 / seconds
                for earlier, after in zip(before, cpu_after[group], strict=True)
            ]
            self.add_row("processor time a second", phase, group, "ms", cpu_ms_per_s)
        for figure, count_of in TRAFFIC_FIGURES.items():
            for group, numbers in self.balancer_groups.items():
                rates = [
                    (count_of(traffic_after[number]) - count_of(traffic_before[number])) / seconds
                    for number in numbers
                ]
                self.add_row(figure, phase, group, "", rates)

    def _cpu_seconds(self) -> dict[Group, list[float]]:
        """Return the processor seconds used so far by each balancer and by discovery.

        For hollow balancers, these are the means of their processes.
        """
        cluster = self._cluster
        loaded = self._plan.loaded
        return {
            Group.REAL: [cpu_seconds(process) for process in cluster.real[loaded:]],
            Group.LOADED: [cpu_seconds(process) for process in cluster.real[:loaded]],
            Group.HOLLOW: [
                cpu_seconds(helper.process) / count
                for helper, count in zip(cluster.hollow, self._plan.hollow_counts, strict=True)
            ],
            Group.DISCOVERY: [cpu_seconds(cluster.discovery.process)],
        }

    # -- memory --

    def add_memory(self) -> None:
        """Add the memory of each balancer, now and at its peak."""
        real = [memory_of(process) for process in self._cluster.real]
        loaded = self._plan.loaded
        memory = {
            Group.REAL: real[loaded:],
            Group.LOADED: real[:loaded],
            Group.HOLLOW: self._hollow_memory(),
        }
        for group, memories in memory.items():
            self.add_row("memory now", Phase.END, group, "MB", [each.now for each in memories])
        for group, memories in memory.items():
            self.add_row("memory peak", Phase.END, group, "MB", [each.peak for each in memories])

    def _hollow_memory(self) -> list[Memory]:
        """Return the mean memory of a hollow balancer in each process, without that of the empty process."""
        means = []
        for helper, count in zip(self._cluster.hollow, self._plan.hollow_counts, strict=True):
            used = memory_of(helper.process)
            empty_mb = helper.baseline_rss_bytes / BYTES_PER_MB
            means.append(Memory((used.now - empty_mb) / count, (used.peak - empty_mb) / count))
        return means

    # -- the endpoint list --

    def add_list_figures(self, discovery: DiscoveryReport, hollow: Sequence[BalancerReport]) -> None:
        """Add how soon changes and full lists were in force, and the calls and lists that were rejected."""
        ended_ns = self._windows[Phase.SCENARIO].ended_ns
        versions = [
            version for version in analysis.adjust_for_outages(discovery) if version.at_ns <= ended_ns
        ]
        self.notes.append(f"{sum(version.rows for version in versions)} changes in {len(versions)} versions")
        for group, numbers in self.balancer_groups.items():
            callers = [discovery.callers[number] for number in numbers]
            delays_by_caller = [analysis.delays_by_calls(versions, caller) for caller in callers]
            delays = [delay for each in delays_by_caller for delay in each.delays_ms]
            missing_counts = [each.missing_rows for each in delays_by_caller]
            self.add_row("in force, by next call", Phase.SCENARIO, group, "ms", delays)
            self.add_row("changes never in force", Phase.SCENARIO, group, "", missing_counts)
            if discovery.outages:
                rejected = [caller.rejected for caller in callers]
                self.add_row("calls refused by discovery", Phase.SCENARIO, group, "", rejected)
            self._add_full_list_reading(discovery, group)
        delays = [delay for balancer in hollow for delay in analysis.delays_by_policy(versions, balancer)]
        self.add_row("in force, by module", Phase.SCENARIO, Group.HOLLOW, "ms", delays)
        full_list_delays_ms = [
            delay.total_ns / NS_PER_MS for delay in self.full_list_delays(discovery, hollow)
        ]
        self.add_row("whole list in force", Phase.ALL, Group.HOLLOW, "ms", full_list_delays_ms)
        self._add_policy_times(hollow)

    def _add_full_list_reading(self, discovery: DiscoveryReport, group: Group) -> None:
        """Add how long the reading of full lists took, and how many were rejected.

        Lists sent before the scenario and lists that no call followed are left out.
        """
        begun_ns = self._windows[Phase.SCENARIO].begun_ns
        read_ms = []
        rejected_counts = []
        for number in self.balancer_groups[group]:
            rejected = 0
            for response in discovery.callers[number].full_lists:
                if response.begun_ns < begun_ns or response.next_call_ns is None:
                    continue
                if response.accepted:
                    read_ms.append((response.next_call_ns - response.begun_ns) / NS_PER_MS)
                else:
                    rejected += 1
            rejected_counts.append(rejected)
        self.add_row("whole list read", Phase.ALL, group, "ms", read_ms)
        self.add_row("whole lists turned down", Phase.ALL, group, "", rejected_counts)

    def _add_policy_times(self, hollow: Sequence[BalancerReport]) -> None:
        """Add the time that the policy took to apply changes: those of a single row, and all.

        All rows of a zone or a full list arrive in one response; single changes show the time of one row.
        """
        window = self._windows[Phase.SCENARIO]
        changes = [
            change
            for balancer in hollow
            for change in balancer.changes
            if window.begun_ns <= change.begun_ns <= window.ended_ns
        ]
        single = [(change.done_ns - change.begun_ns) / NS_PER_MS for change in changes if change.rows == 1]
        all_changes = [(change.done_ns - change.begun_ns) / NS_PER_MS for change in changes]
        self.add_row("module's part of a single change", Phase.SCENARIO, Group.HOLLOW, "ms", single)
        self.add_row("module's part of that", Phase.SCENARIO, Group.HOLLOW, "ms", all_changes)

    def full_list_delays(
        self, discovery: DiscoveryReport, hollow: Sequence[BalancerReport]
    ) -> list[FullListDelay]:
        """Return the delay of each full list sent to a hollow balancer until it was in force there."""
        numbers = self.balancer_groups[Group.HOLLOW]
        return [
            delay
            for number, balancer in zip(numbers, hollow, strict=True)
            for delay in analysis.full_list_delays(discovery.callers[number], balancer)
        ]

    # -- requests --

    def add_request_figures(
        self, samples: Sequence[RequestSample], discovery: DiscoveryReport, tail_ns: int
    ) -> None:
        """Add the time that the loaded balancer added to requests, by phase, and those not served.

        The phase of full lists is the times in which a full list sent after the scenario may delay requests.

        Args:
            samples: The requests of the clients.
            discovery: The report of discovery; the loaded balancer is its first caller.
            tail_ns: The longest time from a call that follows a full list until that list was in force.
        """
        ended_ns = self._windows[Phase.SCENARIO].ended_ns
        responses = [response for response in discovery.callers[0].full_lists if response.begun_ns > ended_ns]
        windows = {phase: [window] for phase, window in self._windows.items()}
        windows[Phase.FULL_LIST] = analysis.full_list_windows(responses, tail_ns)
        for phase, phase_windows in windows.items():
            times = analysis.added_times(samples, phase_windows)
            self.add_row("time added to a request", phase, Group.LOADED, "ms", times.added_ms)
            self.add_row("requests not served", phase, Group.LOADED, "", [times.not_served])
