"""A simulated endpoint with a capacity, a queue and slow start, which records the work it receives."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from loadbalancer.messages import Endpoint, EndpointStatus
from loadbalancer.settings import Rules
from loadbalancer.units import NANOSECONDS_PER_SECOND


class WorkArrival(NamedTuple):
    """Work that reached an endpoint, including rejected requests and handshakes."""

    at_ns: int
    work: float  # 1.0 is the mean work of a request
    sender_knew_start: bool  # the sending proxy had been told of the endpoint's last start


@dataclass(eq=False)
class SimulatedAttempt:
    """One attempt of a request, in transit or at its endpoint."""

    proxy: int
    request: str  # its id
    number: int
    target: SimulatedEndpoint
    sent_ns: int
    work: float
    has_ended: bool = False  # its proxy has the result; the endpoint may still process it


@dataclass(eq=False)
class SimulatedEndpoint:
    """Workers with one shared queue; a request is rejected while the queue is full."""

    endpoint: Endpoint
    rate: float  # work per second after slow start
    workers: int = 2
    queue_capacity: int = 40
    error_share: float = 0.0  # fraction of requests that get an immediate error response
    is_running: bool = True
    busy: int = 0  # number of busy workers
    queue: deque[SimulatedAttempt] = field(default_factory=deque)
    arrivals: list[WorkArrival] = field(default_factory=list)  # since the last start

    @property
    def in_flight(self) -> int:
        """The number of requests in processing or in the queue."""
        return self.busy + len(self.queue)

    def start(self, now_ns: int) -> None:
        """Start in slow start, with an empty queue."""
        self.endpoint = self.endpoint._replace(started_ns=now_ns, status=EndpointStatus.READY)
        self.is_running = True
        self.busy = 0
        self.queue = deque()
        self.arrivals = []

    def crash(self) -> None:
        """Stop, and drop the queued requests."""
        self.endpoint = self.endpoint._replace(status=EndpointStatus.REMOVED)
        self.is_running = False
        self.queue = deque()

    def capacity_fraction(self, now_ns: int, rules: Rules) -> float:
        """Return the available fraction of `rate`: less than 1 in slow start, otherwise 1."""
        start_ns = self.endpoint.started_ns
        if not start_ns or now_ns - start_ns >= rules.slow_start_ns:
            return 1.0
        initial = rules.slow_start_initial_capacity
        return initial + (1 - initial) * max(0, now_ns - start_ns) / rules.slow_start_ns

    def max_overload(self, rules: Rules) -> float:
        """Return the highest ratio of received to allowed work in a window; above 1 is an overload.

        A window lasts up to `Rules.overload_window_ns` and counts if it begins in slow start. The work
        allowed follows from the capacity at the window's beginning, with an allowance for random arrivals. A
        window is skipped if a third or more of its work came from proxies that had not been told of the
        start, since these break no rule.
        """
        worst = total = informed_work = 0.0
        arrivals = sorted(self.arrivals)
        first = 0  # index of the window's first arrival
        for arrival in arrivals:
            total += arrival.work
            if arrival.sender_knew_start:
                informed_work += arrival.work
            while arrivals[first].at_ns <= arrival.at_ns - rules.overload_window_ns:
                total -= arrivals[first].work
                if arrivals[first].sender_knew_start:
                    informed_work -= arrivals[first].work
                first += 1
            window_start_ns = arrivals[first].at_ns
            is_cold = window_start_ns - self.endpoint.started_ns < rules.slow_start_ns
            if is_cold and informed_work > total * 2 / 3:
                worst = max(worst, total / self._work_allowed(window_start_ns, rules))
        return worst

    def _work_allowed(self, window_start_ns: int, rules: Rules) -> float:
        fraction = self.capacity_fraction(window_start_ns, rules)
        budget = (
            rules.overload_factor * self.rate * fraction * rules.overload_window_ns / NANOSECONDS_PER_SECOND
        )
        deviation: float = budget**0.5  # standard deviation of random arrivals
        return budget + 2 * deviation
