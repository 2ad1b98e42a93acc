"""The record of one request and of its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from loadbalancer.messages import AttemptEnded, AttemptResult
from loadbalancer.settings import RequestClass

if TYPE_CHECKING:
    from loadbalancer.policy.throttle import Throttle
    from loadbalancer.state.endpoint_pool import EndpointPool
    from loadbalancer.state.endpoint_state import EndpointState


class QueuePlace(Enum):
    """Where a request waits."""

    NOT_WAITING = 0
    THROTTLE_BUFFER = 1  # for a token of its tenant
    POOL_QUEUE = 2  # for an endpoint of its pool


@dataclass(slots=True, eq=False)
class Attempt:
    """One request sent to one endpoint."""

    endpoint_state: EndpointState
    sent_ns: int
    expected_ns: float  # how long it was expected to take
    load: float  # requests thought to be in flight there when it was sent, this one included
    result: AttemptResult | None = None  # None while it is in flight
    may_have_run: bool = True  # until its result proves the contrary
    overdue: bool = False  # its answer is lost: it no longer counts as in flight at its endpoint


@dataclass(slots=True, eq=False)
class Request:
    """One request of a client, from its arrival to its final answer and the end of its last attempt."""

    id: str
    request_class: RequestClass
    pool: EndpointPool  # the endpoints that its class may use
    throttle: Throttle
    deadline_ns: int
    objective_ns: int  # an answer by this time earns the full priority weight
    cost_hint_ns: int
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False  # it has its final answer, or its client has left
    streaming: bool = False  # its streamed answer has begun
    delayed_by_throttle: bool = False  # half its time went by there: a late end says nothing of the endpoints
    stalled: bool = False  # the proxy stood still while it was open: none of its times says anything
    place: QueuePlace = QueuePlace.NOT_WAITING
    queue_deadline_ns: int = 0  # waiting longer than this is of no use
    probed_endpoints: list[EndpointState] = field(default_factory=list)  # asked for their load on its behalf
    probed_ns: int = 0

    def leave_queue(self) -> None:
        """Wait no longer, wherever it waits."""
        if self.place is QueuePlace.THROTTLE_BUFFER:
            self.throttle.remove_buffered(self)
        elif self.place is QueuePlace.POOL_QUEUE:
            self.pool.queue.remove(self)
        self.place = QueuePlace.NOT_WAITING

    @property
    def attempts_in_flight(self) -> int:
        """How many of its attempts have not ended."""
        return sum(attempt.result is None for attempt in self.attempts)


class RequestTable(dict[str, Request]):
    """The requests, by id, that have no final answer yet or still have an attempt in flight."""

    def attempt_that_ended(self, event: AttemptEnded) -> Attempt | None:
        """Return the attempt of an event; None where it was never made, is long over or ended before."""
        request = self.get(event.request_id)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return None
        attempt = request.attempts[event.attempt]
        if attempt.result is not None or attempt.endpoint_state.id != event.endpoint_id:
            return None
        return attempt

    def drop_if_over(self, request: Request) -> None:
        """Forget a request that has its final answer and no attempt in flight."""
        if request.finished and not request.attempts_in_flight:
            self.pop(request.id, None)
