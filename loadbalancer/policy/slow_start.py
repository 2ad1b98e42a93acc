"""Slow start: pacing of endpoints that warm up, rule 4 (types: loadbalancer/messages.py)."""

from loadbalancer.policy.latency_model import LatencyModel
from loadbalancer.policy.timers import ServeQueue, Timer
from loadbalancer.settings import Settings
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.fleet import Fleet
from loadbalancer.state.timer_queue import TimerQueue
from loadbalancer.units import NANOSECONDS_PER_SECOND

BUDGET_PART = 0.7  # of what an endpoint that is warming up may be sent
THROUGHPUT_GAIN = 0.2  # weight of the newest feedback interval


class SlowStart:
    """Paces what endpoints that are warming up are sent."""

    def __init__(
        self, settings: Settings, fleet: Fleet, timers: TimerQueue[Timer], latency: LatencyModel
    ) -> None:
        self.rules, self.proxy_count = settings.rules, settings.proxy_count
        self.fleet, self.timers, self.latency_model = fleet, timers, latency
        self.sustained_throughput = 0.0  # own attempts a second that a warm endpoint is seen to carry

    def is_warming_up(self, state: EndpointState, now_ns: int) -> bool:
        """Tell whether an endpoint has started so lately that it cannot carry full load yet."""
        started_ns = state.endpoint.started_ns
        return bool(started_ns) and now_ns - started_ns < self.rules.slow_start_ns

    def pacing_interval_ns(self, state: EndpointState, now_ns: int) -> int:
        """Return the least time between two sends of this proxy to an endpoint that is warming up.

        All proxies that have it in their subset must stay, together, inside what it can carry now. A warm one
        carries what it is seen to carry, or what endpoints finish: the time that a request adds, as it is
        learned, is flattened by late reports, and promises several times that.
        """
        rules = self.rules
        initial = rules.slow_start_initial_capacity
        capacity = initial + (1 - initial) * (now_ns - state.endpoint.started_ns) / rules.slow_start_ns
        # Other proxies may have it in the subset of another pool: all pools that admit it count.
        pools = self.fleet.pools.values()
        sharers = sum(pool.proxies_sharing for pool in pools if pool.admits(state.endpoint))
        sharers = max(1.0, min(self.proxy_count, sharers))
        finished = NANOSECONDS_PER_SECOND / self.latency_model.service_interval_ns / sharers
        throughput = max(self.sustained_throughput, finished)
        return int(NANOSECONDS_PER_SECOND / (BUDGET_PART * rules.overload_factor * capacity * throughput))

    def pace(self, state: EndpointState, now_ns: int, intervals: float) -> None:
        """Leave an endpoint that is warming up alone for so many of its pacing intervals."""
        pause_ns = int(intervals * self.pacing_interval_ns(state, now_ns))
        state.ejected_until_ns = max(state.ejected_until_ns, now_ns + pause_ns)
        self.timers.schedule(state.ejected_until_ns, ServeQueue())

    def record_throughput(self, attempts_per_second: float) -> None:
        """Learn from the attempts a second that the subset carried in the last feedback interval."""
        throughput = attempts_per_second / max(1, self.fleet.subset_size)
        self.sustained_throughput += THROUGHPUT_GAIN * (throughput - self.sustained_throughput)
