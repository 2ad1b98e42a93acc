"""The endpoints to which a proxy forwards the requests of one placement."""

from __future__ import annotations

from dataclasses import dataclass, field

from loadbalancer.messages import Endpoint
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.placement import Placement
from loadbalancer.state.subset import Subset


@dataclass(slots=True, eq=False)
class EndpointPool:
    """The endpoints that this proxy uses among those that one placement allows."""

    placement: Placement
    endpoints: list[EndpointState] = field(default_factory=list)  # ready endpoints, those of the subset first
    subset_size: int = 0  # how many of `endpoints` are in the subset
    sharing_proxies: float = 0.0  # mean number of proxies that share an endpoint of the subset
    draw_width: int = 0  # random choices are made among this many of `endpoints`, from the first on
    current_subset: Subset | None = None  # the subset that `endpoints` was filled from
    last_choice: EndpointState | None = None  # selected last, even if no attempt was then sent to it

    def allows(self, endpoint: Endpoint) -> bool:
        """Return whether the placement allows an endpoint."""
        return self.placement.allows(endpoint.zone, endpoint.machine_type)

    def replace_endpoints(
        self,
        endpoints: list[EndpointState],
        subset: Subset,
        subset_size: int,
        sharing_proxies: float,
    ) -> None:
        """Replace the endpoints; random choices are made among the first `subset_size` of them."""
        self.endpoints = endpoints
        self.current_subset = subset
        self.subset_size = subset_size
        self.draw_width = subset_size
        self.sharing_proxies = sharing_proxies

    def record_choice(self, state: EndpointState) -> None:
        """Store the endpoint that was just selected."""
        self.last_choice = state

    def set_draw_width(self, width: int) -> None:
        """Make random choices among the first `width` endpoints."""
        self.draw_width = width
