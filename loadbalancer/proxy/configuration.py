"""The configuration of a proxy, as typed values."""

from __future__ import annotations

from dataclasses import dataclass, field

from loadbalancer.proxy.addresses import Address
from loadbalancer.proxy.endpoint_list import EndpointList
from loadbalancer.settings import Settings


@dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration of a proxy, as read at its start."""

    name: str  # of this proxy, in log lines
    listen: Address  # where clients connect
    discovery: Address  # address of the service that provides the endpoint list
    seed: int  # of all random generators
    max_sockets: int  # limit on open sockets of all kinds together
    settings: Settings  # of the policy
    known_endpoints: EndpointList | None = None  # the list as last known before the start; None: not given
    gossip_listen: Address | None = None  # receives messages of other proxies; None: gossip is off
    gossip_peers: list[Address] = field(default_factory=list)  # by proxy index
    gossip_broadcast: Address | None = None  # reaches all peers
    cpu_cores: float = 0.0  # CPU limit of the process, in cores; 0: not given
    memory_bytes: int = 0  # memory limit of the process; 0: not given
