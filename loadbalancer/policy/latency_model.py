"""Expected latency by request class and by endpoint load (interface types: loadbalancer/messages.py).

The latencies of successful attempts are used to estimate the mean latency of each class, the relative latency
of each endpoint, and a linear model of latency over load: base_ns + per_request_ns * load. The load is the
number of requests in flight at an endpoint. For an attempt that times out, the linear model is given an
estimate. All durations are in nanoseconds.
"""

from loadbalancer.state.request import Attempt, Request
from loadbalancer.state.running_regression import RunningRegression
from loadbalancer.units import NANOSECONDS_PER_SECOND

OBJECTIVE_TO_INITIAL_LATENCY_RATIO = 8
INITIAL_PER_REQUEST_NS = NANOSECONDS_PER_SECOND / 50
INITIAL_MEAN_NS = NANOSECONDS_PER_SECOND / 20
INITIAL_DEVIATION = 0.5
INITIAL_COST_HINT_FACTOR = 1.0

REGRESSION_SAMPLE_DECAY = 0.98
MEAN_SMOOTHING = 0.05
SAMPLE_MAX_TO_MEAN_RATIO = 8
DEVIATION_SAMPLE_MAX = 3.0
RELATIVE_LATENCY_SMOOTHING = 0.2
RELATIVE_LATENCY_SAMPLE_MIN = 0.1
RELATIVE_LATENCY_SAMPLE_MAX = 10.0
PER_REQUEST_MAX_TO_MIN_RATIO = 10


def _updated_mean(mean: float, sample: float) -> float:
    """Return a running mean moved towards a sample; outliers are clipped to a multiple of the mean."""
    clipped = min(sample, SAMPLE_MAX_TO_MEAN_RATIO * mean)
    return mean + MEAN_SMOOTHING * (clipped - mean)


class LatencyModel:
    """Estimates from the latencies of attempts how long a request takes, alone and behind others."""

    def __init__(self, longest_objective_ns: int) -> None:
        self.base_ns = 0.0  # latency that does not depend on the load
        self.per_request_ns = INITIAL_PER_REQUEST_NS  # added by each request in flight at the endpoint
        # Mean latency divided by mean load: the time between two completions at a busy endpoint.
        self.service_interval_ns = longest_objective_ns / OBJECTIVE_TO_INITIAL_LATENCY_RATIO
        self.mean_ns = INITIAL_MEAN_NS  # mean latency over all classes
        self.deviation = INITIAL_DEVIATION  # mean relative deviation from the expected latency
        self._latency_over_load = RunningRegression(REGRESSION_SAMPLE_DECAY)
        self._mean_ns_by_class: dict[str, float] = {}  # of requests without a cost hint, by class name
        self._cost_hint_factor: float | None = None  # mean latency as a multiple of the cost hint

    def expected_ns(self, request: Request) -> float:
        """Return the expected latency of a request at an average endpoint, by its cost hint or its class."""
        if request.cost_hint_ns:
            factor = INITIAL_COST_HINT_FACTOR if self._cost_hint_factor is None else self._cost_hint_factor
            return factor * request.cost_hint_ns
        request_class = request.request_class
        initial_ns = request_class.latency_objective_ns / OBJECTIVE_TO_INITIAL_LATENCY_RATIO
        return self._mean_ns_by_class.get(request_class.name, initial_ns)

    def latency_at(self, load: float) -> float:
        """Return the latency of a request at an endpoint with `load` in flight, including this request."""
        return self.base_ns + self.per_request_ns * load

    def record_success(self, request: Request, attempt: Attempt, latency_ns: int) -> None:
        """Update all estimates with the latency of a successful attempt."""
        if request.cost_hint_ns:
            self._record_cost_hint_factor(latency_ns / request.cost_hint_ns)
        else:
            self._record_class_latency(request.request_class.name, latency_ns)
        self.record_latency(attempt.load, latency_ns)
        self.mean_ns = _updated_mean(self.mean_ns, latency_ns)
        self._record_relative_latency(attempt, latency_ns / max(1.0, self.expected_ns(request)))

    def _record_cost_hint_factor(self, factor: float) -> None:
        mean = self._cost_hint_factor
        self._cost_hint_factor = factor if mean is None else _updated_mean(mean, factor)

    def _record_class_latency(self, class_name: str, latency_ns: float) -> None:
        mean_ns = self._mean_ns_by_class.get(class_name)
        updated_ns = latency_ns if mean_ns is None else _updated_mean(mean_ns, latency_ns)
        self._mean_ns_by_class[class_name] = updated_ns

    def _record_relative_latency(self, attempt: Attempt, ratio: float) -> None:
        """Update the deviation and the endpoint's relative latency with a ratio of latency to expectation."""
        endpoint_state = attempt.endpoint_state
        deviation = min(DEVIATION_SAMPLE_MAX, abs(ratio / endpoint_state.relative_latency - 1))
        self.deviation += MEAN_SMOOTHING * (deviation - self.deviation)
        clipped_ratio = min(RELATIVE_LATENCY_SAMPLE_MAX, max(RELATIVE_LATENCY_SAMPLE_MIN, ratio))
        endpoint_state.adjust_relative_latency(clipped_ratio, RELATIVE_LATENCY_SMOOTHING)

    def record_latency(self, load: float, latency_ns: float) -> None:
        """Update the linear model of latency over load with one more sample.

        If the load hardly varies, all of the latency is attributed to the requests in flight.
        """
        self._latency_over_load.add(load, latency_ns)
        mean_load, mean_latency_ns, variance, covariance = self._latency_over_load.moments()
        slope_max_ns = max(1.0, mean_latency_ns / mean_load)
        slope_ns = (covariance + slope_max_ns) / (variance + 1)
        self.service_interval_ns = slope_max_ns
        self.per_request_ns = min(slope_max_ns, max(slope_max_ns / PER_REQUEST_MAX_TO_MIN_RATIO, slope_ns))
        self.base_ns = max(0.0, mean_latency_ns - self.per_request_ns * mean_load)
