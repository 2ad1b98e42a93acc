"""Takes endpoint lists and their updates into the table, the states and the pools of the fleet."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from loadbalancer.messages import Endpoint, EndpointUpdate, EndpointUpdateKind
from loadbalancer.settings import DeduplicationScope
from loadbalancer.state.endpoint_pool import EndpointPool
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.endpoint_table import EndpointTable, Placement
from loadbalancer.state.fleet import Fleet
from loadbalancer.state.hash_ring import RingKey, unmix64
from loadbalancer.state.subset import Subset

if TYPE_CHECKING:
    from loadbalancer.policy.live_weights import LiveWeights

ChooseSubset = Callable[[EndpointTable, Placement], Subset]


class EndpointUpdates:
    """Keeps the fleet in step with the endpoint list."""

    def __init__(
        self, fleet: Fleet, choose_subset: ChooseSubset, live_weights: LiveWeights, draws_from_all: bool
    ) -> None:
        self.fleet = fleet
        self.choose_subset = choose_subset
        self.draws_from_all = draws_from_all  # the reserve included, since loads are probed
        self.live_weights = live_weights

    def apply(self, update: EndpointUpdate, now_ns: int) -> list[EndpointState]:
        """Take a list; return the endpoints that are new in a subset of this proxy or have started anew."""
        fleet, table = self.fleet, self.fleet.table
        missing = set(table.attributes) if update.kind is not EndpointUpdateKind.DELTA else set()
        kept = {state for state in fleet.endpoints.values() if state.in_subset}
        size_before, live = len(kept), self.live_weights.enabled
        for endpoint in update.endpoints:
            missing.discard(endpoint.id)
            table.upsert(endpoint)
            if live:
                self.live_weights.observe(endpoint)
            state = fleet.endpoints.get(endpoint.id)
            if state is not None:
                if endpoint.started_ns != state.endpoint.started_ns:
                    state.clear_failures()
                    kept.discard(state)
                state.endpoint = endpoint
                self.live_weights.record(state, now_ns)
        for number in missing:
            table.remove(number)
            if number in fleet.endpoints:
                fleet.mark_removed(fleet.endpoints[number])
        if table.apply_changes():
            self._rebuild_pools(now_ns)
        elif len(kept) == size_before:  # only weights have changed, as they do all the time
            return []
        return [state for state in fleet.endpoints.values() if state.in_subset and state not in kept]

    def _state(self, number: int, now_ns: int) -> EndpointState:
        """Return what is known of a listed endpoint, which is kept from now on."""
        state = self.fleet.endpoints.get(number)
        if state is None:
            state = self.fleet.add(number)
            self.live_weights.record(state, now_ns)
        return state

    def _states(self, keys: Iterable[RingKey], now_ns: int) -> list[EndpointState]:
        return [self._state(unmix64(key), now_ns) for key in keys]

    def _rebuild_pools(self, now_ns: int) -> None:
        """Take up each pool's subset; what it is made of is the same whatever came before."""
        fleet, pools = self.fleet, self.fleet.pools.values()
        subsets = [self.choose_subset(fleet.table, pool.placement) for pool in pools]
        if subsets == [pool.current_subset for pool in pools]:
            return
        for state in fleet.endpoints.values():
            state.in_subset = False
        for pool, subset in zip(pools, subsets, strict=True):
            self._rebuild_pool(pool, subset, now_ns)
        fleet.record_pools()

    def _rebuild_pool(self, pool: EndpointPool, subset: Subset, now_ns: int) -> None:
        assigned = self._states(subset.assigned, now_ns)
        zone_reserve = self._states(subset.zone_reserve, now_ns)
        remote_reserve = self._states(subset.remote_reserve, now_ns)
        zone_reserve.sort(key=lambda state: state.reserve_rank)
        remote_reserve.sort(key=lambda state: state.reserve_rank)
        pool.current_subset = subset
        pool.endpoints = assigned + zone_reserve + remote_reserve
        pool.subset_size = len(pool.endpoints) if self.draws_from_all else len(assigned)
        pool.draw_width = pool.subset_size
        pool.proxies_sharing = subset.proxies_sharing * pool.subset_size / max(1, len(assigned))
        for state in pool.endpoints[: pool.subset_size]:
            state.in_subset = True

    def unused_group(
        self,
        pool: EndpointPool,
        like: Endpoint,
        scope: DeduplicationScope,
        chance: Callable[[], float],
        count: int,
        now_ns: int,
    ) -> list[EndpointState]:
        """Return some endpoints of the same zone or cell that this proxy does not use otherwise."""
        fleet = self.fleet
        if len(pool.endpoints) == len(pool.placement.ring):
            return []
        if len(fleet.endpoints) > len(fleet.used_ids) + 4 * count:
            fleet.forget_unused()
        numbers = fleet.table.ready_in_group(pool.placement, like, scope, chance(), count)
        return [self._state(number, now_ns) for number in numbers if number not in fleet.used_ids]
