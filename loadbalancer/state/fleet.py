"""The table of all listed endpoints, and the states and pools of those that this proxy uses."""

from __future__ import annotations

from collections.abc import Mapping

from loadbalancer.settings import RequestClass
from loadbalancer.state.endpoint_pool import EndpointPool
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.endpoint_table import EndpointTable
from loadbalancer.state.placement import Placement

PlacementKey = tuple[frozenset[str] | None, frozenset[str] | None]  # allowed zones, allowed machine types


class Fleet:
    """The endpoint table, the states of the endpoints in use, and one pool per placement."""

    def __init__(self, request_classes: Mapping[str, RequestClass], table: EndpointTable) -> None:
        self.table = table
        self.endpoints: dict[int, EndpointState] = {}  # by endpoint id
        self.pooled_ids: set[int] = set()  # ids of the endpoints in a pool
        self.subset_size = 0  # number of endpoints in the subsets of this proxy
        self.pools: dict[PlacementKey, EndpointPool] = {}
        self.default_pool = self.get_or_create_pool(RequestClass(""))
        for request_class in request_classes.values():
            self.get_or_create_pool(request_class)

    def get_or_create_pool(self, request_class: RequestClass) -> EndpointPool:
        """Return the pool of a request class, which is created if there is none for its placement yet."""
        key = (request_class.allowed_zones, request_class.allowed_machine_types)
        if key not in self.pools:
            self.pools[key] = EndpointPool(Placement(*key))
            self.table.add_placement(self.pools[key].placement)
        return self.pools[key]

    def add(self, state: EndpointState) -> None:
        """Store the state of an endpoint that is not in use yet."""
        self.endpoints[state.id] = state

    def discard(self, state: EndpointState) -> None:
        """Delete a state, and mark it as removed for objects that still refer to it."""
        state.mark_removed()
        del self.endpoints[state.id]

    def update_pool_membership(self) -> None:
        """Update `subset_size` and `pooled_ids` after the pools have changed."""
        self.subset_size = sum(state.in_subset for state in self.endpoints.values())
        self.pooled_ids = {state.id for pool in self.pools.values() for state in pool.endpoints}
