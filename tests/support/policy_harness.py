"""Settings, endpoints and requests for tests of the policy, and a harness that drives one balancer."""

from __future__ import annotations

from collections.abc import Iterable

from loadbalancer.messages import (
    Action,
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    RequestArrived,
    SetTimer,
    TimerExpired,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.settings import (
    DeduplicationScope,
    Idempotency,
    Limits,
    RequestClass,
    Rules,
    Settings,
    Tenant,
)
from tests.support.rule_checker import RuleChecker

NANOSECONDS_PER_MILLISECOND = 1_000_000
NANOSECONDS_PER_SECOND = 1000 * NANOSECONDS_PER_MILLISECOND
START_NS = 5 * NANOSECONDS_PER_SECOND

READ = RequestClass("read", Idempotency.IDEMPOTENT, latency_objective_ns=300 * NANOSECONDS_PER_MILLISECOND)
PAY = RequestClass("pay", Idempotency.NON_IDEMPOTENT, latency_objective_ns=300 * NANOSECONDS_PER_MILLISECOND)
CELL_DEDUPLICATED = RequestClass(
    "cell_deduplicated",
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.CELL,
    deduplication_window_ns=400 * NANOSECONDS_PER_MILLISECOND,
    latency_objective_ns=300 * NANOSECONDS_PER_MILLISECOND,
)
FULLY_DEDUPLICATED = RequestClass(
    "fully_deduplicated",
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.ALL,
    deduplication_window_ns=400 * NANOSECONDS_PER_MILLISECOND,
    latency_objective_ns=300 * NANOSECONDS_PER_MILLISECOND,
)
EAST_ONLY = RequestClass(
    "east_only",
    Idempotency.IDEMPOTENT,
    latency_objective_ns=300 * NANOSECONDS_PER_MILLISECOND,
    allowed_zones=frozenset({"east"}),
)
LARGE_MACHINES_ONLY = RequestClass(
    "large_machines_only",
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.ZONE,
    deduplication_window_ns=400 * NANOSECONDS_PER_MILLISECOND,
    latency_objective_ns=300 * NANOSECONDS_PER_MILLISECOND,
    allowed_machine_types=frozenset({"large"}),
)


def make_settings(**changes: object) -> Settings:
    """Return settings for tests, with the given fields replaced."""
    base: dict[str, object] = {
        "request_classes": {
            test_class.name: test_class
            for test_class in (
                READ,
                PAY,
                CELL_DEDUPLICATED,
                FULLY_DEDUPLICATED,
                EAST_ONLY,
                LARGE_MACHINES_ONLY,
            )
        },
        "tenants": {"ash": Tenant("ash", 0.5), "birch": Tenant("birch", 0.5)},
        "limits": Limits(max_attempts=3, hedging=True, cancellation=True, retry_after=True),
        "rules": Rules(slow_start_ns=4 * NANOSECONDS_PER_SECOND),
        "zone": "east",
    }
    return Settings(**{**base, **changes})  # type: ignore[arg-type]


def make_endpoints(count: int, first: int = 1, started_ns: int = 0) -> list[Endpoint]:
    """Return ready endpoints in one zone, three per cell, with consecutive ids from `first`."""
    return [Endpoint(first + i, EndpointStatus.READY, "east", i // 3, 1.0, started_ns) for i in range(count)]


def make_mixed_endpoints(count: int, started_ns: int = 0) -> list[Endpoint]:
    """Return endpoints spread over two zones and two machine types."""
    return [
        base_endpoint._replace(zone=("east", "west")[i % 2], machine_type=("large", "small")[i // 2 % 2])
        for i, base_endpoint in enumerate(make_endpoints(count, 1, started_ns))
    ]


def arrival(
    number: int | str,
    now_ns: int,
    request_class: RequestClass = READ,
    tenant: str = "ash",
    wait_ns: int = 500 * NANOSECONDS_PER_MILLISECOND,
    retry: bool = False,
) -> RequestArrived:
    """Return the arrival of request `r<number>`, whose deadline is `wait_ns` after `now_ns`."""
    return RequestArrived(f"r{number}", request_class.name, tenant, now_ns + wait_ns, is_retry=retry)


class PolicyHarness:
    """Drives one balancer on a simulated clock, runs its timers and checks its actions."""

    def __init__(self, settings: Settings | None = None, seed: int = 7, endpoint_count: int = 6) -> None:
        self.settings = settings or make_settings()
        self.now_ns = START_NS
        self.balancer = Balancer(self.settings, seed, self.now_ns)
        self.checker = RuleChecker(self.settings)
        self.request_classes = self.checker.request_classes
        self.outcomes = self.checker.outcomes
        self.attempts = self.checker.attempts
        self.timers: list[tuple[int, str]] = []  # due time and name
        self.actions: list[Action] = []  # all actions so far
        if endpoint_count:
            self.deliver(EndpointUpdate(EndpointUpdateKind.CACHED, make_endpoints(endpoint_count)))

    def deliver(self, *events: Event) -> list[Action]:
        """Hand events to the balancer at the current time; check and return its actions."""
        for event in events:
            self.checker.record_event(event)
        actions = self.balancer.handle(self.now_ns, events)
        for action in actions:
            self.checker.check_action(action, self.now_ns)
            if isinstance(action, SetTimer):
                self.timers.append((self.now_ns + action.delay_ns, action.name))
        self.actions += actions
        return actions

    def advance(self, by_ns: int, step_ns: int = 5 * NANOSECONDS_PER_MILLISECOND) -> list[Action]:
        """Advance the clock in steps, and return the balancer's actions.

        Each step delivers the timers that are due, and a timeout for each attempt in flight whose request has
        reached its deadline.
        """
        all_actions: list[Action] = []
        end_ns = self.now_ns + by_ns
        while self.now_ns < end_ns:
            self.now_ns = min(end_ns, self.now_ns + step_ns)
            events = self._take_due_timers() + self._due_timeouts()
            if events:
                all_actions += self.deliver(*events)
            self.checker.check_deadlines(self.now_ns)
        return all_actions

    def _take_due_timers(self) -> list[Event]:
        due = sorted(timer for timer in self.timers if timer[0] <= self.now_ns)
        self.timers = [timer for timer in self.timers if timer[0] > self.now_ns]
        return [TimerExpired(name) for _, name in due]

    def _due_timeouts(self) -> list[Event]:
        return [
            self.attempt_ended(request, number, AttemptResult.TIMEOUT)
            for request, number in self.attempts_in_flight()
            if self.checker.deadlines_ns[request] <= self.now_ns
        ]

    def attempts_in_flight(self) -> list[tuple[str, int]]:
        """Return the request id and attempt number of each attempt that has not ended."""
        return self.checker.attempts_in_flight()

    def attempt_ended(self, request: str, number: int, result: AttemptResult) -> AttemptEnded:
        """Return the event that reports the end of an attempt at the current time."""
        endpoint, sent_ns = self.attempts[request][number]
        complete = self.checker.is_complete(request) or result is AttemptResult.OK
        return AttemptEnded(request, number, endpoint.id, result, self.now_ns - sent_ns, complete)

    def finish(
        self, request: str, result: AttemptResult = AttemptResult.OK, number: int = -1
    ) -> list[Action]:
        """End an attempt of a request, by default the last one; return the balancer's actions."""
        number = number if number >= 0 else len(self.attempts[request]) - 1
        return self.deliver(self.attempt_ended(request, number, result))


def actions_of_type(action_type: type, actions: Iterable[Action]) -> list[Action]:
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, action_type)]
