"""Helpers of the tests: small settings with invented names, and a checker of the rules.

The checker keeps books of its own from the events and actions alone; it shares nothing with the module.
"""

from __future__ import annotations

from collections.abc import Iterable

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

MS = 1_000_000
SECOND = 1000 * MS
START = 5 * SECOND

READ = RequestClass("read", Idempotency.IDEMPOTENT, latency_objective_ns=300 * MS)
PAY = RequestClass("pay", Idempotency.NON_IDEMPOTENT, latency_objective_ns=300 * MS)
CELL = RequestClass(
    "cell",
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.CELL,
    deduplication_window_ns=400 * MS,
    latency_objective_ns=300 * MS,
)
ANY = RequestClass(
    "any",
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.ALL,
    deduplication_window_ns=400 * MS,
    latency_objective_ns=300 * MS,
)
NEAR = RequestClass(
    "near", Idempotency.IDEMPOTENT, latency_objective_ns=300 * MS, allowed_zones=frozenset({"east"})
)
BIG = RequestClass(
    "big",
    Idempotency.IDEMPOTENCY_KEY,
    DeduplicationScope.ZONE,
    deduplication_window_ns=400 * MS,
    latency_objective_ns=300 * MS,
    allowed_machine_types=frozenset({"large"}),
)


def settings(**changes: object) -> Settings:
    base: dict[str, object] = {
        "request_classes": {c.name: c for c in (READ, PAY, CELL, ANY, NEAR, BIG)},
        "tenants": {"ash": Tenant("ash", 0.5), "birch": Tenant("birch", 0.5)},
        "limits": Limits(max_attempts=3, hedging=True, cancellation=True, retry_after=True),
        "rules": Rules(slow_start_ns=4 * SECOND),
        "zone": "east",
    }
    return Settings(**{**base, **changes})  # type: ignore[arg-type]


