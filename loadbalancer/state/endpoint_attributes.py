"""The attributes of one listed endpoint, as the endpoint table stores them."""

from __future__ import annotations

from typing import NamedTuple

from loadbalancer.messages import EndpointStatus


class EndpointAttributes(NamedTuple):
    """The fields of an `Endpoint` without its id, in the same order.

    Endpoints with equal attributes share one object: in a long list most differ only in their id.
    """

    status: EndpointStatus
    zone: str
    cell: int
    weight: float
    started_ns: int
    machine_type: str


IdentifiedAttributes = tuple[int, EndpointAttributes]  # an endpoint's id and attributes
EndpointFields = tuple[EndpointStatus, str, int, float, int, str]  # plain form, equal to `EndpointAttributes`
