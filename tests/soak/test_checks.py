"""The checks of the soak test report each broken rule, and nothing when all rules are kept."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from tests.soak.checks import check_attempts, check_bad_clients, check_requests
from tests.soak.kinds import AttemptOutcome, DiscoveryCondition, RequestKind, Rule
from tests.soak.records import Attempt, BadClient, ClientRequest, ConditionChange, ListChange, Records
from tests.soak.schedule import draw_schedule
from tests.support.fake_discovery import DiscoveryWrite

SENT_S = 100.0
CHANGED_S = 99.0
SCHEDULE = replace(draw_schedule(1), pushes=True, has_connection_flood=False)
POLLING_SCHEDULE = replace(SCHEDULE, pushes=False)

RecordsEdit = Callable[[Records], None]


def request_sent(kind: RequestKind = RequestKind.READ) -> ClientRequest:
    return ClientRequest("1", kind, SENT_S, SENT_S + 1.0, on_new_connection=True)


def attempt_at(
    received_s: float, outcome: AttemptOutcome | None = AttemptOutcome.SERVED, endpoint: int = 0
) -> Attempt:
    return Attempt("1", endpoint, received_s, is_open=lambda: False, outcome=outcome)


def records_of(request: ClientRequest, *attempts: Attempt) -> Records:
    records = Records(requests=[request])
    if attempts:
        records.attempts["1"] = list(attempts)
    return records


def broken_rules(records: Records, pushes: bool = True) -> list[Rule]:
    schedule = SCHEDULE if pushes else POLLING_SCHEDULE
    check_requests(records, schedule)
    check_attempts(records, schedule)
    check_bad_clients(records)
    return [violation.rule for violation in records.violations]


def served_request(kind: RequestKind = RequestKind.READ, answered_s: float = SENT_S + 0.1) -> ClientRequest:
    request = request_sent(kind)
    request.record_response(200, "body", answered_s)
    return request


def records_of_served(*attempts: Attempt, kind: RequestKind = RequestKind.READ) -> Records:
    records = records_of(served_request(kind), *(attempts or [attempt_at(SENT_S)]))
    records.served_bodies.add("body")
    return records


def test_a_request_that_an_endpoint_served_in_time_breaks_no_rule() -> None:
    assert broken_rules(records_of_served()) == []


def test_a_response_that_no_endpoint_made_counts_as_invented() -> None:
    assert broken_rules(records_of(served_request(), attempt_at(SENT_S))) == [Rule.INVENTED_RESPONSE]


@pytest.mark.parametrize(("answered_s", "rules"), [(101.5, []), (101.6, [Rule.UNANSWERED])])
def test_a_response_long_after_its_deadline_counts_as_unanswered(
    answered_s: float, rules: list[Rule]
) -> None:
    records = records_of(served_request(answered_s=answered_s), attempt_at(SENT_S))
    records.served_bodies.add("body")
    assert broken_rules(records) == rules


def test_a_request_without_a_response_counts_as_unanswered() -> None:
    request = request_sent()
    request.record_disconnect(request.deadline_s + 1.0)
    assert broken_rules(records_of(request)) == [Rule.UNANSWERED]


@pytest.mark.parametrize(
    ("on_new_connection", "reached_endpoint", "rules"),
    [(True, False, [Rule.LOST]), (False, True, [Rule.LOST]), (False, False, [])],
)
def test_a_closed_connection_loses_its_request_unless_reused_and_unread(
    on_new_connection: bool, reached_endpoint: bool, rules: list[Rule]
) -> None:
    request = replace(request_sent(), on_new_connection=on_new_connection)
    request.record_end(SENT_S + 0.1)
    assert broken_rules(records_of(request, *[attempt_at(SENT_S)] * reached_endpoint)) == rules


@pytest.mark.parametrize(("sent_after_s", "rules"), [(0.6, []), (0.8, [Rule.LATE_AT_SHUTDOWN])])
def test_a_request_sent_late_and_unanswered_at_sigkill_breaks_a_rule(
    sent_after_s: float, rules: list[Rule]
) -> None:
    records = records_of(request_sent())
    records.terminations_s.append(SENT_S - sent_after_s)
    assert broken_rules(records) == rules


@pytest.mark.parametrize(
    ("kind", "first_outcome", "second_s", "rules"),
    [
        (RequestKind.READ, None, SENT_S + 5.0, []),
        (RequestKind.PAY, AttemptOutcome.DECLINED, SENT_S + 0.2, []),
        (RequestKind.PAY, AttemptOutcome.RESET, SENT_S + 0.2, [Rule.DUPLICATE]),
        (RequestKind.BOOK, AttemptOutcome.RESET, SENT_S + 1.2, []),
        (RequestKind.BOOK, AttemptOutcome.RESET, SENT_S + 1.3, [Rule.DUPLICATE]),
    ],
)
def test_which_repeated_attempts_count_as_duplicates(
    kind: RequestKind, first_outcome: AttemptOutcome | None, second_s: float, rules: list[Rule]
) -> None:
    attempts = attempt_at(SENT_S, first_outcome), attempt_at(second_s)
    assert broken_rules(records_of_served(*attempts, kind=kind)) == rules


def test_rejecting_an_unsafe_request_that_may_have_run_breaks_a_rule() -> None:
    request = request_sent(RequestKind.PAY)
    request.record_response(503, "", SENT_S + 0.1)
    assert broken_rules(records_of(request, attempt_at(SENT_S, AttemptOutcome.RESET))) == [Rule.DUPLICATE]


@pytest.mark.parametrize(("after_s", "rules"), [(0.09, []), (0.11, [Rule.GONE_CLIENT])])
def test_an_attempt_after_its_client_disconnected_breaks_a_rule(after_s: float, rules: list[Rule]) -> None:
    request = request_sent()
    request.record_disconnect(SENT_S)
    assert broken_rules(records_of(request, attempt_at(SENT_S + after_s))) == rules


def leave_unchanged(_records: Records) -> None:
    """Leave the records as they are."""


def write_list(records: Records) -> None:
    """Record that discovery wrote the change 1 s after it was made."""
    records.writes.append(DiscoveryWrite(CHANGED_S + 1.0, version=2))


def silence_discovery(records: Records) -> None:
    """Record that discovery is silent from 0.5 s before the change."""
    records.conditions.append(ConditionChange(CHANGED_S - 0.5, DiscoveryCondition.SILENT))


def reload_before(records: Records) -> None:
    """Record a SIGHUP 1 s before the change."""
    records.reloads_s.append(CHANGED_S - 1.0)


@pytest.mark.parametrize(
    ("pushes", "edit", "notified_after_s"),
    [
        (True, leave_unchanged, 0.0),
        (False, leave_unchanged, 6.0),
        (False, write_list, 1.0),
        (True, silence_discovery, 5.5),
        (True, reload_before, 3.0),
    ],
)
def test_an_attempt_after_the_grace_period_of_a_drain_breaks_a_rule(
    pushes: bool, edit: RecordsEdit, notified_after_s: float
) -> None:
    for late_s, rules in ((0.29, []), (0.31, [Rule.DRAIN])):
        records = records_of_served(attempt_at(CHANGED_S + notified_after_s + late_s))
        records.changes.append(ListChange(CHANGED_S, 2, endpoint=0, accepts_requests=False))
        edit(records)
        assert broken_rules(records, pushes) == rules


def test_a_bad_client_without_an_error_or_a_close_breaks_a_rule() -> None:
    records = Records(bad_clients=[BadClient("nothing", SENT_S), BadClient("garbage", SENT_S, SENT_S + 2.9)])
    assert broken_rules(records) == [Rule.BAD_CLIENT]
