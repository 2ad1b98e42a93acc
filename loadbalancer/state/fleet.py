"""The table of all listed endpoints, and the states and pools of those that this proxy uses."""

from __future__ import annotations

from loadbalancer.messages import EndpointStatus
from loadbalancer.settings import RequestClass, Settings
from loadbalancer.state.endpoint_pool import EndpointPool
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.endpoint_table import EndpointTable, Placement
from loadbalancer.state.hash_ring import mix64


class Fleet:
    """The endpoint table, the state of the endpoints in use, and a pool for each placement."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.table = EndpointTable(settings)
        self.endpoints: dict[int, EndpointState] = {}  # those in use, or with attempts of ours
        self.used_ids: set[int] = set()  # those in a pool
        self.pools: dict[tuple[frozenset[str] | None, frozenset[str] | None], EndpointPool] = {}
        self.default_pool = self.pool(RequestClass(""))
        for request_class in settings.request_classes.values():
            self.pool(request_class)
        self.subset_size = 0  # endpoints in the subsets of this proxy

    def pool(self, request_class: RequestClass) -> EndpointPool:
        """Return the pool of the endpoints that a class may use."""
        key = (request_class.allowed_zones, request_class.allowed_machine_types)
        if key not in self.pools:
            self.pools[key] = EndpointPool(Placement(*key))
            self.table.add_placement(self.pools[key].placement)
        return self.pools[key]

    def add(self, number: int) -> EndpointState:
        """Keep the state of a listed endpoint from now on."""
        state = EndpointState(number, self.table.endpoint(number))
        state.reserve_rank = mix64(number, self.settings.proxy_index + 1)
        self.endpoints[number] = state
        return state

    def mark_removed(self, state: EndpointState) -> None:
        """Note that an endpoint is no longer listed or no longer followed."""
        state.endpoint = state.endpoint._replace(status=EndpointStatus.REMOVED)

    def record_pools(self) -> None:
        """Note which endpoints the pools hold, and drop the others."""
        self.subset_size = sum(state.in_subset for state in self.endpoints.values())
        self.used_ids = {state.id for pool in self.pools.values() for state in pool.endpoints}
        self.forget_unused()

    def forget_unused(self) -> None:
        """Drop the state of endpoints that are in no pool and have no attempt of ours.

        What still refers to one, such as a request that has probed it, finds it removed: no update reaches it
        any more.
        """
        unused = [
            state
            for number, state in self.endpoints.items()
            if not (number in self.used_ids or state.in_flight or state.overdue)
        ]
        for state in unused:
            self.mark_removed(state)
            del self.endpoints[state.id]
