"""Delays calculated from reports: of changes, of full lists and of requests."""

from __future__ import annotations

from scale_test import analysis
from scale_test.analysis import FullListDelay, Window
from scale_test.records import (
    NEVER_NS,
    BalancerReport,
    CallerRecord,
    DiscoveryReport,
    FullListResponse,
    ListVersion,
    Outage,
    RequestSample,
    ResponseInForce,
    VersionSeen,
)
from scale_test.report import WeightedValue
from scale_test.units import NS_PER_MS


def ms(value: int) -> int:
    return value * NS_PER_MS


# The version of each response, and when it was in force. Long responses are applied in slices, so that a
# later, shorter one may be in force earlier, as version 6 is before version 5.
RESPONSES = ((3, ms(50)), (5, ms(90)), (6, ms(60)), (9, NEVER_NS), (9, ms(99)))
BALANCER = BalancerReport([], [ResponseInForce(*response) for response in RESPONSES])
FULL_LISTS = [
    *(FullListResponse(ms(20), version, ms(70), True) for version in (5, 6, 8)),
    FullListResponse(ms(20), 3),
]


def test_a_change_is_in_force_when_its_first_response_is_all_applied() -> None:
    versions = [ListVersion(version, ms(10), version) for version in (2, 4, 5, 6, 8, 10)]
    delays = analysis.delays_by_policy(versions, BALANCER)
    assert delays == [WeightedValue(*delay) for delay in ((40, 2), (80, 4), (80, 5), (50, 6))]


def test_full_list_delays_include_the_part_after_the_next_call() -> None:
    delays = analysis.full_list_delays(CallerRecord(full_lists=FULL_LISTS), BALANCER)
    assert delays == [FullListDelay(ms(70), ms(20)), FullListDelay(ms(40), 0)]


def test_a_full_list_window_ends_some_time_after_the_list_is_in_force() -> None:
    responses = [FULL_LISTS[0], FULL_LISTS[3]]
    assert analysis.full_list_windows(responses, ms(20)) == [Window(ms(20), ms(340))]


def test_only_requests_open_in_a_window_count_as_served_or_not() -> None:
    samples = [
        RequestSample(ms(5), ms(10), ms(1)),  # ended as the window began
        RequestSample(ms(5), ms(11), ms(2)),
        RequestSample(ms(12), ms(30), None),
        RequestSample(ms(20), ms(30), ms(3)),  # sent as the window ended
    ]
    times = analysis.added_times(samples, [Window(ms(10), ms(20))])
    assert times == analysis.AddedTimes([2.0], 1)


def test_changes_made_in_an_outage_count_from_its_end() -> None:
    versions = [ListVersion(version, ms(at), 1) for version, at in ((2, 9), (3, 10), (4, 19), (5, 20))]
    report = DiscoveryReport([], versions, [Outage(ms(10), ms(20))])
    adjusted = analysis.adjust_for_outages(report)
    assert [version.at_ns for version in adjusted] == [ms(9), ms(20), ms(20), ms(20)]


def test_change_delays_end_at_the_first_call_with_that_or_a_newer_version() -> None:
    caller = CallerRecord(versions_seen=[VersionSeen(ms(15), 2), VersionSeen(ms(30), 4)])
    versions = [ListVersion(version, ms(10), version) for version in (2, 3, 5)]
    delays = analysis.delays_by_calls(versions, caller)
    assert delays == analysis.ChangeDelays([WeightedValue(5, 2), WeightedValue(20, 3)], 5)
