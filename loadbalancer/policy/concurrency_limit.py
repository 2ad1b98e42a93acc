"""How many requests in flight an endpoint gains from (interface types: loadbalancer/messages.py)."""

from loadbalancer.policy.latency_model import LatencyModel
from loadbalancer.policy.rate_control import OUTCOMES_MIN
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.throughput_samples import ThroughputSamples
from loadbalancer.units import NANOSECONDS_PER_SECOND

LIMIT_MAX = 64
SAMPLE_DECAY = 0.95  # a feedback interval
MIN_GAIN = 1.05  # a request more in flight must raise an endpoint's throughput by this factor


class ConcurrencyLimit:
    """The adaptive limit of this proxy's requests in flight at one endpoint.

    Extension: an endpoint that finishes no more with k of them than with k - 1 is saturated, and the queue is
    the better place to wait (6.1).
    """

    def __init__(self, latency_model: LatencyModel) -> None:
        self.latency_model = latency_model
        self.limit = 1
        self.increased_ns = 0  # when the limit last rose
        self.samples = ThroughputSamples(LIMIT_MAX + 1, OUTCOMES_MIN)

    def record_occupancy(self, endpoint: EndpointState, now_ns: int) -> None:
        """Book the time for which an endpoint held what it holds; call before that changes."""
        if endpoint.in_flight and endpoint.in_subset:
            self.samples.add_time(
                endpoint.in_flight, (now_ns - endpoint.in_flight_since_ns) / NANOSECONDS_PER_SECOND
            )
        endpoint.in_flight_since_ns = now_ns

    def record_completion(self, endpoint: EndpointState) -> None:
        """Book a request that an endpoint finished; call before it leaves the requests in flight."""
        if endpoint.in_subset:
            self.samples.add_completion(endpoint.in_flight)

    def has_enough_samples(self, level: int) -> bool:
        """Were endpoints at a level for so long that a good number of requests should have finished?"""
        completions, busy = self.samples.completions, self.samples.busy_seconds
        if completions[1] < OUTCOMES_MIN:
            return False
        return level == 1 or busy[level] * completions[level - 1] >= 4 * OUTCOMES_MIN * busy[level - 1]

    def increase(self, now_ns: int) -> bool:
        """Raise the limit by one, as the queue waits, unless that is known not to help."""
        level = self.limit
        # Requests just sent finish less often than older ones: guards against a limit that runs away at the
        # start, before the first ones are done (incident i4eb9e9).
        settled = now_ns - self.increased_ns >= 3 * self.latency_model.mean_ns
        if level >= LIMIT_MAX or not settled or not self.has_enough_samples(level):
            return False
        best_below = max((self.samples.throughput(lower) for lower in range(1, level)), default=0.0)
        if self.samples.throughput(level) < MIN_GAIN * best_below or self._is_saturated(level):
            return False
        self.limit, self.increased_ns = level + 1, now_ns
        return True

    def _is_saturated(self, level: int) -> bool:
        """Tell whether the next level is known to bring no gain over this one."""
        if not self.has_enough_samples(level + 1):
            return False
        return self.samples.throughput(level + 1) < MIN_GAIN * self.samples.throughput(level)

    def decay(self) -> None:
        """Fade old samples, and go back to the lowest limit that serves as well."""
        self.samples.decay(SAMPLE_DECAY)
        if not self.has_enough_samples(self.limit):
            return
        # The little that was seen at the limit may be chance: it gets the benefit of one deviation.
        deviation = max(1.0, self.samples.completions[self.limit]) ** -0.5
        optimistic = self.samples.throughput(self.limit) * (1 + deviation)
        better = (level for level in range(1, self.limit) if self.samples.throughput(level) > optimistic)
        self.limit = next(better, self.limit)
