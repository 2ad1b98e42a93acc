"""Applies endpoint lists to the fleet: its endpoint table, endpoint states and pools.

Types of the interface: loadbalancer/messages.py.
"""

from collections.abc import Iterable

from loadbalancer.messages import Endpoint, EndpointUpdate, EndpointUpdateKind
from loadbalancer.policy.live_weights import LiveWeights
from loadbalancer.policy.subsetting import choose_subset, reserve_rank
from loadbalancer.settings import Settings
from loadbalancer.state.endpoint_pool import EndpointPool
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.fleet import Fleet
from loadbalancer.state.hash_ring import RingKey, unmix64
from loadbalancer.state.subset import Subset


class FleetUpdater:
    """Applies endpoint lists to the fleet, and decides for which endpoints a state is stored."""

    def __init__(
        self, settings: Settings, fleet: Fleet, live_weights: LiveWeights, *, draws_from_reserve: bool
    ) -> None:
        self.settings = settings
        self.fleet = fleet
        self.live_weights = live_weights
        self.draws_from_reserve = draws_from_reserve

    def apply(self, update: EndpointUpdate, now_ns: int) -> list[EndpointState]:
        """Apply a list; return the endpoints of this proxy's subsets that are new there or have restarted."""
        fleet = self.fleet
        previous_subset = {state for state in fleet.endpoints.values() if state.in_subset}
        unlisted = self._ids_to_confirm(update.kind)
        restarted = self._record_entries(update.endpoints, unlisted, now_ns)
        self._remove_unlisted(unlisted)
        ready_endpoints_changed = fleet.table.apply_changes()
        if ready_endpoints_changed:
            self._rebuild_pools(now_ns)
        elif not restarted:
            return []
        unchanged = previous_subset - restarted
        return [state for state in fleet.endpoints.values() if state.in_subset and state not in unchanged]

    def get_or_add_states(self, endpoint_ids: Iterable[int], now_ns: int) -> list[EndpointState]:
        """Return the states of listed endpoints, and store those that are new."""
        return [self._get_or_add_state(endpoint_id, now_ns) for endpoint_id in endpoint_ids]

    def discard_unused_states(self) -> None:
        """Discard the states of endpoints that are in no pool and have no unfinished attempt."""
        for state in [state for state in self.fleet.endpoints.values() if self._is_unused(state)]:
            self.fleet.discard(state)

    def _is_unused(self, state: EndpointState) -> bool:
        """Return whether an endpoint is in no pool and has no unfinished attempt."""
        return not (state.id in self.fleet.pooled_ids or state.in_flight or state.presumed_lost)

    def _ids_to_confirm(self, kind: EndpointUpdateKind) -> set[int]:
        """Return the ids to remove unless the list contains them: all for a complete list, else none."""
        return set() if kind is EndpointUpdateKind.DELTA else set(self.fleet.table.attributes)

    def _record_entries(
        self, entries: Iterable[Endpoint], unlisted: set[int], now_ns: int
    ) -> set[EndpointState]:
        """Record the entries of a list and remove their ids from `unlisted`; return restarted endpoints."""
        table = self.fleet.table
        states = self.fleet.endpoints
        has_live_weights = self.live_weights.enabled
        restarted = set()
        for endpoint in entries:
            unlisted.discard(endpoint.id)
            table.upsert(endpoint)
            if has_live_weights:
                self.live_weights.update_idle_weight(endpoint)
            state = states.get(endpoint.id)
            if state is None:
                continue
            if endpoint.started_ns != state.endpoint.started_ns:
                state.clear_failures_and_ejection()  # they belong to the process before the restart
                restarted.add(state)
            state.update_entry(endpoint)
            self.live_weights.record_implied_load(state, now_ns)
        return restarted

    def _remove_unlisted(self, endpoint_ids: Iterable[int]) -> None:
        """Remove endpoints that a complete list no longer contains."""
        for endpoint_id in endpoint_ids:
            self.fleet.table.remove(endpoint_id)
            if endpoint_id in self.fleet.endpoints:
                self.fleet.endpoints[endpoint_id].mark_removed()

    def _rebuild_pools(self, now_ns: int) -> None:
        """Choose the subsets of all pools again; they depend only on the ready endpoints, not on history."""
        fleet = self.fleet
        pools = fleet.pools.values()
        subsets = [choose_subset(self.settings, pool.placement) for pool in pools]
        if subsets == [pool.current_subset for pool in pools]:
            return
        for state in fleet.endpoints.values():
            state.leave_subset()
        for pool, subset in zip(pools, subsets, strict=True):
            self._rebuild_pool(pool, subset, now_ns)
        fleet.update_pool_membership()
        self.discard_unused_states()

    def _rebuild_pool(self, pool: EndpointPool, subset: Subset, now_ns: int) -> None:
        """Fill a pool: the subset first, then the zone reserve, then the remote reserve."""
        assigned = self._states_of_keys(subset.assigned, now_ns)
        zone_reserve = self._states_of_keys(subset.zone_reserve, now_ns)
        remote_reserve = self._states_of_keys(subset.remote_reserve, now_ns)
        zone_reserve.sort(key=_reserve_rank)
        remote_reserve.sort(key=_reserve_rank)
        endpoints = assigned + zone_reserve + remote_reserve
        subset_size = len(endpoints) if self.draws_from_reserve else len(assigned)
        pool.replace_endpoints(
            endpoints=endpoints,
            subset=subset,
            subset_size=subset_size,
            sharing_proxies=subset.sharing_proxies * subset_size / max(1, len(assigned)),
        )
        for state in endpoints[:subset_size]:
            state.join_subset()

    def _states_of_keys(self, keys: Iterable[RingKey], now_ns: int) -> list[EndpointState]:
        """Return the states of the endpoints with these ring keys, and store those that are new."""
        return [self._get_or_add_state(unmix64(key), now_ns) for key in keys]

    def _get_or_add_state(self, endpoint_id: int, now_ns: int) -> EndpointState:
        """Return the state of a listed endpoint, and store it if it is new."""
        state = self.fleet.endpoints.get(endpoint_id)
        if state is None:
            rank = reserve_rank(self.settings, endpoint_id)
            state = EndpointState(endpoint_id, self.fleet.table.endpoint(endpoint_id), rank)
            self.fleet.add(state)
            self.live_weights.record_implied_load(state, now_ns)
        return state


def _reserve_rank(state: EndpointState) -> int:
    """Return the key by which a reserve is sorted."""
    return state.reserve_rank
