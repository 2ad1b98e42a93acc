"""Adaptive limit of this proxy's requests in flight at one endpoint (types: loadbalancer/messages.py).

The limit is raised while requests wait in the queue, as long as one more request in flight increases the
throughput of endpoints. An endpoint whose throughput is no higher with k requests in flight than with k - 1
is saturated, and further requests are better left in the queue. A level is a number of requests in flight at
one endpoint; throughput is in requests per second.
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
    """Return the standard error of a count as a fraction of the count, 1 / sqrt(count)."""
    error: float = max(1.0, count) ** STANDARD_ERROR_EXPONENT
    return error


class ConcurrencyLimit:
    """Adapts the limit to the throughput of endpoints at each level of requests in flight."""

    def __init__(self, latency_model: LatencyModel) -> None:
        self.limit = 1
        self._latency_model = latency_model
        self._last_increase_ns = 0
        self._samples = ThroughputSamples(CONCURRENCY_LIMIT_MAX + 1, OUTCOMES_MIN)

    def record_occupancy(self, endpoint_state: EndpointState, now_ns: int) -> None:
        """Record how long an endpoint had its present number in flight; call before the number changes."""
        if endpoint_state.in_flight and endpoint_state.in_subset:
            seconds = (now_ns - endpoint_state.in_flight_since_ns) / NANOSECONDS_PER_SECOND
            self._samples.add_time(endpoint_state.in_flight, seconds)
        endpoint_state.restart_occupancy(now_ns)

    def record_completion(self, endpoint_state: EndpointState) -> None:
        """Record a request that an endpoint finished; call before the requests in flight are reduced."""
        if endpoint_state.in_subset:
            self._samples.add_completion(endpoint_state.in_flight)

    def has_enough_samples(self, level: int) -> bool:
        """Return whether the samples of a level suffice to judge its throughput.

        At the throughput of the next lower level, at least EXPECTED_COMPLETIONS_MIN requests must be expected
        to finish in the time spent at this level. In any case, level 1 must have OUTCOMES_MIN completions.
        """
        completions = self._samples.completions
        busy_seconds = self._samples.busy_seconds
        if completions[1] < OUTCOMES_MIN:
            return False
        if level == 1:
            return True
        lower = level - 1
        return busy_seconds[level] * completions[lower] >= EXPECTED_COMPLETIONS_MIN * busy_seconds[lower]

    def increase(self, now_ns: int) -> bool:
        """Raise the limit by one, unless samples are missing or show no gain in throughput.

        It also stays at CONCURRENCY_LIMIT_MAX, and for a short time after each increase. Returns whether the
        limit was raised. To be called while requests are queued.
        """
        level = self.limit
        if (
            level >= CONCURRENCY_LIMIT_MAX
            or not self._is_settled(now_ns)
            or not self.has_enough_samples(level)
        ):
            return False
        if not self._has_gain_over_lower_levels(level) or self._is_saturated(level):
            return False
        self.limit = level + 1
        self._last_increase_ns = now_ns
        return True

    def _is_settled(self, now_ns: int) -> bool:
        """Return whether attempts started after the last increase have had time to finish.

        Before that, few requests have finished, and the limit would rise without any evidence of a gain.
        """
        return now_ns - self._last_increase_ns >= SETTLING_MEAN_LATENCIES * self._latency_model.mean_ns

    def _has_gain_over_lower_levels(self, level: int) -> bool:
        """Return whether a level has clearly more throughput than every lower level."""
        best_lower = max((self._samples.throughput(lower) for lower in range(1, level)), default=0.0)
        return self._samples.throughput(level) >= THROUGHPUT_GAIN_MIN_FACTOR * best_lower

    def _is_saturated(self, level: int) -> bool:
        """Return whether the next level is known to have no gain in throughput over this one."""
        if not self.has_enough_samples(level + 1):
            return False
        throughput = self._samples.throughput(level)
        return self._samples.throughput(level + 1) < THROUGHPUT_GAIN_MIN_FACTOR * throughput

    def decay_and_decrease(self) -> None:
        """Decay the samples, and lower the limit to the lowest level with a higher throughput, if any.

        The throughput at the limit is taken one standard error higher, as it may be based on few samples.
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
