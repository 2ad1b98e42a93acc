"""Checks that a balancer's actions keep the rules for requests, and that each action is valid when made.

The rules:

- Each request ends exactly once, at the latest `MAX_LATENESS_NS` after its deadline, and has no attempts
  sent after that.
- Attempts are sent only to ready endpoints in the zones and on the machine types that the request class
  allows, not more than `Limits.max_attempts` in total, and one at a time, or two with hedging.
- A request that may have run is sent again only if it is idempotent, or within its deduplication window and
  scope. Such a request is rejected only if it is idempotent or its deduplication scope is `ALL`.

The checker derives its state from events and actions alone, and shares no code with the policy.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple

from loadbalancer.messages import (
    NEVER_RAN,
    Action,
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    CheckHealth,
    ClientDisconnected,
    Endpoint,
    EndpointStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Fail,
    Forward,
    Reject,
    RequestArrived,
    SendGossip,
    SetTimer,
)
from loadbalancer.settings import DeduplicationScope, Idempotency, RequestClass, Settings

MAX_LATENESS_NS = 20_000_000  # time after its deadline within which a request must end
MAX_GOSSIP_BYTES = 256


class RequestOutcome(Enum):
    """The outcome of a request for its client."""

    SERVED = auto()
    REJECTED = auto()
    FAILED = auto()
    DISCONNECTED = auto()


class SentAttempt(NamedTuple):
    """The endpoint and the time of an attempt."""

    endpoint: Endpoint
    sent_ns: int


class RuleChecker:
    """Tracks the requests of one balancer; an action that breaks a rule raises `AssertionError`."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.request_classes: dict[str, RequestClass] = {}
        self.deadlines_ns: dict[str, int] = {}
        self.outcomes: dict[str, RequestOutcome] = {}
        self.completed: set[str] = set()  # requests that the balancer has been told are complete
        self.attempts: dict[str, list[SentAttempt]] = {}
        self.results: dict[tuple[str, int], AttemptResult] = {}  # by request id and attempt number
        self.endpoints: dict[int, Endpoint] = {}

    def attempts_in_flight(self) -> list[tuple[str, int]]:
        """Return the request id and attempt number of each attempt that has not ended."""
        return [
            (request, number)
            for request, attempts in self.attempts.items()
            for number in range(len(attempts))
            if (request, number) not in self.results
        ]

    def is_complete(self, request: str) -> bool:
        """Return whether a request has an outcome, or the balancer has been told that it is complete."""
        return request in self.outcomes or request in self.completed

    def record_event(self, event: Event) -> None:
        """Record an event that the balancer is sent."""
        match event:
            case RequestArrived():
                self.request_classes[event.request_id] = self.settings.request_classes[event.class_name]
                self.deadlines_ns[event.request_id] = event.deadline_ns
            case AttemptEnded() if event.request_id in self.request_classes:
                self._record_attempt_ended(event)
            case ClientDisconnected():
                self.outcomes.setdefault(event.request_id, RequestOutcome.DISCONNECTED)
                self.completed.add(event.request_id)
            case EndpointUpdate():
                self._record_endpoints(event)

    def _record_attempt_ended(self, event: AttemptEnded) -> None:
        self.results[event.request_id, event.attempt] = event.result
        if event.result is AttemptResult.OK and event.request_id not in self.outcomes:
            self.outcomes[event.request_id] = RequestOutcome.SERVED
        if event.request_complete:
            self.completed.add(event.request_id)

    def _record_endpoints(self, update: EndpointUpdate) -> None:
        if update.kind in (EndpointUpdateKind.FULL, EndpointUpdateKind.CACHED):
            for known_id, endpoint in self.endpoints.items():
                self.endpoints[known_id] = endpoint._replace(status=EndpointStatus.REMOVED)
        self.endpoints |= {endpoint.id: endpoint for endpoint in update.endpoints}

    def check_action(self, action: Action, now_ns: int) -> None:
        """Check one action against the recorded state, and record it."""
        limits = self.settings.limits
        match action:
            case Forward():
                self._check_forward(action, now_ns)
            case Reject():
                self._check_reject(action, now_ns)
            case Fail():
                self._record_outcome(action.request_id, RequestOutcome.FAILED, now_ns)
            case CancelAttempt():
                assert limits.cancellation
                assert action.attempt < len(self.attempts[action.request_id])
            case CheckHealth():
                assert limits.health_checks
                assert action.endpoint_id in self.endpoints
            case SendGossip():
                assert limits.gossip
                assert len(action.data) <= MAX_GOSSIP_BYTES
            case SetTimer():
                assert action.delay_ns > 0

    def check_deadlines(self, now_ns: int) -> None:
        """Check that each request has ended `MAX_LATENESS_NS` after its deadline at the latest."""
        for request, request_deadline_ns in self.deadlines_ns.items():
            if request_deadline_ns + MAX_LATENESS_NS < now_ns:
                assert request in self.outcomes, f"{request} has not ended by its deadline"

    def _attempts_that_may_have_run(self, request: str) -> list[SentAttempt]:
        never_ran_results = set(NEVER_RAN)
        if self.settings.rules.rejected_may_have_run:
            never_ran_results.discard(AttemptResult.REJECTED)
        return [
            attempt
            for number, attempt in enumerate(self.attempts.get(request, []))
            if self.results.get((request, number)) not in never_ran_results
        ]

    def _record_outcome(self, request: str, outcome: RequestOutcome, now_ns: int) -> None:
        """Record the end of a request, and check that it had arrived and that it ends once and in time."""
        assert request in self.request_classes, f"{request} never arrived"
        earlier = self.outcomes.get(request)
        assert earlier is None, f"{request} ended twice: {earlier}, {outcome}"
        assert now_ns <= self.deadlines_ns[request] + MAX_LATENESS_NS, f"{request} ended late"
        self.outcomes[request] = outcome

    def _check_reject(self, action: Reject, now_ns: int) -> None:
        request_class = self.request_classes[action.request_id]
        deduplicated_everywhere = (
            request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
            and request_class.deduplication_scope is DeduplicationScope.ALL
        )
        may_reject = (
            request_class.idempotency is Idempotency.IDEMPOTENT
            or deduplicated_everywhere
            or not self._attempts_that_may_have_run(action.request_id)
        )
        assert may_reject, f"{action.request_id} rejected though it may have run"
        self._record_outcome(action.request_id, RequestOutcome.REJECTED, now_ns)
        assert 0 <= action.retry_after_ns <= self.settings.limits.max_retry_after_ns

    def _check_forward(self, action: Forward, now_ns: int) -> None:
        request, endpoint = action.request_id, self.endpoints[action.endpoint_id]
        assert not self.is_complete(request), f"{request} forwarded after it had ended"
        self._check_placement(request, endpoint)
        self._check_attempt_limits(request)
        self._check_repetition(request, endpoint, now_ns)
        self.attempts.setdefault(request, []).append(SentAttempt(endpoint, now_ns))

    def _check_placement(self, request: str, endpoint: Endpoint) -> None:
        request_class = self.request_classes[request]
        zones, machine_types = request_class.allowed_zones, request_class.allowed_machine_types
        assert endpoint.status is EndpointStatus.READY, (
            f"{request} forwarded to a draining or removed endpoint"
        )
        assert zones is None or endpoint.zone in zones, f"{request} forwarded outside its allowed zones"
        assert machine_types is None or endpoint.machine_type in machine_types, (
            f"{request} forwarded to a machine type that is not allowed"
        )

    def _check_attempt_limits(self, request: str) -> None:
        limits = self.settings.limits
        attempts = self.attempts.get(request, [])
        assert len(attempts) < limits.max_attempts
        in_flight = sum((request, number) not in self.results for number in range(len(attempts)))
        in_flight_max = 2 if limits.hedging else 1
        assert in_flight < in_flight_max, f"{request}: {in_flight} attempts in flight already"

    def _check_repetition(self, request: str, endpoint: Endpoint, now_ns: int) -> None:
        request_class, earlier = self.request_classes[request], self._attempts_that_may_have_run(request)
        if not earlier or request_class.idempotency is Idempotency.IDEMPOTENT:
            return
        assert request_class.idempotency is not Idempotency.NON_IDEMPOTENT, (
            f"{request} is non-idempotent, may have run, and is forwarded again"
        )
        age_ns = now_ns - earlier[0].sent_ns
        assert age_ns <= request_class.deduplication_window_ns, (
            f"{request} repeated after its deduplication window"
        )
        if request_class.deduplication_scope is DeduplicationScope.CELL:
            cell = (endpoint.zone, endpoint.cell)
            assert all(
                (earlier_endpoint.zone, earlier_endpoint.cell) == cell for earlier_endpoint, _ in earlier
            )
        if request_class.deduplication_scope is DeduplicationScope.ZONE:
            assert all(earlier_endpoint.zone == endpoint.zone for earlier_endpoint, _ in earlier)
