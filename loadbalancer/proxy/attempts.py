"""Attempts: forwards pending requests to endpoints, and reports how each attempt ended.

A request has at most one attempt in flight. Each `Forward` of the policy is followed by exactly one
`AttemptEnded`, even if nothing was sent.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from loadbalancer.messages import AttemptEnded, AttemptResult, CancelAttempt, Forward
from loadbalancer.proxy.connection_pool import ConnectionPool
from loadbalancer.proxy.exchange import QUARANTINE_S, Exchange
from loadbalancer.proxy.http import Message, write_request
from loadbalancer.proxy.http_status import GATEWAY_TIMEOUT, OK, SERVICE_UNAVAILABLE
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

# Response statuses with which an endpoint rejects a request, if the response also has the declined header.
DECLINED_STATUSES = (SERVICE_UNAVAILABLE, GATEWAY_TIMEOUT)

MIN_FORWARDED_DEADLINE_MS = 1


class Attempts:
    """Carries out the attempts of all pending requests."""

    def __init__(
        self,
        pending_requests: PendingRequests,
        connection_pool: Callable[[int], ConnectionPool | None],
        on_ended: Callable[[AttemptEnded], None],
        max_attempts: int,
        *,
        read_load_reports: bool,
    ) -> None:
        """Set up the attempts.

        Args:
            pending_requests: The requests that may be forwarded.
            connection_pool: Returns the connection pool of an endpoint; None if it accepts no new requests.
            on_ended: Called once for each `Forward`.
            max_attempts: Maximum number of attempts of one request. An attempt that is not sent does not
                count if its endpoint accepts no new requests, or if another attempt is in flight.
            read_load_reports: Whether endpoints include load reports in their responses.
        """
        self.pending_requests = pending_requests
        self._connection_pool = connection_pool
        self._on_ended = on_ended
        self._max_attempts = max_attempts
        self._read_load_reports = read_load_reports

    def forward(self, action: Forward, decided_ns: int) -> None:
        """Start an attempt, or report that it was not sent.

        Args:
            action: The decision of the policy.
            decided_ns: The time of that decision, on the monotonic clock. The attempt's timeout counts from
                then, so that an event loop stall after the decision does not postpone its end.
        """
        now_ns = time.monotonic_ns()
        pending = self.pending_requests.get(action.request_id)
        if pending is None:
            self._report_not_sent(action, 0, request_complete=True)
            return
        counted_before = pending.attempt_count - pending.uncounted_attempt_count
        number = pending.count_attempt()
        deadline_ns = pending.deadline_ns
        if action.timeout_ns:
            deadline_ns = min(deadline_ns, decided_ns + action.timeout_ns)
        if deadline_ns <= now_ns or counted_before >= self._max_attempts:
            self._report_not_sent(action, number, request_complete=False)
            return
        pool = self._connection_pool(action.endpoint_id)
        if pending.exchange is not None or pool is None or not pool.accepts_requests:
            pending.exclude_attempt()
            self._report_not_sent(action, number, request_complete=False, counts_as_attempt=False)
            return
        attempt = AttemptInFlight(
            attempts=self,
            pending_request=pending,
            number=number,
            endpoint_id=action.endpoint_id,
            started_ns=now_ns,
            deadline_ns=deadline_ns,
        )
        attempt.start(pool)

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt if it is the one in flight."""
        pending = self.pending_requests.get(action.request_id)
        if pending is None or pending.exchange is None:
            return
        if action.attempt == pending.attempt_count - 1:
            pending.exchange.finish(AttemptResult.CANCELLED)

    def cancel_unsent(self) -> None:
        """Cancel the attempts that wait for a connection to an endpoint that drains, moved or was removed.

        No request may be started at that address any more, even if the connection has been established
        meanwhile.
        """
        for pending in self.pending_requests.snapshot():
            exchange = pending.exchange
            if exchange is not None and exchange.unsent and not exchange.pool.accepts_requests:
                exchange.finish(AttemptResult.NOT_SENT)

    def on_attempt_ended(
        self, attempt: AttemptInFlight, result: AttemptResult, response: Message | None, elapsed_ns: int
    ) -> None:
        """Respond to the client if the attempt succeeded, and report the result."""
        pending = attempt.pending_request
        was_written = pending.exchange is not None and pending.exchange.request_written
        pending.clear_exchange()
        counts_as_attempt = result is not AttemptResult.NOT_SENT
        if not counts_as_attempt:
            pending.exclude_attempt()
        load_report = None
        if response is not None:
            result = response_result(response)
            if result is AttemptResult.OK:
                headers = [header for header in response.end_to_end() if header[0] != LOAD_REPORT_HEADER]
                self.pending_requests.finish(pending, OK, headers, response.body)
            if self._read_load_reports:
                load_report = parse_load_report(response.header(LOAD_REPORT_HEADER))
        self._on_ended(
            AttemptEnded(
                request_id=pending.id,
                attempt=attempt.number,
                endpoint_id=attempt.endpoint_id,
                result=result,
                elapsed_ns=elapsed_ns,
                request_complete=pending.finished,
                load_report=load_report,
                counts_as_attempt=counts_as_attempt,
                was_written=was_written,
            )
        )

    def _report_not_sent(
        self, action: Forward, number: int, *, request_complete: bool, counts_as_attempt: bool = True
    ) -> None:
        self._on_ended(
            AttemptEnded(
                request_id=action.request_id,
                attempt=number,
                endpoint_id=action.endpoint_id,
                result=AttemptResult.NOT_SENT,
                elapsed_ns=0,
                request_complete=request_complete,
                counts_as_attempt=counts_as_attempt,
            )
        )


