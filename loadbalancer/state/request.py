"""Record of one request and its attempts, and the table of requests."""

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
    """The queue in which a request waits."""

    THROTTLE_BUFFER = auto()  # waits for a token of its tenant
    POOL_QUEUE = auto()  # waits for an endpoint of its pool


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to serve a request, at one endpoint."""

    endpoint_state: EndpointState
    sent_ns: int
    expected_ns: float  # expected duration
    load: float  # estimated requests in flight at the endpoint at the time of sending, including this one
    result: AttemptResult | None = None  # None: in flight
    may_have_run: bool = True  # True until the result proves that the attempt never ran
    presumed_lost: bool = False  # no longer in `EndpointState.in_flight`
    counts_towards_max_attempts: bool = True  # False if the proxy never began the attempt

    def end(
        self, result: AttemptResult, *, may_have_run: bool, counts_towards_max_attempts: bool = True
    ) -> None:
        """Record the result of the attempt."""
        self.result = result
        self.may_have_run = may_have_run
        self.counts_towards_max_attempts = counts_towards_max_attempts

    def mark_presumed_lost(self) -> None:
        """Presume that the response is lost: the endpoint no longer has the attempt in its `in_flight`."""
        self.presumed_lost = True
        self.endpoint_state.mark_presumed_lost()


@dataclass(slots=True, eq=False)
class Request:
    """One request of a client, from its arrival to its final response and the end of its last attempt."""

    id: str
    request_class: RequestClass
    pool: EndpointPool  # the endpoints that the request class may use
    tenant: str  # the tenant whose throttle admits the request
    token_bank: TokenBank  # the bank of that throttle, which may have been dropped since
    deadline_ns: int
    objective_ns: int  # the latency objective as a time: a response by then has the full priority weight
    cost_hint_ns: int
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False  # the final response was given, or the client has disconnected
    streaming: bool = False  # the streamed response has begun
    delayed_by_throttle: bool = False  # endpoints are not at fault if the response is late
    stalled: bool = False  # the event loop stalled while the request was pending: its durations are invalid
    queued_in: Queue | None = None  # None: the request is not queued
    queue_deadline_ns: int = 0  # the request is rejected if it is still queued at this time
    probed_endpoints: list[EndpointState] = field(default_factory=list)  # probed for the request
    probed_ns: int = 0  # when load probing started

    def join_queue(self, queue: Queue) -> None:
        """Record the queue in which the request waits."""
        self.queued_in = queue

    def leave_queue(self) -> None:
        """Record that the request is no longer queued."""
        self.queued_in = None

    def start_streaming(self) -> None:
        """Record that the streamed response has begun."""
        self.streaming = True

    def finish(self) -> None:
        """Record that the final response was given, or that the client has disconnected."""
        self.finished = True

    def record_throttle_delay(self, *, delayed: bool) -> None:
        """Record whether the throttle delayed the request too much for a late response to blame endpoints.

        A request that was pending during a stall of the event loop is recorded as delayed in any case.
        """
        self.delayed_by_throttle = self.stalled or delayed

    def attempt_in_flight(self, number: int, endpoint_id: int) -> Attempt | None:
        """Return an attempt in flight; None if it was never made, is at another endpoint, or has ended."""
        if not 0 <= number < len(self.attempts):
            return None
        attempt = self.attempts[number]
        if attempt.result is not None or attempt.endpoint_state.id != endpoint_id:
            return None
        return attempt

    def start_probing(self, endpoints: list[EndpointState], now_ns: int) -> None:
        """Record that the loads of these endpoints are probed for the request."""
        self.probed_endpoints = endpoints
        self.probed_ns = now_ns

    def end_probing(self) -> None:
        """Record that the request no longer waits for load probes."""
        self.probed_endpoints = []

    @property
    def attempts_in_flight(self) -> int:
        """The number of attempts that have not ended."""
        return [attempt.result for attempt in self.attempts].count(None)

    @property
    def uncounted_attempts(self) -> int:
        """The number of attempts that the proxy never began; `Limits.max_attempts` does not include them."""
        return [attempt.counts_towards_max_attempts for attempt in self.attempts].count(False)

    @property
    def is_removable(self) -> bool:
        """Whether no event can concern the request: it is finished and has no attempt in flight."""
        return self.finished and not self.attempts_in_flight

    def mark_stalled(self) -> None:
        """Record that the event loop stalled while the request was pending.

        Its durations are invalid, and a late response is not attributed to the endpoints.
        """
        self.stalled = True
        self.delayed_by_throttle = True


class RequestTable:
    """The requests, by id, that are not finished or still have an attempt in flight."""

    def __init__(self) -> None:
        self._requests: dict[str, Request] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._requests

    def get(self, request_id: str) -> Request | None:
        """Return the request with an id, or None."""
        return self._requests.get(request_id)

    def values(self) -> Iterable[Request]:
        """Return all requests, oldest first."""
        return self._requests.values()

    def add(self, request: Request) -> None:
        """Add a request; its id must not be in use."""
        self._requests[request.id] = request

    def try_remove(self, request: Request) -> None:
        """Remove a request if it is finished and has no attempt in flight."""
        if request.is_removable:
            self._requests.pop(request.id, None)
