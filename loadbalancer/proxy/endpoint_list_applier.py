"""Applies endpoint lists: stores the addresses and reports the endpoints to the policy.

A long list is applied in slices that take a fraction of a millisecond each, reported as deltas, so that
requests are served in between. A short delta that is received meanwhile is applied at once, and its entries
supersede those of the same endpoints in the long list.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Iterator

from loadbalancer.messages import Endpoint, EndpointStatus, EndpointUpdate, EndpointUpdateKind
from loadbalancer.proxy.discovery_call import DiscoveryFailure, DiscoveryResult
from loadbalancer.proxy.endpoint_addresses import EndpointAddresses
from loadbalancer.proxy.endpoint_list import EndpointList
from loadbalancer.proxy.endpoint_list_reader import EndpointListReader

# Number of entries of a long list that are applied in one event loop turn.
SLICE_ENTRIES = 64

# Number of ids that are copied in one event loop turn.
SLICE_IDS = SLICE_ENTRIES * SLICE_ENTRIES

# A complete list that replaces more endpoints than this is applied in slices, however short it is.
MAX_REPLACED_AT_ONCE = 2 * SLICE_ENTRIES

# Segments of the id registry that each sweep covers: with a sweep each second, covering all takes some four
# minutes.
SWEEP_SEGMENTS = 1

UPDATE_KIND_BY_FAILURE = {
    DiscoveryFailure.CALL_FAILED: EndpointUpdateKind.FAILED,
    DiscoveryFailure.TIMED_OUT: EndpointUpdateKind.WATCH_TIMED_OUT,
}


class EndpointListApplier:
    """Applies endpoint lists in order of receipt; only a short delta is applied before pending lists."""

    def __init__(
        self,
        reader: EndpointListReader,
        addresses: EndpointAddresses,
        on_update: Callable[[EndpointUpdate], None],
    ) -> None:
        """Start with no list.

        Args:
            reader: Reads the lists, and has the registry of their ids.
            addresses: Stores the addresses.
            on_update: Called with each update for the policy.
        """
        self._reader = reader
        self._addresses = addresses
        self._on_update = on_update
        self._pending: deque[EndpointList] = deque()  # the one being applied, then those waiting
        self._task: asyncio.Task[None] | None = None

    @property
    def task(self) -> asyncio.Task[None] | None:
        """The task that applies the pending lists; None if there are none."""
        return self._task

    def is_pending(self, endpoint_list: EndpointList) -> bool:
        """Return whether a list is waiting or has been applied only in part."""
        return endpoint_list in self._pending

    def close(self) -> None:
        """Stop applying lists."""
        if self._task is not None:
            self._task.cancel()

    def apply_cached(self, endpoint_list: EndpointList | None) -> None:
        """Apply the list known at startup, if any, all at once; the list is empty afterwards."""
        if endpoint_list is None:
            self._on_update(EndpointUpdate(EndpointUpdateKind.CACHED, ()))
            return
        # A generator, since a list of `Endpoint` objects would be a second copy of a long endpoint list.
        endpoints: Iterable[Endpoint] = self._store(endpoint_list, 0, len(endpoint_list))
        if len(endpoint_list) <= SLICE_ENTRIES:
            endpoints = list(endpoints)
        self._on_update(EndpointUpdate(EndpointUpdateKind.CACHED, endpoints))
        for _ in endpoints:
            pass  # stores the addresses of the endpoints over which the policy has not iterated
        endpoint_list.clear()

    def on_discovery_result(self, result: DiscoveryResult) -> None:
        """Report a failed call to discovery, or apply the list that it returned, at once or in slices."""
        if isinstance(result, DiscoveryFailure):
            self._on_update(EndpointUpdate(UPDATE_KIND_BY_FAILURE[result]))
        elif self._needs_slices(result):
            self._pending.append(result)
            if self._task is None:
                self._task = asyncio.get_running_loop().create_task(self._apply_pending())
        elif result.complete or len(result):
            self._apply_at_once(result)

    def _needs_slices(self, endpoint_list: EndpointList) -> bool:
        if len(endpoint_list) > SLICE_ENTRIES:
            return True
        if not endpoint_list.complete:
            return False
        replaces_many = len(self._addresses) > MAX_REPLACED_AT_ONCE
        return bool(endpoint_list.invalid_entry_ids or self._pending or replaces_many)

    def _apply_at_once(self, endpoint_list: EndpointList) -> None:
        endpoints = list(self._store(endpoint_list, 0, len(endpoint_list)))
        for older in self._pending:
            older.supersede(endpoint_list.ids)
        kind = EndpointUpdateKind.DELTA
        if endpoint_list.complete:
            kind = EndpointUpdateKind.FULL
            self._addresses.remove(self._addresses.by_id.keys() - set(endpoint_list.ids))
        self._on_update(EndpointUpdate(kind, endpoints))

    async def _apply_pending(self) -> None:
        while self._pending:
            await self._apply_in_slices(self._pending[0])
            self._pending.popleft()
        self._task = None

    async def _apply_in_slices(self, endpoint_list: EndpointList) -> None:
        unlisted = await self._copy_known_ids() if endpoint_list.complete else set()
        unlisted.difference_update(endpoint_list.invalid_entry_ids)
        for first in range(0, len(endpoint_list), SLICE_ENTRIES):
            end = min(first + SLICE_ENTRIES, len(endpoint_list))
            unlisted.difference_update(endpoint_list.ids[first:end])
            endpoints = list(self._store(endpoint_list, first, end))
            self._on_update(EndpointUpdate(EndpointUpdateKind.DELTA, endpoints))
            await asyncio.sleep(0)
        await self._remove_in_slices(list(unlisted), endpoint_list.superseded)

    async def _copy_known_ids(self) -> set[int]:
        known = list(self._addresses.by_id)
        copied: set[int] = set()
        for first in range(0, len(known), SLICE_IDS):
            copied.update(known[first : first + SLICE_IDS])
            await asyncio.sleep(0)
        return copied

    async def _remove_in_slices(self, unlisted: list[int], superseded: set[int]) -> None:
        """Remove endpoints missing from a complete list, except those of lists applied meanwhile."""
        for first in range(0, len(unlisted), SLICE_ENTRIES):
            slice_ids = unlisted[first : first + SLICE_ENTRIES]
            removed = [endpoint_id for endpoint_id in slice_ids if endpoint_id not in superseded]
            self._addresses.remove(removed)
            endpoints = [Endpoint(endpoint_id, EndpointStatus.REMOVED) for endpoint_id in removed]
            self._on_update(EndpointUpdate(EndpointUpdateKind.DELTA, endpoints))
            await asyncio.sleep(0)

    def _store(self, endpoint_list: EndpointList, first: int, end: int) -> Iterator[Endpoint]:
        """Store the addresses of a range of entries, and yield their endpoints for the policy."""
        for index in range(first, end):
            endpoint_id = endpoint_list.ids[index]
            if endpoint_id in endpoint_list.superseded:
                continue
            attributes = endpoint_list.attributes[index]
            status = attributes.status
            if status is EndpointStatus.REMOVED:
                self._addresses.remove([endpoint_id])
            elif status is EndpointStatus.READY:
                self._addresses.set(endpoint_id, endpoint_list.addresses[index])
            else:
                self._addresses.set(endpoint_id, None)
            yield Endpoint(endpoint_id, *attributes)

    def sweep_ids(self, segments: int = SWEEP_SEGMENTS) -> None:
        """Free the ids of removed endpoints, unless a list that is not yet applied may contain them."""
        if self._reader.reads_in_progress == 0 and not self._pending:
            self._reader.id_registry.sweep(self._addresses.by_id, segments)
