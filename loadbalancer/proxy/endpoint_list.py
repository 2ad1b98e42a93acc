"""An endpoint list as received from discovery, stored without an object for each endpoint."""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from typing import NamedTuple

from loadbalancer.messages import Endpoint
from loadbalancer.proxy.addresses import Address, CompactAddress, expand_address
from loadbalancer.state.endpoint_attributes import EndpointAttributes
from loadbalancer.state.endpoint_ids import EndpointIdRegistry


class EndpointListEntry(NamedTuple):
    """An entry of a list."""

    endpoint: Endpoint
    address: Address


class EndpointList:
    """A response of discovery: all endpoints if it is complete, or those that changed.

    An entry is the id, the attributes and the address at the same index. Equal attributes are one object.
    """

    def __init__(self, id_registry: EndpointIdRegistry, version: int = 0, *, complete: bool = False) -> None:
        self.id_registry = id_registry
        """Assigned the ids."""
        self.version = version
        self.complete = complete
        self.ids = array("Q")
        self.attributes: list[EndpointAttributes] = []
        self.addresses: list[CompactAddress] = []
        self.unreadable: list[int] = []
        """Endpoints with invalid entries, which keep their earlier state."""
        self.superseded: set[int] = set()
        """Endpoints in a newer list that was applied before this one."""

    def __len__(self) -> int:
        return len(self.ids)

    def append(self, endpoint_id: int, attributes: EndpointAttributes, address: CompactAddress) -> None:
        """Add an entry."""
        self.ids.append(endpoint_id)
        self.attributes.append(attributes)
        self.addresses.append(address)

    def add_unreadable(self, endpoint_id: int) -> None:
        """Record an endpoint whose entry is not valid."""
        self.unreadable.append(endpoint_id)

    def set_version(self, version: int, *, complete: bool) -> None:
        """Set the version, which follows the entries in the text, and whether all endpoints are listed."""
        self.version = version
        self.complete = complete

    def supersede(self, endpoint_ids: array[int]) -> None:
        """Skip these endpoints when the list is applied, since a newer list with them was applied before."""
        self.superseded.update(endpoint_ids)

    def clear(self) -> None:
        """Free the memory of the entries once they have been applied."""
        del self.ids[:]
        del self.attributes[:]
        del self.addresses[:]

    @property
    def entries(self) -> Iterator[EndpointListEntry]:
        """The entries one by one, with their addresses as host and port."""
        for endpoint_id, attributes, address in zip(self.ids, self.attributes, self.addresses, strict=True):
            yield EndpointListEntry(Endpoint(endpoint_id, *attributes), expand_address(address))
