"""The pending requests: those that were admitted and have no final response yet.

Each gets exactly one final response, at its deadline at the latest, unless its client disconnects first.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from loadbalancer.messages import AttemptResult, ClientDisconnected, Event, Reject, RequestArrived
from loadbalancer.proxy.client_connection import ClientConnection
from loadbalancer.proxy.exchange import Exchange
from loadbalancer.proxy.http import Headers, Message, parse_decimal
from loadbalancer.proxy.http_status import GATEWAY_TIMEOUT, SERVICE_UNAVAILABLE
from loadbalancer.proxy.recent_request_ids import RecentRequestIds
from loadbalancer.proxy.request_validation import (
    DUPLICATE_ID,
    TOO_MANY_PENDING,
    ErrorResponse,
    ValidRequest,
)
from loadbalancer.proxy.wire_names import (
    AFFINITY_COOKIE,
    COOKIE_HEADER,
    COST_US_HEADER,
    FLAG_SET,
    IS_RETRY_HEADER,
    RETRY_AFTER_HEADER,
    TENANT_HEADER,
)
from loadbalancer.units import (
    NANOSECONDS_PER_MICROSECOND,
    NANOSECONDS_PER_MILLISECOND,
    NANOSECONDS_PER_SECOND,
)

# The policy's deadline precedes the client's, so that the final response reaches the client in time.
POLICY_DEADLINE_MARGIN_NS = 4 * NANOSECONDS_PER_MILLISECOND

# The proxy's own deadline lies between those two: a request that the policy has not finished by then fails.
PROXY_DEADLINE_MARGIN_NS = 3 * NANOSECONDS_PER_MILLISECOND // 2


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that was admitted and has no final response yet."""

    id: str
    client: ClientConnection
    request: Message
    client_request_id: bytes
    idempotent: bool
    deadline_ns: int  # the proxy's own deadline, on the monotonic clock
    deadline_timer: asyncio.TimerHandle
    attempt_count: int = 0
    uncounted_attempt_count: int = 0  # those that do not count towards `Limits.max_attempts`
    exchange: Exchange | None = None  # belongs to the attempt in flight; None if there is none
    may_have_run: bool = False  # whether an attempt that has ended was written to its endpoint
    finished: bool = False

    def count_attempt(self) -> int:
        """Count one more attempt, and return its number."""
        number = self.attempt_count
        self.attempt_count += 1
        return number

    def exclude_attempt(self) -> None:
        """Record that one attempt does not count towards the limit, since it was not sent."""
        self.uncounted_attempt_count += 1

    def set_exchange(self, exchange: Exchange) -> None:
        """Record the exchange of the attempt that is starting."""
        self.exchange = exchange

    def mark_finished(self) -> None:
        """Record that the request needs no response any more, and cancel its deadline timer."""
        self.finished = True
        self.deadline_timer.cancel()

    def clear_exchange(self) -> None:
        """Record that the attempt has ended, and no other is in flight."""
        self.may_have_run = self.may_have_run or self._is_written
        self.exchange = None

    @property
    def _is_written(self) -> bool:
        return self.exchange is not None and self.exchange.request_written

    @property
    def must_not_run_again(self) -> bool:
        """Whether the request may have run, and a repeat of it could have another effect."""
        return not self.idempotent and (self.may_have_run or self._is_written)


