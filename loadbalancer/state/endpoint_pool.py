"""The endpoints that the requests of one placement may use, and the requests that wait for them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from loadbalancer.messages import Endpoint
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.endpoint_table import Placement
from loadbalancer.state.request import Request
from loadbalancer.state.subset import Subset


@dataclass(slots=True, eq=False)
class EndpointPool:
    """The endpoints that one placement admits and this proxy uses, and the requests that wait for them."""

    placement: Placement
    endpoints: list[EndpointState] = field(default_factory=list)  # ready ones, this proxy's subset first
    subset_size: int = 0  # how many of `endpoints` are its subset
    proxies_sharing: float = 0.0  # proxies that have one of these in their subset
    draw_width: int = 0  # how many of `endpoints` it draws from
    current_subset: Subset | None = None  # what `endpoints` was made of
    last_choice: EndpointState | None = None
    queue: deque[Request] = field(default_factory=deque)
    blocked_since_ns: int = 0  # since when the queue has found no endpoint; 0: it is not blocked

    def admits(self, endpoint: Endpoint) -> bool:
        """Tell whether the placement allows an endpoint."""
        return self.placement.admits(endpoint.zone, endpoint.machine_type)

    def rebuild(self, subset: Subset, endpoints: list[EndpointState], subset_size: int) -> None:
        """Replace the endpoints by those of a subset and its reserve; the first `subset_size` are drawn from.

        `subset_size` is larger than the subset's assigned part where the reserve is drawn from as well.
        """
        self.current_subset = subset
        self.endpoints = endpoints
        self.subset_size = subset_size
        self.draw_width = subset_size
        self.proxies_sharing = subset.proxies_sharing * subset_size / max(1, len(subset.assigned))

    def record_choice(self, state: EndpointState) -> None:
        """Store the endpoint that was chosen last."""
        self.last_choice = state
