"""The record of one request and of its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING

from loadbalancer.messages import AttemptResult
from loadbalancer.settings import RequestClass

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loadbalancer.state.endpoint_pool import EndpointPool
    from loadbalancer.state.endpoint_state import EndpointState
    from loadbalancer.state.token_bank import TokenBank


class Queue(Enum):
    """Where a request waits."""

    THROTTLE_BUFFER = auto()  # for a token of its tenant
    POOL_QUEUE = auto()  # for an endpoint of its pool


@dataclass(slots=True, eq=False)
class Attempt:
    """One request forwarded to one endpoint."""

    endpoint_state: EndpointState
    sent_ns: int
    expected_ns: float  # its expected duration
    load: float  # estimated requests in flight at the endpoint when it was sent, this one included
    result: AttemptResult | None = None  # None while it is in flight
    may_have_run: bool = True  # until its result proves the contrary
    overdue: bool = False  # its response is considered lost and no longer counts as in flight
    counts: bool = True  # towards `Limits.max_attempts`

    def end(self, result: AttemptResult, *, may_have_run: bool, counts: bool = True) -> None:
        """Record how it ended."""
        self.result = result
        self.may_have_run = may_have_run
        self.counts = counts

    def mark_overdue(self) -> None:
        """Consider its response lost: it no longer counts as in flight at its endpoint."""
        self.overdue = True
        self.endpoint_state.mark_overdue()


@dataclass(slots=True, eq=False)
class Request:
    """One request of a client, from its arrival to its final response and the end of its last attempt."""

    id: str
    request_class: RequestClass
    pool: EndpointPool  # the endpoints that its class may use
    tenant: str  # whose throttle admits it
    token_bank: TokenBank  # of that throttle, which may have been dropped since
    deadline_ns: int
    objective_ns: int  # a response by this time earns the full priority weight
    cost_hint_ns: int
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False  # it has its final response, or its client has disconnected
    streaming: bool = False  # its streamed response has begun
    delayed_by_throttle: bool = False  # a late end is not attributed to the endpoints
    stalled: bool = False  # the event loop stalled while it was pending: none of its durations is valid
    queued_in: Queue | None = None
    queue_deadline_ns: int = 0  # it is rejected if it is still queued at this time
    probed_endpoints: list[EndpointState] = field(default_factory=list)  # load probed on its behalf
    probed_ns: int = 0

    def join_queue(self, queue: Queue) -> None:
        """Record where it waits from now on."""
        self.queued_in = queue

    def leave_queue(self) -> None:
        """Record that it waits no longer."""
        self.queued_in = None

    def start_streaming(self) -> None:
        """Record that its streamed response has begun."""
        self.streaming = True

    def finish(self) -> None:
        """Record that it has its final response, or that its client has disconnected."""
        self.finished = True

    def record_throttle_delay(self, *, delayed: bool) -> None:
        """Record whether its throttle delayed it so much that a late end proves nothing; a stall does too."""
        self.delayed_by_throttle = self.stalled or delayed

    def attempt_in_flight(self, number: int, endpoint_id: int) -> Attempt | None:
        """Return an attempt in flight; None where it was never made, or elsewhere, or has ended."""
        if not 0 <= number < len(self.attempts):
            return None
        attempt = self.attempts[number]
        if attempt.result is not None or attempt.endpoint_state.id != endpoint_id:
            return None
        return attempt

    def start_probing(self, endpoints: list[EndpointState], now_ns: int) -> None:
        """Wait for the loads of these endpoints."""
        self.probed_endpoints = endpoints
        self.probed_ns = now_ns

    def end_probing(self) -> None:
        """Wait for no loads any more."""
        self.probed_endpoints = []

    @property
    def attempts_in_flight(self) -> int:
        """How many of its attempts have not ended."""
        return [attempt.result for attempt in self.attempts].count(None)

    @property
    def uncounted_attempts(self) -> int:
        """How many of its attempts do not count towards `Limits.max_attempts`: the proxy never began them."""
        return [attempt.counts for attempt in self.attempts].count(False)

    @property
    def is_over(self) -> bool:
        """Whether it has its final response and no attempt in flight."""
        return self.finished and not self.attempts_in_flight

    def mark_stalled(self) -> None:
        """Record that the event loop stalled while it was pending: its late end proves nothing."""
        self.stalled = True
        self.delayed_by_throttle = True


class RequestTable:
    """The requests, by id, that have no final response yet or still have an attempt in flight."""

    def __init__(self) -> None:
        self._requests: dict[str, Request] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._requests

    def get(self, request_id: str) -> Request | None:
        """Return a request, or None."""
        return self._requests.get(request_id)

    def values(self) -> Iterable[Request]:
        """Return all requests, the oldest first."""
        return self._requests.values()

    def add(self, request: Request) -> None:
        """Add a request, whose id is new."""
        self._requests[request.id] = request

    def remove_if_over(self, request: Request) -> None:
        """Remove a request that has its final response and no attempt in flight."""
        if request.is_over:
            self._requests.pop(request.id, None)
