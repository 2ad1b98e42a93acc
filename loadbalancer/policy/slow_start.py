"""Slow start: pacing of endpoints that are warming up (interface types: loadbalancer/messages.py).

An endpoint that is overloaded while it warms up fails permanently (`Rules.overload_factor`).
"""

import random
from collections.abc import Iterable

from loadbalancer.policy.latency_model import LatencyModel
from loadbalancer.policy.timers import ServeQueue, Timer
from loadbalancer.settings import Settings
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.fleet import Fleet
from loadbalancer.state.timer_queue import TimerQueue
from loadbalancer.units import NANOSECONDS_PER_SECOND

OVERLOAD_BUDGET_FRACTION = 0.7  # fraction of the overloading rate that all proxies together may send
THROUGHPUT_SMOOTHING = 0.2  # weight of the sample of the newest feedback tick


class SlowStart:
    """Limits the rate at which endpoints that are warming up are sent requests."""

    def __init__(
        self, settings: Settings, fleet: Fleet, timers: TimerQueue[Timer], latency_model: LatencyModel
    ) -> None:
        self.rules = settings.rules
        self.proxy_count = settings.proxy_count
        self.fleet = fleet
        self.timers = timers
        self.latency_model = latency_model
        self.sustained_throughput = 0.0  # this proxy's attempts per second at one warm endpoint

    def is_warming_up(self, state: EndpointState, now_ns: int) -> bool:
        """Return whether an endpoint has started so recently that it may not carry full load yet."""
        started_ns = state.endpoint.started_ns
        return bool(started_ns) and now_ns - started_ns < self.rules.slow_start_ns

    def pacing_interval_ns(self, state: EndpointState, now_ns: int) -> int:
        """Return the minimum interval between this proxy's attempts at an endpoint that is warming up.

        All proxies that share the endpoint must together stay below the rate that overloads it now.
        """
        capacity = self._capacity_fraction(state, now_ns)
        throughput = self._warm_throughput(state)
        sends_per_s = OVERLOAD_BUDGET_FRACTION * self.rules.overload_factor * capacity * throughput
        return int(NANOSECONDS_PER_SECOND / sends_per_s)

    def _capacity_fraction(self, state: EndpointState, now_ns: int) -> float:
        """Return the fraction of full capacity that an endpoint is assumed to have now, while it warms up.

        The capacity is assumed to grow linearly with time.
        """
        rules = self.rules
        initial = rules.slow_start_initial_capacity
        return initial + (1 - initial) * (now_ns - state.endpoint.started_ns) / rules.slow_start_ns

    def _warm_throughput(self, state: EndpointState) -> float:
        """Return the requests per second that a warm endpoint is estimated to serve for this proxy.

        That is the throughput observed or, if it is more, this proxy's part of the rate at which endpoints
        finish requests. `LatencyModel.per_request_ns` is not used for that rate: late load reports make it
        several times too small.
        """
        finished_per_s = NANOSECONDS_PER_SECOND / self.latency_model.service_interval_ns
        return max(self.sustained_throughput, finished_per_s / self._sharing_proxies(state))

    def _sharing_proxies(self, state: EndpointState) -> float:
        """Return how many proxies may send to an endpoint, over all pools that allow it.

        Other proxies may have the endpoint in the subset of a different pool than this proxy.
        """
        pools = self.fleet.pools.values()
        sharing_proxies = sum(pool.sharing_proxies for pool in pools if pool.allows(state.endpoint))
        return max(1.0, min(self.proxy_count, sharing_proxies))

    def apply_pacing(self, state: EndpointState, now_ns: int, intervals: float) -> None:
        """For `intervals` pacing intervals, send nothing to an endpoint that is warming up."""
        pause_ns = int(intervals * self.pacing_interval_ns(state, now_ns))
        state.extend_ejection(now_ns + pause_ns)
        self.timers.schedule(state.ejected_until_ns, ServeQueue())

    def spread_first_attempts(self, states: Iterable[EndpointState], now_ns: int, rng: random.Random) -> None:
        """Delay first attempts at those endpoints that are warming up by a random part of a pacing interval.

        All proxies are notified of a start at once: without the delay their first attempts would coincide.
        """
        for state in states:
            if self.is_warming_up(state, now_ns):
                self.apply_pacing(state, now_ns, rng.random())

    def record_throughput(self, attempts_per_s: float) -> None:
        """Update the sustained throughput from the subset's attempts per second, at each feedback tick."""
        throughput = attempts_per_s / max(1, self.fleet.subset_size)
        self.sustained_throughput += THROUGHPUT_SMOOTHING * (throughput - self.sustained_throughput)
