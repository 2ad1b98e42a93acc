"""A fake discovery service on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import time
from typing import NamedTuple

from tests.support.endpoint_lists import Json, entry
from tests.support.fake_endpoint import FakeEndpoint, Writer
from tests.support.http_messages import ReceivedMessage, format_response


class DiscoveryCall(NamedTuple):
    """A received call."""

    received_at_s: float  # time.monotonic()
    target: str


class DiscoveryWrite(NamedTuple):
    """A response with an endpoint list, written to its connection."""

    written_at_s: float  # time.monotonic()
    version: int


class FakeDiscovery:
    """A discovery service whose list is changed by `change`, and which records each call.

    A watch ends with the next change. With `honors_wait` a watch also ends once its `wait_ms` has passed.
    """

    def __init__(self, *, honors_wait: bool = False) -> None:
        self.entries: dict[str, Json] = {}
        self.version = 1
        self.calls: list[DiscoveryCall] = []
        self.writes: list[DiscoveryWrite] = []
        self.broken_response = b""  # if not empty, sent in place of a list; then the connection is closed
        self.server = FakeEndpoint(self._respond)
        self._honors_wait = honors_wait
        self._changed = asyncio.Event()
        self._last_changes: dict[str, int] = {}  # host to version of its last change, oldest first

    def change(self, host: str, **attributes: object) -> None:
        """Add an entry or change attributes of one; this makes a new version of the list."""
        self.entries[host] = {**entry(host), **self.entries.get(host, {}), **attributes}
        self.version += 1
        self._last_changes.pop(host, None)
        self._last_changes[host] = self.version
        self._changed.set()

    def record_call(self, received: ReceivedMessage) -> None:
        """Record a call; tests that replace `server.respond` call this themselves."""
        self.calls.append(DiscoveryCall(time.monotonic(), received.target))

    async def _respond(self, received: ReceivedMessage, writer: Writer) -> None:
        self.record_call(received)
        if self.broken_response:
            writer.write(self.broken_response)
            writer.close()
            return
        after = re.search(r"after=(\d+)", received.start_line)
        if after is None:
            hosts = list(self.entries.values())
        else:
            wait = re.search(r"wait_ms=(\d+)", received.start_line)
            wait_s = int(wait[1]) / 1000 if wait and self._honors_wait else None
            hosts = await self._wait_for_changes_after(int(after[1]), wait_s)
        body = json.dumps({"seq": self.version, "whole": after is None, "hosts": hosts}).encode()
        writer.write(format_response(200, body))
        self.writes.append(DiscoveryWrite(time.monotonic(), self.version))

    async def _wait_for_changes_after(self, version: int, wait_s: float | None) -> list[Json]:
        """Wait for a newer version, then return each entry that has changed since `version`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self.version <= version:
                    self._changed.clear()
                    await self._changed.wait()
        changes = self._last_changes.items()
        return [self.entries[host] for host, last_change in changes if last_change > version]


def hold_complete_lists(discovery: FakeDiscovery) -> asyncio.Event:
    """Hold back complete lists until the returned event is set.

    A response that was held back has the list as it was at the time of the request.
    """
    release = asyncio.Event()
    respond_normally = discovery.server.respond

    async def respond(received: ReceivedMessage, writer: Writer) -> None:
        if "after=" in received.start_line or release.is_set():
            await respond_normally(received, writer)
            return
        hosts = list(discovery.entries.values())
        body = json.dumps({"seq": discovery.version, "whole": True, "hosts": hosts})
        discovery.record_call(received)
        await release.wait()
        writer.write(format_response(200, body.encode()))

    discovery.server.respond = respond
    return release
