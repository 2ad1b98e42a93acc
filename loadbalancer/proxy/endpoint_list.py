"""An endpoint list as received from discovery, stored in columns, with no object for each endpoint."""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from typing import NamedTuple

from loadbalancer.messages import Endpoint
from loadbalancer.proxy.addresses import Address, CompactAddress, expand_address
from loadbalancer.state.endpoint_attributes import EndpointAttributes
from loadbalancer.state.endpoint_ids import EndpointIdRegistry


class EndpointListEntry(NamedTuple):
    """One endpoint of a list and its address."""

    endpoint: Endpoint
    address: Address


class EndpointList:
    """A response of discovery: all endpoints if the list is complete, otherwise those that changed.

    An entry consists of the id, the attributes and the address at one index. Entries with equal attributes
    share one object.
    """

    def __init__(self, id_registry: EndpointIdRegistry, version: int = 0, *, complete: bool = False) -> None:
        self.id_registry = id_registry
        """The registry that assigned the ids of the entries."""
        self.version = version
        self.complete = complete
        self.ids = array("Q")
        self.attributes: list[EndpointAttributes] = []
        self.addresses: list[CompactAddress] = []
        self.invalid_entry_ids: list[int] = []
        """Ids of endpoints whose entries are invalid; these endpoints keep their earlier state."""
        self.superseded: set[int] = set()
        """Ids in a newer list that was applied before this one; their entries in this list are skipped."""

    def __len__(self) -> int:
        return len(self.ids)

    def append(self, endpoint_id: int, attributes: EndpointAttributes, address: CompactAddress) -> None:
        """Add an entry."""
        self.ids.append(endpoint_id)
        self.attributes.append(attributes)
        self.addresses.append(address)

    def add_invalid_entry(self, endpoint_id: int) -> None:
        """Record an endpoint whose entry is invalid."""
        self.invalid_entry_ids.append(endpoint_id)

    def set_version(self, version: int, *, complete: bool) -> None:
        """Set the version and the completeness, which may follow the entries in the text."""
        self.version = version
        self.complete = complete

    def supersede(self, endpoint_ids: array[int]) -> None:
        """Skip these endpoints when this list is applied: a newer list with them was applied first."""
        self.superseded.update(endpoint_ids)

    def clear(self) -> None:
        """Free the memory of the entries after they have been applied."""
        del self.ids[:]
        del self.attributes[:]
        del self.addresses[:]

    @property
    def entries(self) -> Iterator[EndpointListEntry]:
        """Iterates over the entries, with each address as host and port."""
        for endpoint_id, attributes, address in zip(self.ids, self.attributes, self.addresses, strict=True):
            yield EndpointListEntry(Endpoint(endpoint_id, *attributes), expand_address(address))
