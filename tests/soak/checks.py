"""Checks the records of a run against the service rules, which `Rule` lists, within the tolerances below."""

from __future__ import annotations

from typing import NamedTuple

from tests.soak.balancer_process import DEDUPLICATION_WINDOW_S, STOP_SENDING_WITHIN_S
from tests.soak.kinds import DiscoveryCondition, RequestKind, Rule
from tests.soak.records import Attempt, ClientRequest, ListChange, Records
from tests.soak.schedule import Schedule

OK = 200
REJECTED = (429, 503)
SOCKET_SLACK_S = 0.05  # tolerance added to time limits that are measured on sockets
# A response up to this long after its deadline is late and earns nothing; after that, the request counts
# as unanswered.
LATE_RESPONSE_S = 0.5
GONE_CLIENT_GRACE_S = 0.1  # attempts may arrive up to this long after their client disconnected
BAD_CLIENT_TIMEOUT_S = 3.0  # the balancer must respond with an error or close within this time
LATE_AT_SHUTDOWN_S = 0.7  # a request sent later than this after SIGTERM must end before SIGKILL
# Time until the balancer counts as notified: from a change if it polls, from the end of a period in which
# discovery was down or slow, or from the start of a silent period if discovery pushes its lists.
MAX_NOTIFICATION_DELAY_S = 6.0
RELOAD_NOTIFICATION_DELAY_S = 4.0  # time until it counts as notified after a reload
NEVER_S = float("inf")


def check_requests(records: Records, schedule: Schedule) -> None:
    """Check that each request whose client waited got a response in time, a 200 only from an endpoint.

    `_check_closed_connection` and `_check_unfinished` say which requests may go without a response.
    """
    for request in records.requests:
        if request.status is not None:
            _check_response(records, request)
        elif request.ended_s is not None:
            _check_closed_connection(records, schedule, request)
        elif (
            request.disconnected_s is not None
            and request.disconnected_s > request.deadline_s + LATE_RESPONSE_S
        ):
            records.add_violation(Rule.UNANSWERED, "no response", request.id, request.disconnected_s)
        elif request.disconnected_s is None:
            _check_unfinished(records, request)


def _check_response(records: Records, request: ClientRequest) -> None:
    assert request.ended_s is not None
    late_s = request.ended_s - request.deadline_s
    if late_s > LATE_RESPONSE_S + SOCKET_SLACK_S + records.max_lag_near(request.ended_s):
        records.add_violation(
            Rule.UNANSWERED, f"answered {late_s:.3f} s after the deadline", request.id, request.ended_s
        )
    if request.status == OK and request.body not in records.served_bodies:
        records.add_violation(Rule.INVENTED_RESPONSE, repr(request.body), request.id, request.ended_s)
    may_have_run = any(attempt.may_have_run for attempt in records.attempts.get(request.id, ()))
    if request.status in REJECTED and request.kind is RequestKind.PAY and may_have_run:
        records.add_violation(
            Rule.DUPLICATE, "rejected although an attempt may have run", request.id, request.ended_s
        )


def _check_closed_connection(records: Records, schedule: Schedule, request: ClientRequest) -> None:
    """Check a request whose connection ended without a complete response.

    The request counts as lost, with two exceptions: its response had begun, or it had reached no endpoint and
    either the run has a connection flood or the request was sent on a reused connection, which the balancer
    may have closed without reading the request.
    """
    assert request.ended_s is not None
    reached_endpoint = request.id in records.attempts
    if request.response_begun:
        return  # the client can tell that the response is not complete
    if not reached_endpoint and (not request.on_new_connection or schedule.has_connection_flood):
        return
    records.add_violation(Rule.LOST, "connection ended without a response", request.id, request.ended_s)


def _check_unfinished(records: Records, request: ClientRequest) -> None:
    """Check a request that was still unanswered at SIGKILL.

    This breaks a rule only if the request was sent more than `LATE_AT_SHUTDOWN_S` after SIGTERM.
    """
    if records.terminations_s and request.sent_s > records.terminations_s[0] + LATE_AT_SHUTDOWN_S:
        records.add_violation(Rule.LATE_AT_SHUTDOWN, "unanswered at SIGKILL", request.id)


def check_attempts(records: Records, schedule: Schedule) -> None:
    """Check where, when and how often requests reached endpoints."""
    requests = {request.id: request for request in records.requests}
    notifications_by_endpoint = _notifications_by_endpoint(records, schedule)
    for request_id, attempts in records.attempts.items():
        request = requests.get(request_id)
        if request is None:
            records.add_violation(
                Rule.DUPLICATE,
                "attempt for a request that no client sent",
                request_id,
                attempts[0].received_s,
            )
            continue
        _check_duplicates(records, request, attempts)
        for attempt in attempts:
            _check_gone_client(records, request, attempt)
            _check_drain(records, notifications_by_endpoint.get(attempt.endpoint, []), attempt)


