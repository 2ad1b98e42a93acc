"""How many requests in flight an endpoint gains from, and how long requests take.

Types of the interface: loadbalancer/messages.py.
"""

from __future__ import annotations

from loadbalancer.policy.rate_control import EVIDENCE
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.request import Attempt, Request
from loadbalancer.units import SECOND

LIMIT_MAX = 64
KEPT = 0.98  # of evidence on what requests take, an outcome
FADE = 0.95  # of evidence on crowding, a feedback interval
MORE = 1.05  # one more in flight must raise what an upstream finishes by this


class ConcurrencyLimit:
    """Learns what requests take, and how many of our own in flight an upstream still gains from.

    Extension: while upstreams hold k of this proxy's requests, how often does one finish? An upstream that
    finishes no more with k than with k - 1 is crowded, and the queue is the better place to wait (6.1).
    """

    def __init__(self) -> None:
        self.limit, self.raised_ns = 1, 0
        self.regression_sums = [0.0] * 5
        self.base_ns = 0.0  # time of a request that waits for no other
        self.service_interval_ns = SECOND / 8  # time between two that an upstream finishes
        self.per_request_ns = SECOND / 50  # and for each request that its upstream holds
        self.mean_ns = SECOND / 20  # time of a request, over all classes
        self.mean_by_class: dict[str, float] = {}  # class -> time, or time per hinted time
        self.deviation = 0.5  # mean deviation from the expected
        self.busy_seconds = [0.0] * (LIMIT_MAX + 2)  # seconds that upstreams held k of ours
        self.completions = [0.0] * (LIMIT_MAX + 2)  # and how many finished meanwhile

    def expected_ns(self, r: Request) -> float:
        if r.cost_hint_ns:
            return self.mean_by_class.get("", 1.0) * r.cost_hint_ns
        return self.mean_by_class.get(r.request_class.name, r.request_class.latency_objective_ns / 8)

    def record_success(self, r: Request, a: Attempt, took: int) -> None:
        server = a.endpoint_state
        name, base = ("", float(r.cost_hint_ns)) if r.cost_hint_ns else (r.request_class.name, 1.0)
        was = self.mean_by_class.get(name)
        self.mean_by_class[name] = (
            took / base if was is None else was + 0.05 * (min(took / base, 8 * was) - was)
        )
        self.record_latency(a, took)
        self.mean_ns += 0.05 * (min(took, 8 * self.mean_ns) - self.mean_ns)
        ratio = took / max(1.0, self.expected_ns(r))
        self.deviation += 0.05 * (min(3.0, abs(ratio / server.relative_latency - 1)) - self.deviation)
        server.relative_latency += 0.2 * (min(10.0, max(0.1, ratio)) - server.relative_latency)

    def record_latency(self, a: Attempt, took: float) -> None:
        """Least squares over what upstreams held: took = base + each * held. With little spread in that,
        all is laid on `each`, as if nothing but waiting for others took time."""
        for i, x in enumerate((1.0, a.load, took, a.load * a.load, a.load * took)):
            self.regression_sums[i] = KEPT * self.regression_sums[i] + x
        n, mean_held, mean_took = (
            self.regression_sums[0],
            self.regression_sums[1] / self.regression_sums[0],
            self.regression_sums[2] / self.regression_sums[0],
        )
        spread, along = (
            self.regression_sums[3] / n - mean_held**2,
            self.regression_sums[4] / n - mean_held * mean_took,
        )
        alone = self.service_interval_ns = max(1.0, mean_took / mean_held)
        self.per_request_ns = min(alone, max(alone / 10, (along + alone) / (spread + 1)))
        self.base_ns = max(0.0, mean_took - self.per_request_ns * mean_held)

    def latency_at(self, held: float) -> float:
        """What a request takes at an upstream that holds so many, this one included."""
        return self.base_ns + self.per_request_ns * held

    def record_occupancy(self, server: EndpointState, now: int) -> None:
        """Book the time for which an upstream held what it holds; call before that changes."""
        if server.in_flight and server.in_subset:
            self.busy_seconds[min(server.in_flight, LIMIT_MAX + 1)] += (
                now - server.in_flight_since_ns
            ) / SECOND
        server.in_flight_since_ns = now

    def has_enough_samples(self, k: int) -> bool:
        """Were upstreams held at k for so long that a good number should have finished?"""
        return self.completions[1] >= EVIDENCE and (
            k == 1
            or self.busy_seconds[k] * self.completions[k - 1] >= 4 * EVIDENCE * self.busy_seconds[k - 1]
        )

    def throughput(self, k: int) -> float:
        # A clock that stands still between batches books no time: no division by it.
        return (
            self.completions[k] / max(1e-3, self.busy_seconds[k]) if self.completions[k] >= EVIDENCE else 0.0
        )

    def increase(self, now: int) -> bool:
        """The queue waits: one more for each upstream, unless that is known not to help."""
        k = self.limit
        # Requests just sent finish less often than older ones: guards against a limit that runs away at the
        # start, before the first ones are done (incident i4eb9e9).
        if k >= LIMIT_MAX or now - self.raised_ns < 3 * self.mean_ns or not self.has_enough_samples(k):
            return False
        best = max((self.throughput(j) for j in range(1, k)), default=0.0)
        if self.throughput(k) < MORE * best or (
            self.has_enough_samples(k + 1) and self.throughput(k + 1) < MORE * self.throughput(k)
        ):
            return False
        self.limit, self.raised_ns = k + 1, now
        return True

    def decay(self) -> None:
        """Fade old evidence, and go back to the least limit that serves as well."""
        for k in range(1, LIMIT_MAX + 2):
            self.busy_seconds[k] *= FADE
            self.completions[k] *= FADE
        if not self.has_enough_samples(self.limit):
            return
        # What little was seen at the limit may be chance: give it the benefit of one deviation.
        hope = self.throughput(self.limit) * (1 + max(1.0, self.completions[self.limit]) ** -0.5)
        self.limit = next(k for k in range(1, self.limit + 1) if k == self.limit or self.throughput(k) > hope)
