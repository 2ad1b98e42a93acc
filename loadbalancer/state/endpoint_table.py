"""All endpoints of the list in a compact form, and the hash rings of the ready ones.

The table stores the attributes of each endpoint, and for each ready one a key on the ring of every placement
that allows it. The cost of updating the rings is about proportional to the number of changes. Requests don't
read the table, except for some retries. Only the endpoints in use have a full `EndpointState`.
"""

from __future__ import annotations

from sortedcontainers import SortedList

from loadbalancer.messages import Endpoint, EndpointStatus
from loadbalancer.settings import DeduplicationScope
from loadbalancer.state.endpoint_attributes import EndpointAttributes, EndpointFields
from loadbalancer.state.hash_ring import RingKey, ring_slice, unmix64
from loadbalancer.state.placement import Placement

# The rings are rebuilt if more endpoints have changed than REBUILD_CHANGES_MIN + REBUILD_CHANGED_FRACTION of
# the listed ones.
REBUILD_CHANGES_MIN = 256
REBUILD_CHANGED_FRACTION = 0.5
UNUSED_ATTRIBUTES_MIN = 256  # fewer unused attributes are never dropped


class EndpointTable:
    """The attributes of all listed endpoints, and the rings of the placements.

    `upsert` and `remove` record entries of the endpoint list; `apply_changes` then updates the rings
    for all these entries at once. `index_zones` and `index_cells` say whether the placements have rings by
    zone and by cell.
    """

    def __init__(self, *, index_zones: bool, index_cells: bool) -> None:
        self.attributes: dict[int, EndpointAttributes] = {}  # by endpoint id
        self.placements: list[Placement] = []
        self._index_zones = index_zones
        self._index_cells = index_cells
        self._interned: dict[EndpointFields, EndpointAttributes] = {}  # one shared object for equal ones
        # Endpoints changed since `apply_changes`, with the attributes as of then; None: not listed then.
        self._changed: dict[int, EndpointAttributes | None] = {}
        self._must_rebuild = False

    def add_placement(self, placement: Placement) -> None:
        """Add a placement; call before the first `apply_changes`, as its rings receive only changes."""
        placement.index_zones = self._index_zones
        placement.index_cells = self._index_cells
        self.placements.append(placement)

    def upsert(self, endpoint: Endpoint) -> None:
        """Record an entry of the endpoint list; the status REMOVED deletes the endpoint."""
        endpoint_id = endpoint.id
        fields = endpoint[1:]
        old = self.attributes.get(endpoint_id)
        if fields == old:
            return
        if endpoint.status is EndpointStatus.REMOVED:
            self.remove(endpoint_id)
            return
        new = self._shared_attributes(fields)
        if old is None or not _same_ring_position(old, new):
            self._record_change(endpoint_id, old)
        self.attributes[endpoint_id] = new

    def remove(self, endpoint_id: int) -> None:
        """Record that the endpoint with this id is no longer listed, if it was."""
        old = self.attributes.pop(endpoint_id, None)
        if old is not None:
            self._record_change(endpoint_id, old)

    def _shared_attributes(self, fields: EndpointFields) -> EndpointAttributes:
        attributes = self._interned.get(fields)
        if attributes is None:
            attributes = EndpointAttributes._make(fields)
            self._interned[attributes] = attributes  # also the key: a second tuple would double the memory
        return attributes

    def _record_change(self, endpoint_id: int, old: EndpointAttributes | None) -> None:
        if self._must_rebuild:
            return
        self._changed.setdefault(endpoint_id, old)
        if len(self._changed) > REBUILD_CHANGES_MIN + REBUILD_CHANGED_FRACTION * len(self.attributes):
            # A rebuild is cheaper than so many changes one by one, as with the first list.
            self._must_rebuild = True
            self._changed.clear()

    def apply_changes(self) -> bool:
        """Update the rings; return whether ready endpoints were added, changed or removed.

        Changes of weight or start time alone don't count, as the rings depend on neither. Always true after a
        rebuild, which does not check this.
        """
        self._drop_unused_attributes()
        if self._must_rebuild:
            self._must_rebuild = False
            self._rebuild_rings()
            return True
        changed = self._changed
        self._changed = {}
        return self._update_rings(changed)

    def _update_rings(self, changed: dict[int, EndpointAttributes | None]) -> bool:
        """Apply changes, given as old attributes by id; return whether any concerns a ready endpoint."""
        ready = EndpointStatus.READY
        attributes = self.attributes
        removed = [(i, old) for i, old in changed.items() if old is not None and old.status is ready]
        added = [(i, attributes[i]) for i in changed if i in attributes and attributes[i].status is ready]
        for placement in self.placements:
            placement.remove(removed)
            placement.add(added)
        return bool(removed or added)

    def _rebuild_rings(self) -> None:
        ready = EndpointStatus.READY
        for placement in self.placements:
            placement.clear()
            placement.add((i, row) for i, row in self.attributes.items() if row.status is ready)

    def _drop_unused_attributes(self) -> None:
        """Drop shared attributes that no endpoint has, once far more are stored than endpoints are listed."""
        if len(self._interned) > 2 * len(self.attributes) + UNUSED_ATTRIBUTES_MIN:
            self._interned = {attributes: attributes for attributes in self.attributes.values()}

    def endpoint(self, endpoint_id: int) -> Endpoint:
        """Return the list entry of an endpoint; KeyError if it is not listed."""
        return Endpoint(endpoint_id, *self.attributes[endpoint_id])

    def ready_in_deduplication_group(
        self,
        placement: Placement,
        reference: Endpoint,
        scope: DeduplicationScope,
        position: float,
        count: int,
    ) -> list[int]:
        """Return the ids of ready endpoints in the zone or cell (by `scope`) of a reference endpoint.

        These are at most `count` ids, consecutive on the ring of that zone or cell from `position` on, which
        is a fraction of the ring (0 to 1).
        """
        if scope is DeduplicationScope.ZONE:
            ring: SortedList[RingKey] | list[RingKey] | None = placement.by_zone.get(reference.zone)
        else:
            ring = placement.by_cell.get((reference.zone, reference.cell))
        if not ring:
            return []
        return [unmix64(key) for key in ring_slice(ring, int(position * len(ring)), count)]


def _same_ring_position(old: EndpointAttributes, new: EndpointAttributes) -> bool:
    """Return whether two entries of one endpoint differ at most in weight and start time.

    The rings depend on neither, and weights change all the time.
    """
    return (
        old.status is new.status
        and old.zone == new.zone
        and old.cell == new.cell
        and old.machine_type == new.machine_type
    )