def _check_duplicates(records: Records, request: ClientRequest, attempts: list[Attempt]) -> None:
    """Check that no attempt repeats one that may have run, except within the deduplication window."""
    first = next((attempt for attempt in attempts if attempt.may_have_run), None)
    if first is None or request.kind is RequestKind.READ:
        return
    for later in attempts[attempts.index(first) + 1 :]:
        age_s = later.received_s - first.received_s
        allowed_s = DEDUPLICATION_WINDOW_S + SOCKET_SLACK_S + records.max_lag_near(later.received_s)
        if request.kind is RequestKind.PAY or age_s > allowed_s:
            text = f"{request.kind} again {age_s:.3f} s after an attempt that may have run"
            records.add_violation(Rule.DUPLICATE, text, request.id, later.received_s)


def _check_gone_client(records: Records, request: ClientRequest, attempt: Attempt) -> None:
    if request.disconnected_s is None:
        return
    after_s = attempt.received_s - request.disconnected_s
    if after_s > GONE_CLIENT_GRACE_S + records.max_lag_near(attempt.received_s):
        text = f"attempt {after_s:.3f} s after the client disconnected"
        records.add_violation(Rule.GONE_CLIENT, text, request.id, attempt.received_s)


class Notification(NamedTuple):
    """A change of an endpoint, and from when the balancer counts as notified of it."""

    change: ListChange
    notified_s: float


class DegradedPeriod(NamedTuple):
    """A period in which discovery was down, slow or silent."""

    begin_s: float
    end_s: float
    condition: DiscoveryCondition


def _notifications_by_endpoint(records: Records, schedule: Schedule) -> dict[int, list[Notification]]:
    by_endpoint: dict[int, list[Notification]] = {}
    for change in records.changes:
        notification = Notification(change, _notified_s(records, schedule, change))
        by_endpoint.setdefault(change.endpoint, []).append(notification)
    return by_endpoint


def _notified_s(records: Records, schedule: Schedule, change: ListChange) -> float:
    written = [write.written_at_s for write in records.writes if write.version >= change.version]
    return min([*written, _latest_notification_s(records, schedule, change)])


def _latest_notification_s(records: Records, schedule: Schedule, change: ListChange) -> float:
    """Return when the balancer counts as notified of a change even if discovery wrote no list with it."""
    latest_s = change.at_s if schedule.pushes else change.at_s + MAX_NOTIFICATION_DELAY_S
    for degraded_period in _degraded_periods(records):
        silence_detected_s = degraded_period.begin_s + MAX_NOTIFICATION_DELAY_S
        if (
            degraded_period.condition is DiscoveryCondition.SILENT
            and degraded_period.begin_s <= change.at_s < silence_detected_s
        ):
            latest_s = max(latest_s, silence_detected_s if schedule.pushes else NEVER_S)
        elif degraded_period.begin_s <= change.at_s < degraded_period.end_s:
            latest_s = max(latest_s, degraded_period.end_s + MAX_NOTIFICATION_DELAY_S)
    for reload_s in records.reloads_s:
        if reload_s - SOCKET_SLACK_S <= latest_s < reload_s + RELOAD_NOTIFICATION_DELAY_S or (
            abs(reload_s - change.at_s) < STOP_SENDING_WITHIN_S
        ):
            latest_s = reload_s + RELOAD_NOTIFICATION_DELAY_S
    return latest_s


def _degraded_periods(records: Records) -> list[DegradedPeriod]:
    ends_s = [later.at_s for later in records.conditions[1:]] + [NEVER_S]
    return [
        DegradedPeriod(change.at_s, end_s, change.condition)
        for change, end_s in zip(records.conditions, ends_s, strict=False)
        if change.condition is not DiscoveryCondition.UP
    ]


def _check_drain(records: Records, notifications: list[Notification], attempt: Attempt) -> None:
    """Check that the attempt did not reach a draining or removed endpoint after its grace period.

    The grace period lasts `STOP_SENDING_WITHIN_S` from when the balancer counts as notified.
    """
    earlier = [candidate for candidate in notifications if candidate.change.at_s <= attempt.received_s]
    if not earlier or earlier[-1].change.accepts_requests:
        return
    since_s = attempt.received_s - earlier[-1].notified_s
    if since_s > STOP_SENDING_WITHIN_S + SOCKET_SLACK_S + records.max_lag_near(attempt.received_s):
        text = f"attempt at endpoint {attempt.endpoint} {since_s:.3f} s after the notification of its drain"
        records.add_violation(Rule.DRAIN, text, attempt.request_id, attempt.received_s)


def check_bad_clients(records: Records) -> None:
    """Check that each bad client got an error or a close within `BAD_CLIENT_TIMEOUT_S`."""
    for bad_client in records.bad_clients:
        allowed_s = (
            bad_client.connected_s
            + BAD_CLIENT_TIMEOUT_S
            + SOCKET_SLACK_S
            + records.max_lag_near(bad_client.connected_s)
        )
        if bad_client.ended_s is None or bad_client.ended_s > allowed_s + records.max_lag_near(
            bad_client.ended_s
        ):
            records.add_violation(
                Rule.BAD_CLIENT, f"{bad_client.name} got neither an error nor a close", "", allowed_s
            )
