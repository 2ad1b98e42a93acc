"""A simulated fleet: many balancers, endpoints and clients on one clock, reproducible from one seed.

The balancers are driven only through their events and actions.
"""

from __future__ import annotations

import heapq
import random
from bisect import bisect
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from itertools import accumulate

from loadbalancer.messages import (
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    CheckHealth,
    ClientDisconnected,
    Endpoint,
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
from loadbalancer.settings import RequestClass, Settings
from tests.support.policy_harness import NANOSECONDS_PER_MILLISECOND, NANOSECONDS_PER_SECOND, START_NS
from tests.support.simulated_endpoint import SimulatedAttempt, SimulatedEndpoint, WorkArrival

# Time until a request arrives on a new connection, or until a connection attempt fails.
CONNECT_NS = NANOSECONDS_PER_MILLISECOND
ONE_WAY_NS = NANOSECONDS_PER_MILLISECOND // 4  # transfer time on an open connection
HANDSHAKE_WORK = 0.25  # work of accepting a connection; 1.0 is the mean work of a request
RETRY_DELAY_MS = (20, 160)  # the shortest and longest delay before a client retries


@dataclass(frozen=True)
class Traffic:
    """A request class, its share of all requests, and the relative work of each of them."""

    request_class: RequestClass
    share: float = 1.0
    work: float = 1.0


@dataclass
class OpenRequest:
    """A request that a client has sent to a proxy."""

    traffic: Traffic
    work: float
    retries: int  # number of times that the client has retried already
    attempts: list[SimulatedAttempt] = field(default_factory=list)
    is_complete: bool = False


@dataclass
class SimulatedProxy:
    """A balancer and the state of its process, all of which a restart replaces."""

    balancer: Balancer
    incarnation: int = 0
    requests: dict[str, OpenRequest] = field(default_factory=dict)
    connections: set[int] = field(default_factory=set)  # ids of the endpoints with an open connection
    known_starts: dict[int, int] = field(default_factory=dict)  # endpoint id to start time as last sent


class FleetModel:
    """Proxies, endpoints and clients on one simulated clock.

    Proxies are identified by index. `rate` is the total of all clients in requests per second, split
    among the proxies in proportion to `proxy_shares`.
    """

    def __init__(
        self,
        proxy_count: int,
        endpoints: Sequence[SimulatedEndpoint],
        settings: Sequence[Settings],
        traffic: Sequence[Traffic],
        rate: float,
        seed: int,
        proxy_shares: Sequence[float] | None = None,
        client_retries: int = 2,
    ) -> None:
        self.rng = random.Random(seed)
        self.now_ns = START_NS
        self.sequence = 0  # last number given to a timer or a request
        self.endpoints = {simulated.endpoint.id: simulated for simulated in endpoints}
        self.settings = settings
        self.rules = settings[0].rules
        self.rate = rate
        self.cumulative_shares = list(accumulate(proxy_shares or [1.0] * proxy_count))
        self.client_retries = client_retries
        self.timers: list[tuple[int, int, Callable[[], None]]] = []  # due time, sequence number, callback
        self.proxies = [SimulatedProxy(self._make_balancer(proxy)) for proxy in range(proxy_count)]
        # Numbers of requests: those with a successful response before the client's timeout, and those that a
        # balancer rejected or failed. Requests that end with the client's timeout are in neither.
        self.served = self.unserved = 0
        mean_work = sum(traffic_class.share * traffic_class.work for traffic_class in traffic)
        self.traffic = [
            Traffic(traffic_class.request_class, traffic_class.share, traffic_class.work / mean_work)
            for traffic_class in traffic
        ]
        self.schedule(self.now_ns, self._send_next_request)

    def _make_balancer(self, proxy: int) -> Balancer:
        return Balancer(self.settings[proxy], self.rng.getrandbits(32), self.now_ns)

    # -- time --

    def schedule(self, at_ns: int, callback: Callable[[], None]) -> None:
        """Call `callback` at a simulated time."""
        self.sequence += 1
        heapq.heappush(self.timers, (at_ns, self.sequence, callback))

    def run(self, seconds: float) -> None:
        """Advance the clock, and run the callbacks that fall due."""
        end_ns = self.now_ns + int(seconds * NANOSECONDS_PER_SECOND)
        while self.timers and self.timers[0][0] <= end_ns:
            self.now_ns, _, callback = heapq.heappop(self.timers)
            callback()
        self.now_ns = end_ns

    # -- discovery --

    def update_endpoints(self, proxy: int, kind: EndpointUpdateKind, endpoints: Sequence[Endpoint]) -> None:
        """Deliver an endpoint update to one proxy."""
        for endpoint in endpoints:
            self.proxies[proxy].known_starts[endpoint.id] = endpoint.started_ns
        self.deliver(proxy, EndpointUpdate(kind, list(endpoints)))

    def update_all_proxies(self, kind: EndpointUpdateKind, endpoints: Sequence[Endpoint]) -> None:
        """Deliver an endpoint update to all proxies."""
        for proxy in range(len(self.proxies)):
            self.update_endpoints(proxy, kind, endpoints)

    def start_endpoints(self, endpoints: Sequence[SimulatedEndpoint]) -> list[Endpoint]:
        """Start endpoints in slow start; return their new entries, unknown to all proxies."""
        for simulated in endpoints:
            simulated.start(self.now_ns)
            for proxy in self.proxies:
                proxy.connections.discard(simulated.endpoint.id)
        return [simulated.endpoint for simulated in endpoints]

    def crash_endpoints(self, endpoints: Sequence[SimulatedEndpoint]) -> list[Endpoint]:
        """Crash endpoints and reset their attempts; return their new entries, unknown to all proxies."""
        for simulated in endpoints:
            simulated.crash()
        attempts = [
            sent_attempt
            for simulated_proxy in self.proxies
            for request in simulated_proxy.requests.values()
            for sent_attempt in request.attempts
        ]
        for attempt in attempts:
            if not attempt.has_ended and not attempt.target.is_running:
                self.schedule(self.now_ns, partial(self.end_attempt, attempt, AttemptResult.RESET))
        return [simulated.endpoint for simulated in endpoints]

    def restart_proxy(self, proxy: int, endpoints: Sequence[Endpoint]) -> None:
        """Restart a proxy: it loses all state, and is sent these endpoints as its cached list."""
        incarnation = self.proxies[proxy].incarnation + 1
        self.proxies[proxy] = SimulatedProxy(self._make_balancer(proxy), incarnation)
        self.update_endpoints(proxy, EndpointUpdateKind.CACHED, endpoints)

    # -- clients --

    def _send_next_request(self) -> None:
        proxy = self._draw_proxy()
        traffic = self.rng.choices(self.traffic, [traffic_class.share for traffic_class in self.traffic])[0]
        self._send_request(proxy, traffic, traffic.work * self.rng.uniform(0.5, 1.5), 0)
        self.schedule(
            self.now_ns + int(self.rng.expovariate(self.rate) * NANOSECONDS_PER_SECOND),
            self._send_next_request,
        )

    def _draw_proxy(self) -> int:
        return bisect(self.cumulative_shares, self.rng.random() * self.cumulative_shares[-1])

    def _send_request(self, proxy: int, traffic: Traffic, work: float, retries: int) -> None:
        self.sequence += 1
        request, class_of_request = f"q{self.sequence}", traffic.request_class
        deadline_ns = self.now_ns + class_of_request.client_timeout_ns
        self.proxies[proxy].requests[request] = OpenRequest(traffic, work, retries)
        incarnation = self.proxies[proxy].incarnation
        self.schedule(deadline_ns, partial(self._client_timeout, proxy, incarnation, request))
        self.deliver(
            proxy, RequestArrived(request, class_of_request.name, "", deadline_ns, is_retry=retries > 0)
        )

    def _client_timeout(self, proxy: int, incarnation: int, request: str) -> None:
        open_request = self.proxies[proxy].requests.get(request)
        if open_request is None or incarnation != self.proxies[proxy].incarnation:
            return
        for attempt in open_request.attempts:
            self.end_attempt(attempt, AttemptResult.TIMEOUT)
        if not open_request.is_complete:
            open_request.is_complete = True
            self.deliver(proxy, ClientDisconnected(request))

    def _schedule_retry(self, request: OpenRequest) -> None:
        if request.retries >= self.client_retries:
            return
        proxy = self._draw_proxy()
        at_ns = self.now_ns + int(self.rng.uniform(*RETRY_DELAY_MS) * NANOSECONDS_PER_MILLISECOND)
        retries = request.retries + 1
        self.schedule(at_ns, partial(self._send_request, proxy, request.traffic, request.work, retries))

    # -- proxies --

    def deliver(self, proxy: int, event: Event) -> None:
        """Hand one event to a proxy's balancer, and execute the actions that it returns."""
        state = self.proxies[proxy]
        for action in state.balancer.handle(self.now_ns, [event]):
            match action:
                case Forward():
                    self._forward(proxy, action)
                case SetTimer():
                    expire = partial(self._timer_expired, proxy, state.incarnation, action.name)
                    self.schedule(self.now_ns + action.delay_ns, expire)
                case Reject() | Fail():
                    self._end_request(state.requests[action.request_id], isinstance(action, Reject))
                case CancelAttempt():
                    attempt = state.requests[action.request_id].attempts[action.attempt]
                    self.schedule(self.now_ns, partial(self.end_attempt, attempt, AttemptResult.CANCELLED))
                case CheckHealth():
                    check = partial(self._check_health, proxy, state.incarnation, action.endpoint_id)
                    self.schedule(self.now_ns + NANOSECONDS_PER_MILLISECOND, check)

    def _end_request(self, request: OpenRequest, may_retry: bool) -> None:
        request.is_complete = True
        self.unserved += 1
        if may_retry:
            self._schedule_retry(request)

    def _timer_expired(self, proxy: int, incarnation: int, name: str) -> None:
        if incarnation == self.proxies[proxy].incarnation:
            self.deliver(proxy, TimerExpired(name))

    def _check_health(self, proxy: int, incarnation: int, endpoint_id: int) -> None:
        if incarnation != self.proxies[proxy].incarnation:
            return
        target = self.endpoints[endpoint_id]
        if target.is_running:
            report = {"inflight": float(target.in_flight)}
            self.deliver(
                proxy, HealthCheckEnded(endpoint_id, AttemptResult.OK, NANOSECONDS_PER_MILLISECOND, report)
            )
        else:
            self.deliver(
                proxy,
                HealthCheckEnded(
                    endpoint_id, AttemptResult.CONNECT_FAILED, NANOSECONDS_PER_MILLISECOND, None
                ),
            )

    def _forward(self, proxy: int, action: Forward) -> None:
        request, target = self.proxies[proxy].requests[action.request_id], self.endpoints[action.endpoint_id]
        number = len(request.attempts)
        attempt = SimulatedAttempt(proxy, action.request_id, number, target, self.now_ns, request.work)
        request.attempts.append(attempt)
        if action.timeout_ns:
            at_ns = self.now_ns + action.timeout_ns
            self.schedule(at_ns, partial(self.end_attempt, attempt, AttemptResult.TIMEOUT))
        connections = self.proxies[proxy].connections
        if not target.is_running:
            result = AttemptResult.CONNECT_FAILED
            self.schedule(self.now_ns + CONNECT_NS, partial(self.end_attempt, attempt, result))
        elif target.endpoint.id in connections:
            self.schedule(self.now_ns + ONE_WAY_NS, partial(self._reach_endpoint, attempt, 0.0))
        else:
            connections.add(target.endpoint.id)
            self.schedule(self.now_ns + CONNECT_NS, partial(self._reach_endpoint, attempt, HANDSHAKE_WORK))

    # -- endpoints --

    def _reach_endpoint(self, attempt: SimulatedAttempt, handshake_work: float) -> None:
        target = attempt.target
        if not target.is_running:
            self.end_attempt(attempt, AttemptResult.RESET)
            return
        known_start = self.proxies[attempt.proxy].known_starts.get(target.endpoint.id)
        sender_knew_start = known_start == target.endpoint.started_ns
        target.arrivals.append(WorkArrival(self.now_ns, attempt.work + handshake_work, sender_knew_start))
        if target.error_share and self.rng.random() < target.error_share:
            self.schedule(self.now_ns + ONE_WAY_NS, partial(self.end_attempt, attempt, AttemptResult.ERROR))
        elif len(target.queue) >= target.queue_capacity:
            self.schedule(
                self.now_ns + ONE_WAY_NS, partial(self.end_attempt, attempt, AttemptResult.REJECTED)
            )
        else:
            target.queue.append(attempt)
            self._serve_queue(target)

    def _serve_queue(self, target: SimulatedEndpoint) -> None:
        while target.queue and target.busy < target.workers:
            attempt = target.queue.popleft()
            target.busy += 1
            rate = target.rate * target.capacity_fraction(self.now_ns, self.rules)
            service_ns = int(attempt.work * target.workers / rate * NANOSECONDS_PER_SECOND)
            finish = partial(self._finish_service, attempt, target.endpoint.started_ns)
            self.schedule(self.now_ns + service_ns, finish)

    def _finish_service(self, attempt: SimulatedAttempt, started_ns: int) -> None:
        target = attempt.target
        if target.is_running and target.endpoint.started_ns == started_ns:
            target.busy -= 1
            self.end_attempt(attempt, AttemptResult.OK)
            self._serve_queue(target)

    def end_attempt(self, attempt: SimulatedAttempt, result: AttemptResult) -> None:
        """End an attempt and report its result, unless it has ended already or its proxy has restarted."""
        request = self.proxies[attempt.proxy].requests.get(attempt.request)
        if attempt.has_ended or request is None or request.attempts[attempt.number] is not attempt:
            return
        attempt.has_ended = True
        is_served = result is AttemptResult.OK
        if is_served and not request.is_complete:
            request.is_complete = True
            self.served += 1
        report = None
        if is_served and self.settings[attempt.proxy].load_reports_in_responses:
            report = {"inflight": float(attempt.target.in_flight)}
        elapsed_ns = self.now_ns - attempt.sent_ns
        endpoint_id = attempt.target.endpoint.id
        event = AttemptEnded(
            attempt.request, attempt.number, endpoint_id, result, elapsed_ns, request.is_complete, report
        )
        self.deliver(attempt.proxy, event)
