"""An endpoint list as discovery gave it, stored without an object for each endpoint."""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from typing import NamedTuple

from loadbalancer.messages import Endpoint
from loadbalancer.proxy.addresses import Address, CompactAddress, expand_address
from loadbalancer.state.endpoint_attributes import EndpointAttributes
from loadbalancer.state.endpoint_ids import EndpointIdRegistry


class ListedEndpoint(NamedTuple):
    """An entry of a list."""

    endpoint: Endpoint
    address: Address


class EndpointList:
    """An answer of discovery: all endpoints, or those that changed.

    An entry is the id, the attributes and the address at the same index. Equal attributes are one object.
    """

    def __init__(self, id_registry: EndpointIdRegistry, version: int = 0, complete: bool = False) -> None:
        self.id_registry = id_registry  # which assigned the ids
        self.version = version
        self.complete = complete
        self.ids = array("Q")
        self.attributes: list[EndpointAttributes] = []
        self.addresses: list[CompactAddress] = []
        self.unreadable: list[int] = []  # listed, but their entries can't be read: what is known stays
        self.superseded: set[int] = set()  # named by a newer list that was applied before this one

    def __len__(self) -> int:
        return len(self.ids)

    def append(self, endpoint_id: int, attributes: EndpointAttributes, address: CompactAddress) -> None:
        """Add an entry."""
        self.ids.append(endpoint_id)
        self.attributes.append(attributes)
        self.addresses.append(address)

    def clear(self) -> None:
        """Free the memory of the entries once they have been applied."""
        del self.ids[:]
        del self.attributes[:]
        del self.addresses[:]

    @property
    def entries(self) -> Iterator[ListedEndpoint]:
        """The entries one by one, unpacked."""
        for endpoint_id, attributes, address in zip(self.ids, self.attributes, self.addresses, strict=True):
            yield ListedEndpoint(Endpoint(endpoint_id, *attributes), expand_address(address))
