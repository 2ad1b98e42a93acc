"""The load that the live weights of the endpoint list imply (types: loadbalancer/messages.py).

A live weight is the endpoint's size / (1 + requests in flight per core, from all proxies).
"""

from loadbalancer.messages import Endpoint
from loadbalancer.settings import Settings, WeightSource
from loadbalancer.state.endpoint_state import LOAD_MAX, EndpointState


def _is_valid(weight: float) -> bool:
    return 0 < weight < LOAD_MAX


class LiveWeights:
    """Estimates loads from weights.

    The largest weight seen for a machine type is taken as the weight of an idle endpoint. Divided by an
    endpoint's current weight, and less 1, it gives the load (requests in flight per core).
    """

    def __init__(self, settings: Settings) -> None:
        self.enabled = settings.weight_source is WeightSource.LIVE
        self._idle_weights: dict[str, float] = {}  # largest weight seen, by machine type

    def update_idle_weight(self, endpoint: Endpoint) -> None:
        """Update the idle weight of a machine type from the weight of a listed endpoint."""
        if _is_valid(endpoint.weight):
            largest = self._idle_weights.get(endpoint.machine_type, 0.0)
            self._idle_weights[endpoint.machine_type] = max(largest, endpoint.weight)

    def record_implied_load(self, state: EndpointState, now_ns: int) -> None:
        """Record the load that an endpoint's weight implies as if it had been reported."""
        endpoint = state.endpoint
        if self.enabled and _is_valid(endpoint.weight):
            idle_weight = self._idle_weights[endpoint.machine_type]
            state.record_load(idle_weight / endpoint.weight - 1, now_ns)
