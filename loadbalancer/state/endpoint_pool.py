"""The endpoints that the requests of one placement may use."""

from __future__ import annotations

from dataclasses import dataclass, field

from loadbalancer.messages import Endpoint
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.endpoint_table import Placement
from loadbalancer.state.subset import Subset


@dataclass(slots=True, eq=False)
class EndpointPool:
    """The endpoints that one placement admits and this proxy uses."""

    placement: Placement
    endpoints: list[EndpointState] = field(default_factory=list)  # ready ones, this proxy's subset first
    subset_size: int = 0  # how many of `endpoints` are its subset
    proxies_sharing: float = 0.0  # proxies that have one of these in their subset
    draw_width: int = 0  # how many of `endpoints` random choices are drawn from
    current_subset: Subset | None = None  # what `endpoints` was made of
    last_choice: EndpointState | None = None

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

    def set_draw_width(self, width: int) -> None:
        """Draw random choices from the first `width` endpoints."""
        self.draw_width = width
