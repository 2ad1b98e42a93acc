"""The load that the live weights of the endpoint list imply (types: loadbalancer/messages.py)."""

from loadbalancer.messages import Endpoint
from loadbalancer.settings import Settings, WeightSource
from loadbalancer.state.endpoint_state import LOAD_MAX, EndpointState


class LiveWeights:
    """Turns weights into loads, where a weight is size / (1 + requests in flight a core).

    Such a weight shows what all proxies together have in flight at an endpoint.
    """

    def __init__(self, settings: Settings) -> None:
        self.enabled = settings.weight_source is WeightSource.LIVE
        self.largest: dict[str, float] = {}  # machine type -> largest weight seen, that of an idle endpoint

    def observe(self, endpoint: Endpoint) -> None:
        """Note the weight of a listed endpoint."""
        if 0 < endpoint.weight < LOAD_MAX:
            largest = self.largest.get(endpoint.machine_type, 0.0)
            self.largest[endpoint.machine_type] = max(largest, endpoint.weight)

    def record(self, state: EndpointState, now_ns: int) -> None:
        """Take the load that an endpoint's weight implies as if it had been reported."""
        endpoint = state.endpoint
        if self.enabled and 0 < endpoint.weight < LOAD_MAX:
            state.record_load(self.largest[endpoint.machine_type] / endpoint.weight - 1, now_ns)
