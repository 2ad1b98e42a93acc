"""Endpoint lists as discovery sends them in JSON."""

from __future__ import annotations

import json
from typing import Any

from loadbalancer.proxy.endpoint_list import EndpointList
from loadbalancer.proxy.endpoint_list_parser import unix_offset_ns
from loadbalancer.proxy.endpoint_list_reader import EndpointListReader
from tests.support.http_messages import HOST

Json = dict[str, Any]

MAX_PORTS = 60_000  # a longer list uses each port more than once


def entry(host: str, port: int = 1, **attributes: object) -> Json:
    """An entry of the list: an endpoint that is up, but for the attributes given."""
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
    """An endpoint list of some entries."""
    return {"seq": version, "whole": whole, "hosts": hosts}


def list_of_ports(*ports: int) -> Json:
    """A complete list of endpoints named s0, s1 and so on, at these ports."""
    return {"seq": 1, "whole": True, "hosts": [entry(f"s{i}", port) for i, port in enumerate(ports)]}


def complete_list(count: int, version: int = 1, first: int = 0, **attributes: object) -> Json:
    """A complete list of so many entries, named s0, s1 and so on."""
    hosts = [entry(f"s{first + i}", 1 + (first + i) % MAX_PORTS, **attributes) for i in range(count)]
    return {"seq": version, "whole": True, "hosts": hosts}


def read_list(raw: object, reader: EndpointListReader | None = None) -> EndpointList:
    """A list as a proxy reads it, by a reader of its own if none is given."""
    return (reader or EndpointListReader(0)).read(json.dumps(raw).encode())


def read_live_list(raw: object) -> EndpointList:
    """A list as a running proxy reads it: start times are on the clock of this process."""
    return read_list(raw, EndpointListReader(unix_offset_ns()))
