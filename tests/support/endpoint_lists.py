"""Endpoint lists in the JSON that discovery sends."""

from __future__ import annotations

import json
from typing import Any

from loadbalancer.proxy.endpoint_list import EndpointList
from loadbalancer.proxy.endpoint_list_parser import unix_offset_ns
from loadbalancer.proxy.endpoint_list_reader import EndpointListReader
from tests.support.http_messages import HOST

Json = dict[str, Any]

MAX_PORTS = 60_000  # a longer list uses some ports more than once


def entry(host: str, port: int = 1, **attributes: object) -> Json:
    """Return the entry of an endpoint that is up, with the given attributes replaced."""
    return {
        "host": host,
        "dial": f"{HOST}:{port}",
        "site": "east",
        "class": "m",
        "block": 0,
        "health": "up",
        "share": 1.0,
        "born_ms": 0,
        **attributes,
    }


def list_json(version: int, *hosts: object, whole: bool = False) -> Json:
    """Return an endpoint list of these entries: a delta unless `whole` is set."""
    return {"seq": version, "whole": whole, "hosts": hosts}


def list_of_ports(*ports: int) -> Json:
    """Return a complete list of endpoints named s0, s1 and so on, at these ports."""
    return {"seq": 1, "whole": True, "hosts": [entry(f"s{i}", port) for i, port in enumerate(ports)]}


def complete_list(count: int, version: int = 1, first: int = 0, **attributes: object) -> Json:
    """Return a complete list of `count` entries, named s<first>, s<first + 1> and so on."""
    hosts = [entry(f"s{first + i}", 1 + (first + i) % MAX_PORTS, **attributes) for i in range(count)]
    return {"seq": version, "whole": True, "hosts": hosts}


def read_list(raw: object, reader: EndpointListReader | None = None) -> EndpointList:
    """Parse a list as a proxy does; the default is a new reader with a clock offset of 0."""
    return (reader or EndpointListReader(0)).read(json.dumps(raw).encode())


def read_live_list(raw: object) -> EndpointList:
    """Parse a list as a running proxy does: start times are on this process's monotonic clock."""
    return read_list(raw, EndpointListReader(unix_offset_ns()))
