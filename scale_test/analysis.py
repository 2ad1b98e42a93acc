"""Delays calculated from the processes' reports: of changes and full lists, and of requests."""

from __future__ import annotations

import bisect
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from scale_test.records import (
    NEVER_NS,
    BalancerReport,
    CallerRecord,
    DiscoveryReport,
    FullListResponse,
    ListVersion,
    Outage,
    RequestSample,
)
from scale_test.report import WeightedValue
from scale_test.units import NS_PER_MS

FULL_LIST_TAIL_NS = 250 * NS_PER_MS  # how long a full list that is in force may still delay requests


@dataclass(frozen=True)
class Window:
    """A span of time."""

    begun_ns: int
    ended_ns: int

    def overlaps(self, sample: RequestSample) -> bool:
        """Return whether the request was open at some time in this window."""
        return sample.sent_ns < self.ended_ns and sample.answered_ns > self.begun_ns


@dataclass(frozen=True)
class ChangeDelays:
    """Delays in ms of changes until a call of the balancer showed them, and the rows that no call showed."""

    delays_ms: list[WeightedValue]
    missing_rows: int


@dataclass(frozen=True)
class FullListDelay:
    """The time until a full list was in force, and the part of it after the balancer's next call."""

    total_ns: int
    after_next_call_ns: int


@dataclass(frozen=True)
class AddedTimes:
    """The time that the balancer added to each served request, in ms, and the number not served."""

    added_ms: list[float]
    not_served: int


def adjust_for_outages(report: DiscoveryReport) -> list[ListVersion]:
    """Return the list's versions in order; those made while discovery was down get the time of its return."""

    def adjusted_ns(at_ns: int, outages: Iterable[Outage]) -> int:
        for outage in outages:
            if outage.begun_ns <= at_ns < outage.ended_ns:
                return outage.ended_ns
        return at_ns

    return [replace(version, at_ns=adjusted_ns(version.at_ns, report.outages)) for version in report.versions]


def delays_by_calls(versions: Sequence[ListVersion], caller: CallerRecord) -> ChangeDelays:
    """Return the delay of each change until the balancer first called with its version or a newer one."""
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
    """Return the delay in ms of each change until it was in force; changes that never were are left out.

    A long response is applied in slices, and is in force once the last slice is applied; a later, shorter
    response may be in force earlier.
    """
    delays = []
    for version in versions:
        at_ns = in_force_ns(balancer, version.version)
        if at_ns is not None:
            delays.append(WeightedValue(max(0, at_ns - version.at_ns) / NS_PER_MS, version.rows))
    return delays


def in_force_ns(balancer: BalancerReport, version: int) -> int | None:
    """Return when the last row of the first response with this version or a newer one was in force.

    None: there was no such response, or it was not in force when the experiment ended.
    """
    for response in balancer.in_force:
        if response.version >= version:
            return response.at_ns if response.at_ns < NEVER_NS else None
    return None


def full_list_delays(caller: CallerRecord, balancer: BalancerReport) -> list[FullListDelay]:
    """Return the delay of each full list until it was in force.

    Lists that no call followed and lists that were never in force are left out.
    """
    delays = []
    for response in caller.full_lists:
        at_ns = in_force_ns(balancer, response.version)
        if response.next_call_ns is not None and at_ns is not None:
            delays.append(FullListDelay(at_ns - response.begun_ns, max(0, at_ns - response.next_call_ns)))
    return delays


def full_list_windows(responses: Iterable[FullListResponse], tail_ns: int) -> list[Window]:
    """Return the windows in which full lists may delay requests; lists that no call followed are left out.

    A window begins when discovery begins to send the list, and ends FULL_LIST_TAIL_NS after the list is in
    force. That is taken to be `tail_ns` after the balancer's next call.
    """
    return [
        Window(response.begun_ns, response.next_call_ns + tail_ns + FULL_LIST_TAIL_NS)
        for response in responses
        if response.next_call_ns is not None
    ]


def added_times(samples: Iterable[RequestSample], windows: Sequence[Window]) -> AddedTimes:
    """Return the time that the balancer added to each request that was open in one of these windows."""
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
