"""Times from the processes' reports: until changes and full lists were in force, and of requests."""

from __future__ import annotations

import bisect
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from scale_test.records import (
    NEVER_NS,
    BalancerReport,
    CallerRecord,
    DiscoveryReport,
    FullListAnswer,
    ListVersion,
    Outage,
    RequestSample,
)
from scale_test.report import WeightedValue
from scale_test.units import NS_PER_MS

FULL_LIST_TAIL_NS = 250 * NS_PER_MS  # a full list may delay requests for so long after it is in force


@dataclass(frozen=True)
class Window:
    """A span of time."""

    begun_ns: int
    ended_ns: int

    def overlaps(self, sample: RequestSample) -> bool:
        """Whether the request was open in this span."""
        return sample.sent_ns < self.ended_ns and sample.answered_ns > self.begun_ns


@dataclass(frozen=True)
class ChangeDelays:
    """From each change to the balancer's next call that names it, in ms, and how many rows have had none."""

    delays_ms: list[WeightedValue]
    missing_rows: int


@dataclass(frozen=True)
class FullListDelay:
    """How long a full list took until it was in force, and how much of that came after the next call."""

    in_force_ns: int
    after_next_call_ns: int


@dataclass(frozen=True)
class AddedTimes:
    """The time that the balancer added to each request, in ms, and the number that were not served."""

    added_ms: list[float]
    not_served: int


def effective_versions(report: DiscoveryReport) -> list[ListVersion]:
    """The versions in order; what changed while discovery was down counts from its return."""

    def effective_ns(at_ns: int, outages: Iterable[Outage]) -> int:
        for outage in outages:
            if outage.begun_ns <= at_ns < outage.ended_ns:
                return outage.ended_ns
        return at_ns

    return [
        replace(version, at_ns=effective_ns(version.at_ns, report.outages)) for version in report.versions
    ]


def delays_by_calls(versions: Sequence[ListVersion], caller: CallerRecord) -> ChangeDelays:
    """From each change to the balancer's next call that names its version or a newer one."""
    seen = caller.versions_seen
    delays_ms = []
    missing_rows = 0
    for version in versions:
        index = bisect.bisect_left(seen, version.version, key=lambda entry: entry.version)
        if index < len(seen):
            delay_ns = max(0, seen[index].at_ns - version.at_ns)
            delays_ms.append(WeightedValue(delay_ns / NS_PER_MS, version.rows))
        else:
            missing_rows += version.rows
    return ChangeDelays(delays_ms, missing_rows)


def delays_by_policy(versions: Sequence[ListVersion], balancer: BalancerReport) -> list[WeightedValue]:
    """From each change until it was in force, in ms, where a response held it.

    A long response is applied in slices, and only its end counts; a later and shorter one may be in force
    before that.
    """
    delays = []
    for version in versions:
        at_ns = in_force_ns(balancer, version.version)
        if at_ns is not None:
            delays.append(WeightedValue(max(0, at_ns - version.at_ns) / NS_PER_MS, version.rows))
    return delays


def in_force_ns(balancer: BalancerReport, version: int) -> int | None:
    """When the first response that holds this version was in force to its last row; None: never."""
    for answer in balancer.in_force:
        if answer.version >= version:
            return answer.at_ns if answer.at_ns < NEVER_NS else None
    return None


def full_list_delays(caller: CallerRecord, balancer: BalancerReport) -> list[FullListDelay]:
    """Of each full list that was followed by a call: how long it took until it was in force."""
    delays = []
    for answer in caller.full_lists:
        at_ns = in_force_ns(balancer, answer.version)
        if answer.next_call_ns is not None and at_ns is not None:
            delays.append(FullListDelay(at_ns - answer.begun_ns, max(0, at_ns - answer.next_call_ns)))
    return delays


def full_list_windows(answers: Iterable[FullListAnswer], tail_ns: int) -> list[Window]:
    """From the start of sending a full list to the next call, and beyond until it is in force."""
    return [
        Window(answer.begun_ns, answer.next_call_ns + tail_ns + FULL_LIST_TAIL_NS)
        for answer in answers
        if answer.next_call_ns is not None
    ]


def added_times(samples: Iterable[RequestSample], windows: Sequence[Window]) -> AddedTimes:
    """What the balancer added to requests that were open in one of these spans."""
    added_ms = []
    not_served = 0
    for sample in samples:
        if not any(window.overlaps(sample) for window in windows):
            continue
        if sample.added_ns is None:
            not_served += 1
        else:
            added_ms.append(sample.added_ns / NS_PER_MS)
    return AddedTimes(added_ms, not_served)