@dataclass(slots=True, eq=False)
class AttemptInFlight:
    """One attempt, from its start to its result; times are on the monotonic clock."""

    attempts: Attempts
    pending_request: PendingRequest
    number: int
    endpoint_id: int
    started_ns: int
    deadline_ns: int

    def start(self, pool: ConnectionPool) -> None:
        """Start the exchange with the endpoint."""
        exchange = Exchange(
            pool=pool,
            serialize=self.serialize,
            on_ended=self.on_exchange_ended,
            check_still_needed=self.check_still_needed,
            quarantine_s=QUARANTINE_S,
        )
        self.pending_request.set_exchange(exchange)
        exchange.start(self.deadline_ns / NANOSECONDS_PER_SECOND)

    def serialize(self) -> bytes:
        """Serialize the request with the time that remains until the deadline, as of now."""
        request = self.pending_request.request
        remaining_ms = (self.deadline_ns - time.monotonic_ns()) // NANOSECONDS_PER_MILLISECOND
        headers = [header for header in request.end_to_end() if header[0] != DEADLINE_MS_HEADER]
        headers.append((FORWARDED_DEADLINE_MS_HEADER, b"%d" % max(MIN_FORWARDED_DEADLINE_MS, remaining_ms)))
        return write_request(request.method, request.target, headers, request.body)

    def check_still_needed(self) -> bool:
        """Drop the request if its client has disconnected; return whether the request is still pending.

        A disconnect is detected even if the event loop has not read it yet, because it arrived in the current
        event loop turn or while reading is paused. Unread data that follows the request ends it too: the
        client may have disconnected behind it.
        """
        client = self.pending_request.client
        if client.has_disconnected:
            self.attempts.pending_requests.on_disconnect(client)
        elif client.has_pipelined_data:
            client.reject_pipelined()
        return not self.pending_request.finished

    def on_exchange_ended(self, result: AttemptResult, response: Message | None) -> None:
        """Report the end of the exchange, with its response if there is one."""
        elapsed_ns = time.monotonic_ns() - self.started_ns
        self.attempts.on_attempt_ended(self, result, response, elapsed_ns)


def response_result(response: Message) -> AttemptResult:
    """Return the result that a response stands for; only a 503 or 504 marked as declined is a rejection.

    A request that was rejected never ran, unless `Rules.rejected_may_have_run` is set.
    """
    if response.status == OK:
        return AttemptResult.OK
    if response.status in DECLINED_STATUSES and response.header(DECLINED_HEADER) == FLAG_SET:
        return AttemptResult.REJECTED
    return AttemptResult.ERROR
