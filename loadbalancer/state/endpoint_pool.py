"""The endpoints that the requests of one placement may use."""

from __future__ import annotations

from dataclasses import dataclass, field

from loadbalancer.messages import Endpoint
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.placement import Placement
from loadbalancer.state.subset import Subset


@dataclass(slots=True, eq=False)
class EndpointPool:
    """The endpoints that one placement admits and this proxy uses."""

    placement: Placement
    endpoints: list[EndpointState] = field(default_factory=list)  # ready ones, this proxy's subset first
    subset_size: int = 0  # how many of `endpoints` are its subset
    sharing_proxies: float = 0.0  # proxies that have one of these in their subset
    draw_width: int = 0  # how many of `endpoints` random choices are drawn from
    current_subset: Subset | None = None  # what `endpoints` was made of
    last_choice: EndpointState | None = None

    def admits(self, endpoint: Endpoint) -> bool:
        """Tell whether the placement allows an endpoint."""
        return self.placement.admits(endpoint.zone, endpoint.machine_type)

    def replace_endpoints(
        self,
        endpoints: list[EndpointState],
        subset: Subset,
        subset_size: int,
        sharing_proxies: float,
    ) -> None:
        """Use these endpoints, the first `subset_size` of which random choices are drawn from."""
        self.endpoints = endpoints
        self.current_subset = subset
        self.subset_size = subset_size
        self.draw_width = subset_size
        self.sharing_proxies = sharing_proxies

    def record_choice(self, state: EndpointState) -> None:
        """Store the endpoint that was chosen last."""
        self.last_choice = state

    def set_draw_width(self, width: int) -> None:
        """Draw random choices from the first `width` endpoints."""
        self.draw_width = width
