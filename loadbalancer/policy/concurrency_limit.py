"""How many requests this proxy may have in flight at one endpoint (types: loadbalancer/messages.py).

The limit rises while requests wait in the queue, as long as one more in flight raises the throughput of
endpoints: one that finishes no more with k requests in flight than with k - 1 is saturated, and further
requests are better left in the queue. Levels are requests in flight; throughput is in requests a second.
"""

from loadbalancer.policy.latency_model import LatencyModel
from loadbalancer.policy.rate_control import OUTCOMES_MIN
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.throughput_samples import ThroughputSamples
from loadbalancer.units import NANOSECONDS_PER_SECOND

CONCURRENCY_LIMIT_MAX = 64
THROUGHPUT_GAIN_MIN_FACTOR = 1.05
SAMPLE_DECAY_PER_FEEDBACK_INTERVAL = 0.95
EXPECTED_COMPLETIONS_MIN = 4 * OUTCOMES_MIN
SETTLING_MEAN_LATENCIES = 3
STANDARD_ERROR_EXPONENT = -0.5


def _relative_standard_error(count: float) -> float:
    """Return the standard error of a count as a fraction of it."""
    error: float = max(1.0, count) ** STANDARD_ERROR_EXPONENT
    return error


class ConcurrencyLimit:
    """Learns the limit from what endpoints finish at each level of requests in flight."""

    def __init__(self, latency_model: LatencyModel) -> None:
        self.limit = 1
        self._latency_model = latency_model
        self._last_increase_ns = 0
        self._samples = ThroughputSamples(CONCURRENCY_LIMIT_MAX + 1, OUTCOMES_MIN)

    def record_occupancy(self, endpoint: EndpointState, now_ns: int) -> None:
        """Record how long the number of requests in flight was unchanged; call before it changes."""
        if endpoint.in_flight and endpoint.in_subset:
            seconds = (now_ns - endpoint.in_flight_since_ns) / NANOSECONDS_PER_SECOND
            self._samples.add_time(endpoint.in_flight, seconds)
        endpoint.restart_occupancy(now_ns)

    def record_completion(self, endpoint: EndpointState) -> None:
        """Record a request that an endpoint finished; call before it leaves the requests in flight."""
        if endpoint.in_subset:
            self._samples.add_completion(endpoint.in_flight)

    def has_enough_samples(self, level: int) -> bool:
        """Tell whether a good number of requests should have finished at a level, as fast as one lower."""
        completions = self._samples.completions
        busy_seconds = self._samples.busy_seconds
        if completions[1] < OUTCOMES_MIN:
            return False
        if level == 1:
            return True
        lower = level - 1
        return busy_seconds[level] * completions[lower] >= EXPECTED_COMPLETIONS_MIN * busy_seconds[lower]

    def increase(self, now_ns: int) -> bool:
        """Raise the limit by one while requests are queued, unless samples say that it brings no gain."""
        level = self.limit
        if (
            level >= CONCURRENCY_LIMIT_MAX
            or not self._is_settled(now_ns)
            or not self.has_enough_samples(level)
        ):
            return False
        if not self._is_gain_over_lower_levels(level) or self._is_saturated(level):
            return False
        self.limit = level + 1
        self._last_increase_ns = now_ns
        return True

    def _is_settled(self, now_ns: int) -> bool:
        """Tell whether attempts started after the last increase have had time to finish.

        Until they have, few finish, and the limit would run away.
        """
        return now_ns - self._last_increase_ns >= SETTLING_MEAN_LATENCIES * self._latency_model.mean_ns

    def _is_gain_over_lower_levels(self, level: int) -> bool:
        """Tell whether a level has a higher throughput than all lower ones."""
        best_lower = max((self._samples.throughput(lower) for lower in range(1, level)), default=0.0)
        return self._samples.throughput(level) >= THROUGHPUT_GAIN_MIN_FACTOR * best_lower

    def _is_saturated(self, level: int) -> bool:
        """Tell whether the next level is known to bring no gain over this one."""
        if not self.has_enough_samples(level + 1):
            return False
        throughput = self._samples.throughput(level)
        return self._samples.throughput(level + 1) < THROUGHPUT_GAIN_MIN_FACTOR * throughput

    def decay(self) -> None:
        """Decay the samples, and return to the lowest level with a throughput as high as the limit's.

        The throughput at the limit counts as one standard error higher, as it may be known from few samples.
        """
        self._samples.decay(SAMPLE_DECAY_PER_FEEDBACK_INTERVAL)
        if not self.has_enough_samples(self.limit):
            return
        error = _relative_standard_error(self._samples.completions[self.limit])
        optimistic_throughput = self._samples.throughput(self.limit) * (1 + error)
        for level in range(1, self.limit):
            if self._samples.throughput(level) > optimistic_throughput:
                self.limit = level
                return
