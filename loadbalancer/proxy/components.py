"""Builds the components of a proxy from its configuration."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from loadbalancer.proxy.configuration import Configuration
from loadbalancer.proxy.connection_pool import ConnectionLimits
from loadbalancer.proxy.discovery_call import OnResult, list_size_limit_bytes
from loadbalancer.proxy.discovery_client import DiscoveryClient
from loadbalancer.proxy.endpoint_list_parser import unix_offset_ns
from loadbalancer.proxy.endpoint_list_reader import EndpointListReader
from loadbalancer.proxy.gossip import Gossip
from loadbalancer.proxy.memory_budget import (
    DEFAULT_FREE_MEMORY_BYTES,
    MemoryBudget,
    connection_memory_bytes,
    free_memory_bytes,
    list_memory_bytes,
    resident_memory_bytes,
)
from loadbalancer.units import NANOSECONDS_PER_SECOND

# File descriptors kept for the event loop, the listening socket, discovery, gossip, logs and closing sockets.
RESERVED_DESCRIPTORS = 32

# Lower bound of the connection limits for clients and for endpoints, however few file descriptors there are.
MIN_CONNECTIONS = 8

# Added to the seed for the random generator of discovery's backoff. The policy's generator is separate, and
# uses the seed itself.
DISCOVERY_SEED_OFFSET = 1


def max_connections(max_sockets: int) -> int:
    """Return the limit on open connections to clients, which is also the limit on those to endpoints."""
    return max(MIN_CONNECTIONS, (max_sockets - RESERVED_DESCRIPTORS) // 2)


@dataclass(frozen=True, slots=True)
class MemoryBudgets:
    """What connections may hold, by what they are for."""

    requests: MemoryBudget  # connections to clients and endpoints
    lists: MemoryBudget  # connections to discovery


def make_memory_budgets(config: Configuration) -> MemoryBudgets:
    """Return the budgets of a process that has no connection yet."""
    connections = 2 * max_connections(config.max_sockets)  # to clients, and as many to endpoints
    free_bytes = DEFAULT_FREE_MEMORY_BYTES
    if config.memory_bytes:
        free_bytes = free_memory_bytes(config.memory_bytes, resident_memory_bytes(), connections)
    list_bytes = min(list_size_limit_bytes(config.memory_bytes), list_memory_bytes(free_bytes))
    return MemoryBudgets(MemoryBudget(connection_memory_bytes(free_bytes)), MemoryBudget(list_bytes))


def make_connection_limits(config: Configuration, memory: MemoryBudget) -> ConnectionLimits:
    """Return the limits shared by the connections to all endpoints."""
    limits = config.settings.limits
    return ConnectionLimits(
        max_connections=max_connections(config.max_sockets),
        connect_timeout_s=limits.connect_timeout_ns / NANOSECONDS_PER_SECOND,
        endpoint_idle_timeout_s=limits.connection_idle_timeout_ns / NANOSECONDS_PER_SECOND,
        memory=memory,
    )


def make_list_reader(config: Configuration) -> EndpointListReader:
    """Return the reader of endpoint lists; it continues to use the endpoint ids of a known list."""
    known = config.known_endpoints
    return EndpointListReader(unix_offset_ns(), None if known is None else known.id_registry)


def make_discovery_client(
    config: Configuration, reader: EndpointListReader, memory: MemoryBudget, on_result: OnResult
) -> DiscoveryClient:
    """Return the discovery client, which makes no call yet."""
    return DiscoveryClient(
        address=config.discovery,
        reader=reader,
        pushes=config.settings.discovery_pushes,
        rng=random.Random(config.seed + DISCOVERY_SEED_OFFSET),
        on_result=on_result,
        memory=memory,
        max_list_bytes=memory.limit_bytes,
    )


def make_gossip(config: Configuration, on_message: Callable[[int, bytes], None]) -> Gossip:
    """Return the sender and receiver of gossip messages, which has no socket yet."""
    return Gossip(
        peers=config.gossip_peers,
        all_peers=config.gossip_broadcast,
        proxy_index=config.settings.proxy_index,
        on_message=on_message,
    )