class PendingRequests:
    """All pending requests, by their ids and by their clients."""

    def __init__(self, on_event: Callable[[Event], None], max_pending: int) -> None:
        """Set up an empty table of pending requests.

        Args:
            on_event: Called when a request arrives, when its client disconnects and when its deadline passes.
            max_pending: Maximum number of requests that are pending at once; 0 for no limit.
        """
        self._on_event = on_event
        self._max_pending = max_pending
        self._loop = asyncio.get_running_loop()
        self._by_id: dict[str, PendingRequest] = {}
        self._by_client: dict[ClientConnection, PendingRequest] = {}
        self._client_request_ids: set[bytes] = set()
        self._ended_request_ids = RecentRequestIds()  # of requests that must not run again
        self._request_count = 0

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._by_id

    def get(self, request_id: str) -> PendingRequest | None:
        """Return the pending request with this id, if there is one."""
        return self._by_id.get(request_id)

    def snapshot(self) -> list[PendingRequest]:
        """Return a copy, in order of arrival: requests may finish while the caller iterates over it."""
        return list(self._by_id.values())

    def register(
        self, client: ClientConnection, request: Message, valid_request: ValidRequest, received_ns: int
    ) -> ErrorResponse | None:
        """Add a request to the pending ones, and report its arrival to the policy.

        Args:
            client: The connection on which it was received.
            request: The request.
            valid_request: The result of its validation.
            received_ns: When its last byte was read, on the monotonic clock.

        Returns:
            None if the request was added; otherwise the response to it.
        """
        if self._is_repeated(valid_request, received_ns):
            return DUPLICATE_ID
        if self._max_pending and len(self._by_id) >= self._max_pending:
            return TOO_MANY_PENDING
        client_deadline_ns = received_ns + valid_request.timeout_ns
        pending = self._add(client, request, valid_request, client_deadline_ns)
        policy_deadline_ns = client_deadline_ns - POLICY_DEADLINE_MARGIN_NS
        self._on_event(_arrival_event(pending.id, valid_request.class_name, policy_deadline_ns, request))
        return None

    def _is_repeated(self, valid_request: ValidRequest, now_ns: int) -> bool:
        """Return whether a request with the same id is pending, or has ended and must not run again."""
        client_request_id = valid_request.client_request_id
        return client_request_id in self._client_request_ids or self._ended_request_ids.contains(
            client_request_id, now_ns
        )

    def _add(
        self,
        client: ClientConnection,
        request: Message,
        valid_request: ValidRequest,
        client_deadline_ns: int,
    ) -> PendingRequest:
        self._request_count += 1
        request_id = str(self._request_count)
        deadline_ns = client_deadline_ns - PROXY_DEADLINE_MARGIN_NS
        pending = PendingRequest(
            id=request_id,
            client=client,
            request=request,
            client_request_id=valid_request.client_request_id,
            idempotent=valid_request.idempotent,
            deadline_ns=deadline_ns,
            deadline_timer=self._loop.call_at(deadline_ns / NANOSECONDS_PER_SECOND, self._expire, request_id),
        )
        self._by_id[request_id] = pending
        self._by_client[client] = pending
        self._client_request_ids.add(pending.client_request_id)
        return pending

    def finish(
        self,
        pending: PendingRequest,
        status: int,
        headers: Headers = (),
        body: bytes | bytearray = b"",
    ) -> None:
        """Send the final response to a request, unless it has been sent already."""
        if not pending.finished:
            self._remove(pending)
            pending.client.respond(status, headers, body)

    def reject(self, action: Reject) -> None:
        """Respond that the request was rejected and may be sent again, with Retry-After if that is set."""
        pending = self._by_id.get(action.request_id)
        if pending is None:
            return
        headers = []
        if action.retry_after_ns > 0:
            retry_after_s = action.retry_after_ns / NANOSECONDS_PER_SECOND
            headers.append((RETRY_AFTER_HEADER, b"%.3f" % retry_after_s))
        self.finish(pending, SERVICE_UNAVAILABLE, headers)

    def fail(self, request_id: str) -> None:
        """Respond that the request failed; it may have had an effect."""
        pending = self._by_id.get(request_id)
        if pending is not None:
            self.finish(pending, GATEWAY_TIMEOUT)

    def fail_all(self) -> None:
        """Fail all requests that are still pending."""
        for pending in self.snapshot():
            self.finish(pending, GATEWAY_TIMEOUT)

    def on_disconnect(self, client: ClientConnection) -> None:
        """Drop the request of a client that has disconnected, if one is pending."""
        pending = self._by_client.get(client)
        if pending is not None:
            self._remove(pending)
            self._on_event(ClientDisconnected(pending.id))

    def _expire(self, request_id: str) -> None:
        self.fail(request_id)
        # To the policy this is the same as a disconnect: the request needs no response any more.
        self._on_event(ClientDisconnected(request_id))

    def _remove(self, pending: PendingRequest) -> None:
        """Remove a request, and cancel its attempt in flight if there is one."""
        pending.mark_finished()
        del self._by_id[pending.id]
        del self._by_client[pending.client]
        self._client_request_ids.discard(pending.client_request_id)
        if pending.must_not_run_again:
            self._ended_request_ids.add(pending.client_request_id, time.monotonic_ns())
        if pending.exchange is not None:
            pending.exchange.finish(AttemptResult.CANCELLED)


def _arrival_event(request_id: str, class_name: str, deadline_ns: int, request: Message) -> RequestArrived:
    cost_us = parse_decimal(request.header(COST_US_HEADER)) or 0
    return RequestArrived(
        request_id=request_id,
        class_name=class_name,
        tenant=request.header(TENANT_HEADER).decode("latin-1"),
        deadline_ns=deadline_ns,
        cost_hint_ns=cost_us * NANOSECONDS_PER_MICROSECOND,
        affinity_key=_affinity_cookie(request),
        is_retry=request.header(IS_RETRY_HEADER) == FLAG_SET,
    )


def _affinity_cookie(request: Message) -> str:
    """Return the affinity key, which no decision uses; empty if the cookie is absent."""
    for cookie in request.header(COOKIE_HEADER).decode("latin-1").split(";"):
        name, separator, value = cookie.strip().partition("=")
        if separator and name == AFFINITY_COOKIE:
            return value
    return ""
