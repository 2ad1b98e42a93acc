"""Attempts: forwards pending requests to endpoints and reports how each attempt ended.

A request has at most one attempt in flight. Each `Forward` of the policy is answered by exactly one
`AttemptEnded`, also where nothing was sent.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from loadbalancer.messages import AttemptEnded, AttemptResult, CancelAttempt, Forward
from loadbalancer.proxy.connection_pool import ConnectionPool
from loadbalancer.proxy.exchange import Exchange
from loadbalancer.proxy.http import Message, write_request
from loadbalancer.proxy.load_report import parse_load_report
from loadbalancer.proxy.pending_requests import PendingRequest, PendingRequests
from loadbalancer.proxy.wire_names import (
    DEADLINE_MS_HEADER,
    DECLINED_HEADER,
    FLAG_SET,
    FORWARDED_DEADLINE_MS_HEADER,
    LOAD_REPORT_HEADER,
)
from loadbalancer.units import NANOSECONDS_PER_MILLISECOND, NANOSECONDS_PER_SECOND

# A second response to one request may come some milliseconds late, and must not pass for the response to the
# next one. So long a connection is left alone after a response; whatever comes on it meanwhile closes it.
QUARANTINE_S = 0.01
OK_STATUS = 200
DECLINED_STATUSES = (503, 504)


class Attempts:
    """Carries out the attempts of all pending requests."""

    def __init__(
        self,
        pending_requests: PendingRequests,
        connection_pool: Callable[[int], ConnectionPool | None],
        on_ended: Callable[[AttemptEnded], None],
        max_attempts: int,
        read_load_reports: bool,
    ) -> None:
        """Set up the attempts.

        Args:
            pending_requests: The requests that may be forwarded.
            connection_pool: Gives the connections to an endpoint, None where nothing new may be sent to it.
            on_ended: Is called once for each `Forward`.
            max_attempts: How often one request may be forwarded.
            read_load_reports: Whether endpoints put their load reports into their responses.
        """
        self.pending_requests = pending_requests
        self._connection_pool = connection_pool
        self._on_ended = on_ended
        self._max_attempts = max_attempts
        self._read_load_reports = read_load_reports

    def forward(self, action: Forward, decided_ns: int) -> None:
        """Start an attempt, or report that it was not sent.

        Args:
            action: What the policy decided.
            decided_ns: The time of that decision, from which the attempt's timeout counts: a stall since then
                must not put the timeout off past the deadline, so that the policy hears of it in time.
        """
        now_ns = time.monotonic_ns()
        pending = self.pending_requests.get(action.request_id)
        pool = self._connection_pool(action.endpoint_id)
        if pending is None:
            self._report_not_sent(action, 0, request_complete=True)
            return
        number = pending.attempt_count
        pending.attempt_count += 1
        end_ns = pending.deadline_ns
        if action.timeout_ns:
            end_ns = min(end_ns, decided_ns + action.timeout_ns)
        may_start = pending.exchange is None and end_ns > now_ns and number < self._max_attempts
        if not may_start or pool is None or not pool.accepts_requests:
            self._report_not_sent(action, number, request_complete=False)
            return
        attempt = AttemptInFlight(self, pending, number, action.endpoint_id, now_ns, end_ns)
        pending.exchange = Exchange(
            pool, attempt.serialize, attempt.on_ended, is_wanted=attempt.is_wanted, quarantine_s=QUARANTINE_S
        )
        pending.exchange.start(end_ns / NANOSECONDS_PER_SECOND)

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt if it is the one in flight."""
        pending = self.pending_requests.get(action.request_id)
        if pending is None or pending.exchange is None:
            return
        if action.attempt == pending.attempt_count - 1:
            pending.exchange.finish(AttemptResult.CANCELLED)

    def cancel_unsent(self) -> None:
        """End the attempts that wait for a connection to an endpoint that is draining or removed.

        No first byte may go there, also not where the connection is up.
        """
        for pending in self.pending_requests.snapshot():
            exchange = pending.exchange
            if exchange is not None and exchange.unsent and not exchange.pool.accepts_requests:
                exchange.finish(AttemptResult.NOT_SENT)

    def on_attempt_ended(
        self, attempt: AttemptInFlight, result: AttemptResult, response: Message | None, elapsed_ns: int
    ) -> None:
        """Answer the client if the attempt succeeded, and report the result."""
        pending = attempt.pending_request
        pending.exchange = None
        report = None
        if response is not None:
            result = response_result(response)
            if result is AttemptResult.OK:
                headers = [header for header in response.end_to_end() if header[0] != LOAD_REPORT_HEADER]
                self.pending_requests.finish(pending, OK_STATUS, headers, response.body)
            if self._read_load_reports:
                report = parse_load_report(response.header(LOAD_REPORT_HEADER))
        self._on_ended(
            AttemptEnded(
                pending.id, attempt.number, attempt.endpoint_id, result, elapsed_ns, pending.finished, report
            )
        )

    def _report_not_sent(self, action: Forward, number: int, *, request_complete: bool) -> None:
        self._on_ended(
            AttemptEnded(
                action.request_id, number, action.endpoint_id, AttemptResult.NOT_SENT, 0, request_complete
            )
        )


@dataclass(slots=True, eq=False)
class AttemptInFlight:
    """One attempt, from its start to its result; times on the monotonic clock."""

    attempts: Attempts
    pending_request: PendingRequest
    number: int
    endpoint_id: int
    started_ns: int
    end_ns: int

    def serialize(self) -> bytes:
        """Give the request's bytes; called when they are written, so that they tell the time left then."""
        request = self.pending_request.request
        left_ms = (self.end_ns - time.monotonic_ns()) // NANOSECONDS_PER_MILLISECOND
        headers = [header for header in request.end_to_end() if header[0] != DEADLINE_MS_HEADER]
        headers.append((FORWARDED_DEADLINE_MS_HEADER, b"%d" % max(1, left_ms)))
        return write_request(request.method, request.target, headers, request.body)

    def is_wanted(self) -> bool:
        """Whether the client still waits, also where its disconnect has not been read yet.

        It is unread if it came in the present turn of the event loop, or while reading is paused.
        """
        client = self.pending_request.client
        if client.has_disconnected:
            self.attempts.pending_requests.on_disconnect(client)
        return not self.pending_request.finished

    def on_ended(self, result: AttemptResult, response: Message | None) -> None:
        """Take the result, or the response whatever its status."""
        elapsed_ns = time.monotonic_ns() - self.started_ns
        self.attempts.on_attempt_ended(self, result, response, elapsed_ns)


def response_result(response: Message) -> AttemptResult:
    """Tell the result from a response: only a 503 or 504 marked as declined proves that nothing ran."""
    if response.status == OK_STATUS:
        return AttemptResult.OK
    if response.status in DECLINED_STATUSES and response.header(DECLINED_HEADER) == FLAG_SET:
        return AttemptResult.REJECTED
    return AttemptResult.ERROR
