"""Reads the configuration file of a proxy from JSON into a typed configuration.

The file may contain the last known endpoint list, with 100,000 entries and more, so it is parsed in chunks; a
running proxy serves requests between the chunks.
"""

from __future__ import annotations

from pathlib import Path

from loadbalancer.proxy.addresses import Address, parse_address
from loadbalancer.proxy.configuration import Configuration
from loadbalancer.proxy.cooperative import CooperativeWork, run_to_completion
from loadbalancer.proxy.endpoint_list import EndpointList
from loadbalancer.proxy.endpoint_list_parser import EndpointListParser, unix_offset_ns
from loadbalancer.proxy.endpoint_list_reader import parse_object_around_list
from loadbalancer.proxy.errors import EndpointListError
from loadbalancer.settings_reader import Json, SettingsError, read_settings

CHUNK_BYTES = 16 * 1024  # parsed between two yields
DEFAULT_MAX_SOCKETS = 1024
BYTES_PER_MEBIBYTE = 1024 * 1024


class ConfigurationError(Exception):
    """The configuration file is missing or invalid; the message names the file and the problem."""


def read_configuration(path: str) -> Configuration:
    """Read a configuration file; raise ConfigurationError if it is missing or invalid."""
    return run_to_completion(read_configuration_cooperatively(path))


def read_configuration_cooperatively(
    path: str, *, keep_known_endpoints: bool = True
) -> CooperativeWork[Configuration]:
    """Read a configuration file like `read_configuration`, but yield after every `CHUNK_BYTES`.

    Without `keep_known_endpoints` the endpoint list of the file is parsed, but left out of the configuration.
    """
    endpoints = EndpointListParser(unix_offset_ns())
    raw = yield from _parse(path, endpoints)
    known = _known_endpoints(path, endpoints) if endpoints.started and keep_known_endpoints else None
    try:
        return _configuration(raw, known)
    except SettingsError as error:
        raise ConfigurationError(f"{path}: settings: {error}") from error
    except KeyError as error:
        raise ConfigurationError(f"{path}: {error} is missing") from error
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise ConfigurationError(f"{path}: {error}") from error


def _parse(path: str, endpoints: EndpointListParser) -> CooperativeWork[Json]:
    """Parse the file: pass its endpoint list to `endpoints`, and return all else."""
    try:
        with Path(path).open("rb") as file:
            chunks = iter(lambda: file.read(CHUNK_BYTES), b"")
            raw: Json = yield from parse_object_around_list(chunks, "known", endpoints)
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from error
    except EndpointListError as error:
        raise ConfigurationError(f"{path}: {error}") from error
    return raw


def _known_endpoints(path: str, endpoints: EndpointListParser) -> EndpointList:
    try:
        return endpoints.finish()
    except EndpointListError as error:
        raise ConfigurationError(f"{path}: known: {error}") from error


def _configuration(raw: Json, known_endpoints: EndpointList | None) -> Configuration:
    limits = raw.get("limits") or {}
    return Configuration(
        name=str(raw["name"]),
        listen=parse_address(raw["listen"]),
        discovery=parse_address(raw["discovery"]),
        seed=int.from_bytes(str(raw["seed"]).encode(), "big"),
        max_sockets=int(limits.get("sockets") or DEFAULT_MAX_SOCKETS),
        settings=read_settings(raw["settings"]),
        known_endpoints=known_endpoints,
        gossip_listen=_optional_address(raw.get("peer_listen")),
        gossip_peers=[parse_address(text) for text in raw.get("peers") or ()],
        gossip_broadcast=_optional_address(raw.get("peers_all")),
        cpu_cores=float(limits.get("cores") or 0.0),
        memory_bytes=int(float(limits.get("memory_mb") or 0) * BYTES_PER_MEBIBYTE),
    )


def _optional_address(text: str | None) -> Address | None:
    return parse_address(text) if text else None
