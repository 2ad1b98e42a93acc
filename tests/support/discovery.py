"""Endpoint lists as JSON, and what the tests of discovery share."""

from __future__ import annotations

import asyncio
import json
import time

from loadbalancer.messages import EndpointStatus, EndpointUpdate
from loadbalancer.proxy.endpoint_list import EndpointList
from loadbalancer.proxy.endpoint_list_reader import EndpointListReader
from tests.support.sockets import (
    FakeDiscovery,
    Json,
    ReceivedMessage,
    ScriptedPolicy,
    Writer,
    entry,
    format_response,
)


def read_list(raw: object, reader: EndpointListReader | None = None) -> EndpointList:
    """A list as a proxy reads it, by a reader of its own if none is given."""
    return (reader or EndpointListReader(0)).read(json.dumps(raw).encode())


def list_json(version: int, *hosts: object, whole: bool = False) -> Json:
    """An endpoint list of some entries."""
    return {"seq": version, "whole": whole, "hosts": hosts}


def hold_first_list(discovery: FakeDiscovery) -> asyncio.Event:
    """Hold back the first complete list, as it was when it was asked for, until the event is set."""
    release, respond_normally = asyncio.Event(), discovery.server.respond

    async def respond(received: ReceivedMessage, writer: Writer) -> None:
        if "after=" in received.start_line or release.is_set():
            await respond_normally(received, writer)
            return
        body = json.dumps(
            {"seq": discovery.version, "whole": True, "hosts": list(discovery.entries.values())}
        )
        discovery.calls.append((time.monotonic(), received.start_line.split()[1]))
        await release.wait()
        writer.write(format_response(200, body.encode()))

    discovery.server.respond = respond
    return release


def reported_statuses(script: ScriptedPolicy) -> list[EndpointStatus]:
    """The statuses of the one endpoint that were reported to the policy, in order."""
    return [u.status for e in script.events_of(EndpointUpdate) for u in e.endpoints]


def complete_list(count: int, version: int = 1, first: int = 0, **more: object) -> Json:
    """A complete list of so many entries, named s0, s1 and so on."""
    hosts = [entry(f"s{first + i}", 1 + (first + i) % 60_000, **more) for i in range(count)]
    return {"seq": version, "whole": True, "hosts": hosts}