def upstreams(count: int, first: int = 1, started_ns: int = 0) -> list[Endpoint]:
    return [Endpoint(first + i, EndpointStatus.READY, "east", i // 3, 1.0, started_ns) for i in range(count)]


def mixed_fleet(count: int, started_ns: int = 0) -> list[Endpoint]:
    """Upstreams over two zones and two kinds."""
    return [
        u._replace(zone=("east", "west")[i % 2], machine_type=("large", "small")[i // 2 % 2])
        for i, u in enumerate(upstreams(count, 1, started_ns))
    ]


def arrival(
    number: int | str,
    now: int,
    cls: RequestClass = READ,
    tenant: str = "ash",
    wait_ns: int = 500 * MS,
    retry: bool = False,
) -> RequestArrived:
    return RequestArrived(f"r{number}", cls.name, tenant, now + wait_ns, is_retry=retry)


class PolicyHarness:
    """Drives one balancer, keeps its timers, and checks rules 1 to 3 and the grammar of its actions."""

    def __init__(self, config: Settings | None = None, seed: int = 7, servers: int = 6) -> None:
        self.config = config or settings()
        self.now = START
        self.balancer = Balancer(self.config, seed, self.now)
        self.cls: dict[str, RequestClass] = {}
        self.deadline: dict[str, int] = {}
        self.answer: dict[str, str] = {}
        self.told_over: set[str] = set()
        self.sends: dict[str, list[tuple[Endpoint, int]]] = {}
        self.results: dict[tuple[str, int], AttemptResult] = {}
        self.list: dict[int, Endpoint] = {}
        self.timers: list[tuple[int, str]] = []
        self.log: list[Action] = []
        if servers:
            self.give(EndpointUpdate(EndpointUpdateKind.CACHED, upstreams(servers)))

    # -- time --

    def give(self, *events: Event) -> list[Action]:
        for e in events:
            self._event(e)
        actions = self.balancer.handle(self.now, events)
        for a in actions:
            self._action(a)
        self.log += actions
        return actions

    def advance(self, by_ns: int, step_ns: int = 5 * MS) -> list[Action]:
        """Let time pass in ticks, delivering timers that are due and time-outs at the deadline."""
        seen: list[Action] = []
        end = self.now + by_ns
        while self.now < end:
            self.now = min(end, self.now + step_ns)
            due = sorted(t for t in self.timers if t[0] <= self.now)
            self.timers = [t for t in self.timers if t[0] > self.now]
            events: list[Event] = [TimerExpired(name) for _, name in due]
            for request, number in self.out():
                if self.deadline[request] <= self.now:
                    events.append(self.result(request, number, AttemptResult.TIMEOUT))
            if events:
                seen += self.give(*events)
            for request, deadline in self.deadline.items():
                if deadline + 20 * MS < self.now:
                    assert request in self.answer, f"{request} had no final answer in its time"
        return seen

    def out(self) -> list[tuple[str, int]]:
        return [
            (r, i) for r, sent in self.sends.items() for i in range(len(sent)) if (r, i) not in self.results
        ]

    def result(self, request: str, number: int, result: AttemptResult) -> AttemptEnded:
        upstream, sent = self.sends[request][number]
        over = request in self.answer or request in self.told_over or result is AttemptResult.OK
        return AttemptEnded(request, number, upstream.id, result, self.now - sent, over)

    def finish(
        self, request: str, result: AttemptResult = AttemptResult.OK, number: int = -1
    ) -> list[Action]:
        number = number if number >= 0 else len(self.sends[request]) - 1
        return self.give(self.result(request, number, result))

    # -- books --

    def _event(self, e: Event) -> None:
        if isinstance(e, RequestArrived):
            self.cls[e.request_id] = self.config.request_classes[e.class_name]
            self.deadline[e.request_id] = e.deadline_ns
        elif isinstance(e, AttemptEnded) and e.request_id in self.cls:
            self.results[e.request_id, e.attempt] = e.result
            if e.result is AttemptResult.OK and e.request_id not in self.answer:
                self.answer[e.request_id] = "served"
            if e.request_complete:
                self.told_over.add(e.request_id)
        elif isinstance(e, ClientDisconnected):
            self.answer.setdefault(e.request_id, "gone")
            self.told_over.add(e.request_id)
        elif isinstance(e, EndpointUpdate):
            if e.kind in (EndpointUpdateKind.FULL, EndpointUpdateKind.CACHED):
                self.list = {i: u._replace(status=EndpointStatus.REMOVED) for i, u in self.list.items()}
            self.list |= {u.id: u for u in e.endpoints}

    def _risky(self, request: str) -> list[tuple[Endpoint, int]]:
        proofs = set(NEVER_RAN)
        if self.config.rules.rejected_may_have_run:
            proofs.discard(AttemptResult.REJECTED)
        return [
            s
            for i, s in enumerate(self.sends.get(request, []))
            if self.results.get((request, i)) not in proofs
        ]

    def _action(self, a: Action) -> None:
        if isinstance(a, Forward):
            self._send(a)
        elif isinstance(a, Reject):
            cls, risky = self.cls[a.request_id], self._risky(a.request_id)
            harmless = (
                cls.idempotency is Idempotency.IDEMPOTENT
                or not risky
                or (
                    cls.idempotency is Idempotency.IDEMPOTENCY_KEY
                    and cls.deduplication_scope is DeduplicationScope.ALL
                )
            )
            assert harmless, f"{a.request_id} refused though it may have run"
            self._final(a.request_id, "refused")
            assert 0 <= a.retry_after_ns <= self.config.limits.max_retry_after_ns
        elif isinstance(a, Fail):
            self._final(a.request_id, "failed")
        elif isinstance(a, CancelAttempt):
            assert self.config.limits.cancellation
            assert a.attempt < len(self.sends[a.request_id])
        elif isinstance(a, CheckHealth):
            assert self.config.limits.health_checks
            assert a.endpoint_id in self.list
        elif isinstance(a, SendGossip):
            assert self.config.limits.gossip
            assert len(a.data) <= 256
        elif isinstance(a, SetTimer):
            assert a.delay_ns > 0
            self.timers.append((self.now + a.delay_ns, a.name))

    def _final(self, request: str, answer: str) -> None:
        assert request in self.cls, f"{request} was never taken"
        assert request not in self.answer, f"{request} answered twice: {self.answer.get(request)}, {answer}"
        assert self.now <= self.deadline[request] + 20 * MS, f"{request} answered late"
        self.answer[request] = answer

    def _send(self, a: Forward) -> None:
        request, upstream = a.request_id, self.list[a.endpoint_id]
        cls, limits, risky = self.cls[request], self.config.limits, self._risky(a.request_id)
        assert request not in self.answer and request not in self.told_over, f"{request} sent after its end"
        assert upstream.status is EndpointStatus.READY, f"{request} sent to a draining or gone upstream"
        assert cls.allowed_zones is None or upstream.zone in cls.allowed_zones, (
            f"{request} sent outside its zones"
        )
        assert cls.allowed_machine_types is None or upstream.machine_type in cls.allowed_machine_types, (
            f"{request} sent to a kind not open to it"
        )
        sent = self.sends.setdefault(request, [])
        assert len(sent) < limits.max_attempts
        out = sum((request, i) not in self.results for i in range(len(sent)))
        assert out < (2 if limits.hedging else 1), f"{request}: {out} attempts out already"
        if risky and cls.idempotency is Idempotency.NON_IDEMPOTENT:
            raise AssertionError(f"{request} is unsafe, may have run and is sent again")
        if risky and cls.idempotency is Idempotency.IDEMPOTENCY_KEY:
            assert self.now - risky[0][1] <= cls.deduplication_window_ns, (
                f"{request} repeated after its window"
            )
            if cls.deduplication_scope is DeduplicationScope.CELL:
                assert all((u.zone, u.cell) == (upstream.zone, upstream.cell) for u, _ in risky)
            if cls.deduplication_scope is DeduplicationScope.ZONE:
                assert all(u.zone == upstream.zone for u, _ in risky)
        sent.append((upstream, self.now))


def of(kind: type, actions: Iterable[Action]) -> list[Action]:
    return [a for a in actions if isinstance(a, kind)]
