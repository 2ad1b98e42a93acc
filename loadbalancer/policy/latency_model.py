"""How long requests take, by class and load of the endpoint (interface types: loadbalancer/messages.py)."""

from loadbalancer.state.request import Attempt, Request
from loadbalancer.state.running_regression import RunningRegression
from loadbalancer.units import NANOSECONDS_PER_SECOND

SAMPLE_DECAY = 0.98  # of the weight of earlier samples, a sample
SMOOTHING = 0.05  # weight of a new sample in a mean
ENDPOINT_SMOOTHING = 0.2  # the same for one endpoint
OBJECTIVE_TO_INITIAL_LATENCY_RATIO = 8
OUTLIER_FACTOR = 8  # a sample counts as this many times the mean at most


class LatencyModel:
    """Learns latencies from the attempts that end; over load it fits a line, base + per_request * load."""

    def __init__(self, slowest_objective_ns: int) -> None:
        self.regression = RunningRegression(SAMPLE_DECAY)  # of latency over load
        self.base_ns = 0.0  # of a request that waits for no other
        self.per_request_ns = NANOSECONDS_PER_SECOND / 50  # for each request at the endpoint
        # From one request that an endpoint finishes to the next; at first, as for the slowest class.
        self.service_interval_ns = slowest_objective_ns / OBJECTIVE_TO_INITIAL_LATENCY_RATIO
        self.mean_ns = NANOSECONDS_PER_SECOND / 20  # of a request, over all classes
        self.mean_by_class: dict[str, float] = {}  # in ns; under "" a multiple of the cost hint
        self.deviation = 0.5  # mean relative deviation from what was expected

    def expected_ns(self, request: Request) -> float:
        """Return what a request should take at an average endpoint, from its cost hint or its class."""
        if request.cost_hint_ns:
            return self.mean_by_class.get("", 1.0) * request.cost_hint_ns
        cls = request.request_class
        return self.mean_by_class.get(cls.name, cls.latency_objective_ns / OBJECTIVE_TO_INITIAL_LATENCY_RATIO)

    def latency_at(self, load: float) -> float:
        """Return what a request takes, in ns, at an endpoint that holds so many, this one included."""
        return self.base_ns + self.per_request_ns * load

    def record_success(self, request: Request, attempt: Attempt, latency_ns: int) -> None:
        """Learn from an attempt that was answered."""
        endpoint = attempt.endpoint_state
        self._record_class(request, latency_ns)
        self.record_latency(attempt.load, latency_ns)
        self.mean_ns += SMOOTHING * (min(latency_ns, OUTLIER_FACTOR * self.mean_ns) - self.mean_ns)
        ratio = latency_ns / max(1.0, self.expected_ns(request))
        deviation = min(3.0, abs(ratio / endpoint.relative_latency - 1))
        self.deviation += SMOOTHING * (deviation - self.deviation)
        clipped = min(10.0, max(0.1, ratio))
        endpoint.relative_latency += ENDPOINT_SMOOTHING * (clipped - endpoint.relative_latency)

    def _record_class(self, request: Request, latency_ns: int) -> None:
        name = "" if request.cost_hint_ns else request.request_class.name
        latency = latency_ns / (request.cost_hint_ns or 1)
        mean = self.mean_by_class.get(name)
        if mean is not None:
            latency = mean + SMOOTHING * (min(latency, OUTLIER_FACTOR * mean) - mean)
        self.mean_by_class[name] = latency

    def record_latency(self, load: float, latency_ns: float) -> None:
        """Fit the line anew; with little variance in the load, all is laid on what each request adds."""
        self.regression.add(load, latency_ns)
        mean_load, mean_latency_ns, variance, covariance = self.regression.moments()
        slope_max = self.service_interval_ns = max(1.0, mean_latency_ns / mean_load)
        slope = (covariance + slope_max) / (variance + 1)
        self.per_request_ns = min(slope_max, max(slope_max / 10, slope))
        self.base_ns = max(0.0, mean_latency_ns - self.per_request_ns * mean_load)
