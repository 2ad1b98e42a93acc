"""An endpoint with known capacity, queue and slow start, and a record of the work that reaches it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from loadbalancer.messages import Endpoint, EndpointStatus
from loadbalancer.settings import Rules
from loadbalancer.units import NANOSECONDS_PER_SECOND


class WorkArrival(NamedTuple):
    """Work that reached an endpoint, rejected requests and handshakes included."""

    at_ns: int
    work: float  # in requests of mean work
    sender_knew_start: bool  # the proxy that sent it had been told that the endpoint started


@dataclass(eq=False)
class SimulatedAttempt:
    """One attempt of a request, on its way or at its endpoint."""

    proxy: int
    request: str
    number: int
    target: SimulatedEndpoint
    sent_ns: int
    work: float
    has_ended: bool = False  # its result has been given; the endpoint works on it all the same


@dataclass(eq=False)
class SimulatedEndpoint:
    """Workers before one queue; a request is rejected where the queue is at its capacity."""

    endpoint: Endpoint
    rate: float  # requests of mean work a second, once warm
    workers: int = 2
    queue_capacity: int = 40
    error_share: float = 0.0  # share of requests that it answers at once with an error
    is_running: bool = True
    busy: int = 0  # workers
    queue: deque[SimulatedAttempt] = field(default_factory=deque)
    arrivals: list[WorkArrival] = field(default_factory=list)  # since its start

    @property
    def in_flight(self) -> int:
        """The requests that it works on or has in its queue."""
        return self.busy + len(self.queue)

    def start(self, now_ns: int) -> None:
        """Start anew, cold and empty."""
        self.endpoint = self.endpoint._replace(started_ns=now_ns, status=EndpointStatus.READY)
        self.is_running = True
        self.busy = 0
        self.queue = deque()
        self.arrivals = []

    def crash(self) -> None:
        """Stop, and lose the queue."""
        self.endpoint = self.endpoint._replace(status=EndpointStatus.REMOVED)
        self.is_running = False
        self.queue = deque()

    def capacity_fraction(self, now_ns: int, rules: Rules) -> float:
        """Return the part of its rate that it has in its slow start, 1 once it is warm."""
        start_ns = self.endpoint.started_ns
        if not start_ns or now_ns - start_ns >= rules.slow_start_ns:
            return 1.0
        initial = rules.slow_start_initial_capacity
        return initial + (1 - initial) * max(0, now_ns - start_ns) / rules.slow_start_ns

    def max_overload(self, rules: Rules) -> float:
        """Return the most work of any window, relative to what budget and chance allow: over 1 it crashes.

        The budget is that of the window's first moment. Windows of which a third of the work or more came
        from proxies that had not been told of the start break no rule: they are left out.
        """
        worst = total = informed_work = 0.0
        arrivals = sorted(self.arrivals)
        first = 0  # of the window
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
        deviation: float = budget**0.5  # of chance arrivals
        return budget + 2 * deviation
