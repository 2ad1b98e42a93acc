"""The configuration file: read into a typed configuration."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from typing import Any

from loadbalancer.proxy.addresses import Address, read_address
from loadbalancer.proxy.endpoint_list import EndpointList
from loadbalancer.proxy.endpoint_list_parser import EndpointListParser, unix_offset_ns
from loadbalancer.proxy.endpoint_list_reader import read_beside
from loadbalancer.proxy.errors import EndpointListError
from loadbalancer.proxy.steps import run_through
from loadbalancer.settings import Settings, read_settings

CHUNK = 16 * 1024  # bytes of a configuration that are read at a stretch
MB = 1024 * 1024


class ConfigurationError(Exception):
    """The configuration is missing or can't be used."""


def config_steps(path: str, with_known: bool = True) -> Generator[None, None, Configuration]:
    """Read a configuration, in steps where its list is long; BadConfig says what is wrong with it."""
    rows = EndpointListParser(unix_offset_ns())
    try:
        with open(path, "rb") as file:
            raw = yield from read_beside(iter(lambda: file.read(CHUNK), b""), "known", rows)
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    except EndpointListError as error:
        raise ConfigurationError(f"{path}: {error}") from None
    try:
        known = rows.finish() if rows.started and with_known else None
    except EndpointListError as error:
        raise ConfigurationError(f"{path}: known: {error}") from None
    try:
        return _config(raw, known)
    except KeyError as error:
        raise ConfigurationError(f"{path}: {error} is missing") from None
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise ConfigurationError(f"{path}: {error}") from None


def read_config(path: str) -> Configuration:
    return run_through(config_steps(path))


def _config(raw: Any, known: EndpointList | None) -> Configuration:
    peer_listen, peers_all = raw.get("peer_listen"), raw.get("peers_all")
    limits = raw.get("limits") or {}
    return Configuration(
        name=str(raw["name"]),
        listen=read_address(raw["listen"]),
        discovery=read_address(raw["discovery"]),
        seed=int.from_bytes(str(raw["seed"]).encode(), "big"),
        sockets=int(limits.get("sockets") or 1024),
        settings=read_settings(raw["settings"]),
        known=known,
        peer_listen=read_address(peer_listen) if peer_listen else None,
        peers=[read_address(a) for a in raw.get("peers") or ()],
        peers_all=read_address(peers_all) if peers_all else None,
        cores=float(limits.get("cores") or 0.0),
        memory_bytes=int(float(limits.get("memory_mb") or 0) * MB),
    )


@dataclass(frozen=True, slots=True)
class Configuration:
    """What a balancer is told at its start."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    settings: Settings
    known: EndpointList | None = None  # the last known list
    peer_listen: Address | None = None
    peers: list[Address] = field(default_factory=list)
    peers_all: Address | None = None
    cores: float = 0.0  # share of a processor; 0: not told
    memory_bytes: int = 0  # limit of the process; 0: not told
