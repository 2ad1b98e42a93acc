"""The figures of an experiment, measured on its processes and taken from their reports."""

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
    """Resident memory of a balancer, in MB."""

    now: float
    peak: float


def cpu_seconds(process: ChildProcess) -> float:
    """Processor seconds of a process so far."""
    times = psutil.Process(process.pid).cpu_times()
    return float(times.user + times.system)


def memory_of(process: ChildProcess) -> Memory:
    """Resident memory of a process now and at its peak."""
    now = psutil.Process(process.pid).memory_info().rss
    return Memory(now / BYTES_PER_MB, peak_resident_bytes(process.pid) / BYTES_PER_MB)


class Measurements:
    """Collects the rows of the report and notes to them."""

    def __init__(self, cluster: Cluster) -> None:
        self.rows: list[Row] = []
        self.notes: list[str] = []
        self._plan = cluster.plan
        self._cluster = cluster
        self._windows: dict[Phase, Window] = {}

    @property
    def balancer_groups(self) -> dict[Group, range]:
        """The balancers' numbers by group."""
        plan = self._plan
        return {
            Group.REAL: range(plan.loaded, plan.real),
            Group.LOADED: range(plan.loaded),
            Group.HOLLOW: range(plan.real, plan.balancers),
        }

    def add(
        self, figure: str, phase: Phase, group: Group, unit: str, values: Iterable[float | WeightedValue]
    ) -> None:
        """Add a row."""
        self.rows.append(summarize(figure, phase, group, unit, values))

    def add_start_times(self, times: StartTimes) -> None:
        """Add how long the balancers took until they were ready."""
        self.add("time to ready", Phase.START, Group.REAL, "s", times.real_s)
        self.add("time to ready", Phase.START, Group.HOLLOW, "s", times.hollow_s)

    # -- processor time and traffic --

    @contextlib.asynccontextmanager
    async def phase(self, phase: Phase) -> AsyncIterator[None]:
        """Measure processor time and calls to discovery within the context."""
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
            spent = [
                (after - earlier) * 1000 / seconds
                for earlier, after in zip(before, cpu_after[group], strict=True)
            ]
            self.add("processor time a second", phase, group, "ms", spent)
        for figure, count_of in TRAFFIC_FIGURES.items():
            for group, numbers in self.balancer_groups.items():
                rates = [
                    (count_of(traffic_after[number]) - count_of(traffic_before[number])) / seconds
                    for number in numbers
                ]
                self.add(figure, phase, group, "", rates)

    def _cpu_seconds(self) -> dict[Group, list[float]]:
        """Processor seconds of each balancer so far; a hollow one's are its part of its process."""
        cluster = self._cluster
        loaded = self._plan.loaded
        return {
            Group.REAL: [cpu_seconds(process) for process in cluster.real[loaded:]],
            Group.LOADED: [cpu_seconds(process) for process in cluster.real[:loaded]],
            Group.HOLLOW: [
                cpu_seconds(helper.process) / share
                for helper, share in zip(cluster.hollow, self._plan.hollow_shares, strict=True)
            ],
            Group.DISCOVERY: [cpu_seconds(cluster.discovery.process)],
        }

    # -- memory --

    def add_memory(self) -> None:
        """Add the memory of each balancer."""
        real = [memory_of(process) for process in self._cluster.real]
        loaded = self._plan.loaded
        memory = {
            Group.REAL: real[loaded:],
            Group.LOADED: real[:loaded],
            Group.HOLLOW: self._hollow_memory(),
        }
        for group, seen in memory.items():
            self.add("memory now", Phase.END, group, "MB", [each.now for each in seen])
        for group, seen in memory.items():
            self.add("memory peak", Phase.END, group, "MB", [each.peak for each in seen])

    def _hollow_memory(self) -> list[Memory]:
        """A hollow balancer's part of its process, less what the process had before it held any."""
        found = []
        for helper, share in zip(self._cluster.hollow, self._plan.hollow_shares, strict=True):
            used = memory_of(helper.process)
            empty = helper.baseline_rss_bytes / BYTES_PER_MB
            found.append(Memory((used.now - empty) / share, (used.peak - empty) / share))
        return found

    # -- the list --

    def add_list_figures(self, discovery: DiscoveryReport, hollow: Sequence[BalancerReport]) -> None:
        """Add how fast changes and full lists were in force."""
        ended_ns = self._windows[Phase.SCENARIO].ended_ns
        versions = [
            version for version in analysis.effective_versions(discovery) if version.at_ns <= ended_ns
        ]
        self.notes.append(f"{sum(version.rows for version in versions)} changes in {len(versions)} versions")
        for group, numbers in self.balancer_groups.items():
            callers = [discovery.callers[number] for number in numbers]
            found = [analysis.delays_by_calls(versions, caller) for caller in callers]
            delays = [delay for each in found for delay in each.delays_ms]
            missing = [each.missing_rows for each in found]
            self.add("in force, by next call", Phase.SCENARIO, group, "ms", delays)
            self.add("changes never in force", Phase.SCENARIO, group, "", missing)
            if discovery.outages:
                rejected = [caller.rejected for caller in callers]
                self.add("calls refused by discovery", Phase.SCENARIO, group, "", rejected)
            self._add_full_list_reading(discovery, group)
        delays = [delay for balancer in hollow for delay in analysis.delays_by_policy(versions, balancer)]
        self.add("in force, by module", Phase.SCENARIO, Group.HOLLOW, "ms", delays)
        full_lists = [delay.in_force_ns / NS_PER_MS for delay in self.full_list_delays(discovery, hollow)]
        self.add("whole list in force", Phase.ALL, Group.HOLLOW, "ms", full_lists)
        self._add_policy_times(hollow)

    def _add_full_list_reading(self, discovery: DiscoveryReport, group: Group) -> None:
        """Add how long full lists took to read since the scenario began, and how many were rejected."""
        begun_ns = self._windows[Phase.SCENARIO].begun_ns
        read_ms = []
        rejected_counts = []
        for number in self.balancer_groups[group]:
            rejected = 0
            for answer in discovery.callers[number].full_lists:
                if answer.begun_ns < begun_ns or answer.next_call_ns is None:
                    continue
                if answer.accepted:
                    read_ms.append((answer.next_call_ns - answer.begun_ns) / NS_PER_MS)
                else:
                    rejected += 1
            rejected_counts.append(rejected)
        self.add("whole list read", Phase.ALL, group, "ms", read_ms)
        self.add("whole lists turned down", Phase.ALL, group, "", rejected_counts)

    def _add_policy_times(self, hollow: Sequence[BalancerReport]) -> None:
        """Add how long the policy took over changes.

        The rows of a zone or a full list arrive in one response; single changes show the time of one row.
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
        self.add("module's part of a single change", Phase.SCENARIO, Group.HOLLOW, "ms", single)
        self.add("module's part of that", Phase.SCENARIO, Group.HOLLOW, "ms", all_changes)

    def full_list_delays(
        self, discovery: DiscoveryReport, hollow: Sequence[BalancerReport]
    ) -> list[FullListDelay]:
        """How long each full list took at the hollow balancers until it was in force."""
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
        """Add what the loaded balancer added to requests, and to those open while it read a full list.

        Args:
            samples: The clients' requests.
            discovery: What discovery reported; the loaded balancer is its first caller.
            tail_ns: How long after the next call a full list is in force at most.
        """
        ended_ns = self._windows[Phase.SCENARIO].ended_ns
        answers = [answer for answer in discovery.callers[0].full_lists if answer.begun_ns > ended_ns]
        windows = {phase: [window] for phase, window in self._windows.items()}
        windows[Phase.FULL_LIST] = analysis.full_list_windows(answers, tail_ns)
        for phase, spans in windows.items():
            times = analysis.added_times(samples, spans)
            self.add("time added to a request", phase, Group.LOADED, "ms", times.added_ms)
            self.add("requests not served", phase, Group.LOADED, "", [times.not_served])
