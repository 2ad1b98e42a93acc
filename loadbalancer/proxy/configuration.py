"""The configuration of a proxy, as typed values."""

from __future__ import annotations

from dataclasses import dataclass, field

from loadbalancer.proxy.addresses import Address
from loadbalancer.proxy.endpoint_list import EndpointList
from loadbalancer.settings import Settings


@dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration of a proxy, as read at its start."""

    name: str  # identifies this proxy in log lines
    listen: Address  # address to which clients connect
    discovery: Address  # address of the service that provides the endpoint list
    seed: int  # seeds all random generators
    max_sockets: int  # limit on open sockets of all kinds together
    settings: Settings  # used by the policy and by the proxy
    known_endpoints: EndpointList | None = None  # list known before the start; None: not given
    gossip_listen: Address | None = None  # receives messages of other proxies; None: gossip is off
    gossip_peers: list[Address] = field(default_factory=list)  # addresses of all proxies, by proxy index
    gossip_broadcast: Address | None = None  # address that reaches all peers at once; None: not given
    cpu_cores: float = 0.0  # CPU limit of the process, in cores; 0: not given
    memory_bytes: int = 0  # memory limit of the process; 0: not given
