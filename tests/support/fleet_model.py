"""A small fleet for tests: many `Balancer`s and many upstreams on one simulated clock, from one seed.

It speaks to the module by events and actions alone. Upstreams have a known capacity, queue, and start cold;
each keeps a book of the work that reaches it, what it turns away and each new connection included.
"""

from __future__ import annotations

import heapq
import random
from bisect import bisect
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import accumulate

from loadbalancer.messages import (
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
    HealthCheckEnded,
    Reject,
    RequestArrived,
    SetTimer,
    TimerExpired,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.settings import RequestClass, Rules, Settings
from tests.support.policy_harness import MS, SECOND, START


@dataclass(eq=False)
class Machine:
    """An upstream: `cores` workers before one queue, that turns away what is over `room`."""

    entry: Endpoint
    rate: float  # requests of mean work a second, warm
    cores: int = 2
    room: int = 40
    spoils: float = 0.0  # share of requests that it answers at once with an error
    up: bool = True
    busy: int = 0
    queue: deque[Attempt] = field(default_factory=deque)
    book: list[tuple[int, float, bool]] = field(default_factory=list)  # when, work, was it told

    def part(self, now: int, rules: Rules) -> float:
        start = self.entry.started_ns
        if not start or now - start >= rules.slow_start_ns:
            return 1.0
        return (
            rules.slow_start_initial_capacity
            + (1 - rules.slow_start_initial_capacity) * max(0, now - start) / rules.slow_start_ns
        )

    def pressure(self, rules: Rules) -> float:
        """The most that came in any window, against what its budget and chance allow; over 1 it falls.

        The budget is that of the window's first moment. Falls of which a third or more came from balancers
        that had not been told of the start break no rule: they are left out."""
        worst = total = told = 0.0
        first = 0
        book = sorted(self.book)
        for at, work, knew in book:
            total, told = total + work, told + work * knew
            while book[first][0] <= at - rules.overload_window_ns:
                total, told = total - book[first][1], told - book[first][1] * book[first][2]
                first += 1
            if book[first][0] - self.entry.started_ns < rules.slow_start_ns and told > total * 2 / 3:
                part = self.part(book[first][0], rules)
                budget = rules.overload_factor * self.rate * part * rules.overload_window_ns / SECOND
                worst = max(worst, total / (budget + 2 * budget**0.5))
        return worst


@dataclass(eq=False)
class Attempt:
    node: int
    request: str
    number: int
    machine: Machine
    sent_ns: int
    work: float
    over: bool = False  # its outcome has been given; the upstream works on it all the same


@dataclass
class Open:
    cls: RequestClass
    deadline_ns: int
    work: float
    tries: int
    sends: list[Attempt] = field(default_factory=list)
    over: bool = False


@dataclass(frozen=True)
class Traffic:
    """Classes with their share of the requests and their work, in requests of mean work."""

    cls: RequestClass
    share: float = 1.0
    work: float = 1.0


class FleetModel:
    def __init__(
        self,
        count: int,
        machines: Sequence[Machine],
        config: Sequence[Settings],
        traffic: Sequence[Traffic],
        rate: float,
        seed: int,
        shares: Sequence[float] | None = None,
        client_retries: int = 2,
    ) -> None:
        self.rng = random.Random(seed)
        self.now, self.count, self.sequence = START, count, 0
        self.machines = {m.entry.id: m for m in machines}
        self.config, self.traffic, self.rate = config, traffic, rate
        self.shares = list(accumulate(shares or [1.0] * count))
        self.client_retries = client_retries
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.lives = [0] * count
        self.nodes = [Balancer(config[i], self.rng.getrandbits(32), self.now) for i in range(count)]
        self.requests: list[dict[str, Open]] = [{} for _ in range(count)]
        self.linked: list[set[int]] = [set() for _ in range(count)]
        self.seen: list[dict[int, int]] = [{} for _ in range(count)]  # starts that each has been told of
        self.rules = config[0].rules
        self.served = self.turned_away = 0
        mean = sum(t.share * t.work for t in traffic)
        self.traffic = [Traffic(t.cls, t.share, t.work / mean) for t in traffic]
        self.at(self.now, self._client)

    # -- time --

    def at(self, when: int, what: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.queue, (when, self.sequence, what))

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.queue and self.queue[0][0] <= end:
            self.now, _, what = heapq.heappop(self.queue)
            what()
        self.now = end

    # -- discovery --

    def tell(self, node: int, kind: EndpointUpdateKind, entries: Sequence[Endpoint]) -> None:
        for e in entries:
            self.seen[node][e.id] = e.started_ns
        self.give(node, EndpointUpdate(kind, list(entries)))

    def tell_all(self, kind: EndpointUpdateKind, entries: Sequence[Endpoint]) -> None:
        for node in range(self.count):
            self.tell(node, kind, entries)

    def start(self, machines: Sequence[Machine]) -> list[Endpoint]:
        """They start now, cold; nobody has been told yet."""
        for m in machines:
            m.entry = m.entry._replace(started_ns=self.now, status=EndpointStatus.READY)
            m.up, m.busy, m.queue = True, 0, deque()
            m.book = []
            for linked in self.linked:
                linked.discard(m.entry.id)
        return [m.entry for m in machines]

    def stop(self, machines: Sequence[Machine]) -> list[Endpoint]:
        """They crash: what they hold breaks."""
        for m in machines:
            m.up, m.queue = False, deque()
            m.entry = m.entry._replace(status=EndpointStatus.REMOVED)
        for open_requests in self.requests:
            for o in list(open_requests.values()):
                for a in o.sends:
                    if not a.over and not a.machine.up:
                        self.at(self.now, lambda a=a: self.end(a, AttemptResult.RESET))  # type: ignore[misc]
        return [m.entry for m in machines]

    def restart(self, node: int, entries: Sequence[Endpoint]) -> None:
        """A process is killed and begins anew, knowing only the list that it is given."""
        self.lives[node] += 1
        self.requests[node], self.seen[node], self.linked[node] = {}, {}, set()
        self.nodes[node] = Balancer(self.config[node], self.rng.getrandbits(32), self.now)
        self.tell(node, EndpointUpdateKind.CACHED, entries)

    # -- clients --

    def _client(self) -> None:
        node = self._node()
        t = self.rng.choices(self.traffic, [t.share for t in self.traffic])[0]
        self._ask(node, t, t.work * self.rng.uniform(0.5, 1.5), 0)
        self.at(self.now + int(self.rng.expovariate(self.rate) * SECOND), self._client)

    def _node(self) -> int:
        return bisect(self.shares, self.rng.random() * self.shares[-1])

    def _ask(self, node: int, t: Traffic, work: float, tries: int) -> None:
        self.sequence += 1
        request, deadline = f"q{self.sequence}", self.now + t.cls.client_timeout_ns
        self.requests[node][request] = Open(t.cls, deadline, work, tries)
        self.at(deadline, lambda: self._deadline(node, self.lives[node], request))
        self.give(node, RequestArrived(request, t.cls.name, "", deadline, is_retry=tries > 0))

    def _deadline(self, node: int, life: int, request: str) -> None:
        o = self.requests[node].get(request)
        if o is not None and life == self.lives[node]:
            for a in o.sends:
                self.end(a, AttemptResult.TIMEOUT)
            if not o.over:
                o.over = True
                self.give(node, ClientDisconnected(request))

    def _again(self, o: Open) -> None:
        if o.tries < self.client_retries:
            t = next(t for t in self.traffic if t.cls is o.cls)
            node = self._node()
            self.at(
                self.now + int(self.rng.uniform(20, 160) * MS),
                lambda: self._ask(node, t, o.work, o.tries + 1),
            )

    # -- balancers --

    def give(self, node: int, event: Event) -> None:
        life = self.lives[node]
        for a in self.nodes[node].handle(self.now, [event]):
            if type(a) is Forward:
                self._send(node, a)
            elif type(a) is SetTimer:
                self.at(self.now + a.delay_ns, lambda a=a: self._wake(node, life, a.name))  # type: ignore[misc]
            elif type(a) is Reject or type(a) is Fail:
                o = self.requests[node][a.request_id]
                o.over = True
                self.turned_away += 1
                if type(a) is Reject:
                    self._again(o)
            elif type(a) is CancelAttempt:
                attempt = self.requests[node][a.request_id].sends[a.attempt]
                self.at(self.now, lambda x=attempt: self.end(x, AttemptResult.CANCELLED))  # type: ignore[misc]
            elif type(a) is CheckHealth:
                self.at(self.now + MS, lambda u=a.endpoint_id: self._probe(node, life, u))  # type: ignore[misc]

    def _wake(self, node: int, life: int, name: str) -> None:
        if life == self.lives[node]:
            self.give(node, TimerExpired(name))

    def _probe(self, node: int, life: int, upstream: int) -> None:
        m = self.machines[upstream]
        if life == self.lives[node]:
            report = {"inflight": float(m.busy + len(m.queue))}
            result = AttemptResult.OK if m.up else AttemptResult.CONNECT_FAILED
            self.give(node, HealthCheckEnded(upstream, result, MS, report if m.up else None))

    def _send(self, node: int, send: Forward) -> None:
        o, m = self.requests[node][send.request_id], self.machines[send.endpoint_id]
        a = Attempt(node, send.request_id, len(o.sends), m, self.now, o.work)
        o.sends.append(a)
        fresh = m.entry.id not in self.linked[node]
        if send.timeout_ns:
            self.at(self.now + send.timeout_ns, lambda: self.end(a, AttemptResult.TIMEOUT))
        if not m.up:
            self.at(self.now + MS, lambda: self.end(a, AttemptResult.CONNECT_FAILED))
            return
        self.linked[node].add(m.entry.id)
        self.at(self.now + (MS if fresh else MS // 4), lambda: self._reach(a, 0.25 * fresh))

    # -- upstreams --

    def _reach(self, a: Attempt, handshake: float) -> None:
        m = a.machine
        if not m.up:
            return self.end(a, AttemptResult.RESET)
        told = self.seen[a.node].get(m.entry.id) == m.entry.started_ns
        m.book.append((self.now, a.work + handshake, told))
        if m.spoils and self.rng.random() < m.spoils:
            self.at(self.now + MS // 4, lambda: self.end(a, AttemptResult.ERROR))
        elif len(m.queue) >= m.room:
            self.at(self.now + MS // 4, lambda: self.end(a, AttemptResult.REJECTED))
        else:
            m.queue.append(a)
            self._work(m)

    def _work(self, m: Machine) -> None:
        while m.queue and m.busy < m.cores:
            a = m.queue.popleft()
            m.busy += 1
            took = a.work * m.cores / (m.rate * m.part(self.now, self.rules)) * SECOND
            start = m.entry.started_ns
            self.at(self.now + int(took), lambda a=a, s=start: self._done(a, s))  # type: ignore[misc]

    def _done(self, a: Attempt, start: int) -> None:
        m = a.machine
        if m.up and m.entry.started_ns == start:
            m.busy -= 1
            self.end(a, AttemptResult.OK)
            self._work(m)

    def end(self, a: Attempt, result: AttemptResult) -> None:
        o = self.requests[a.node].get(a.request)
        if a.over or o is None or o.sends[a.number] is not a:
            return
        a.over = True
        if result is AttemptResult.OK and not o.over:
            o.over = True
            self.served += 1
        report = (
            {"inflight": float(a.machine.busy + len(a.machine.queue))}
            if result is AttemptResult.OK and self.config[a.node].load_reports_in_responses
            else None
        )
        self.give(
            a.node,
            AttemptEnded(
                a.request, a.number, a.machine.entry.id, result, self.now - a.sent_ns, o.over, report
            ),
        )
