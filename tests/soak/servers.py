"""The fake endpoints and the fake discovery of a run, with the faults that the schedule gives them."""

from __future__ import annotations

import asyncio
import functools
import time
from dataclasses import dataclass, field
from typing import NamedTuple, cast

from loadbalancer.proxy.socket_state import has_unread_input
from tests.soak.kinds import AttemptOutcome, DiscoveryCondition, EndpointBehavior, Rule
from tests.soak.records import Attempt, ConditionChange, ListChange, Records
from tests.soak.schedule import ChangeList
from tests.support.endpoint_lists import Json
from tests.support.fake_discovery import FakeDiscovery
from tests.support.fake_endpoint import FakeEndpoint, Writer, abort_connection
from tests.support.http_messages import HOST, ReceivedMessage, format_response
from tests.support.unreachable_server import UnreachableServer

SERVICE_TIMES_S = (0.002, 0.005, 0.01, 0.02)
SLOW_SERVICE_TIME_S = 0.3
SLOW_DISCOVERY_DELAY_S = 0.3
OLD_ADDRESS_OPEN_S = 1.5  # lifetime of connections to the old address of discovery after SIGHUP
DECLINED_HEADER = "Srv-Declined: 1"


class SoakEndpoint:
    """An endpoint that records its attempts and responds according to its behavior."""

    def __init__(self, number: int, records: Records, *, is_late: bool) -> None:
        self.number = number
        self.behavior = EndpointBehavior.NORMAL
        self._records = records
        self._late_server = UnreachableServer(self._respond, refuses_connections=False) if is_late else None
        self.server = self._late_server or FakeEndpoint(self._respond)

    async def listen_late(self) -> None:
        """Accept connections from now on, if the endpoint listens late."""
        if self._late_server is not None:
            await self._late_server.start_accepting()

    def set_behavior(self, behavior: EndpointBehavior) -> None:
        """Set how requests are treated from now on."""
        self.behavior = behavior

    async def _respond(self, received: ReceivedMessage, writer: Writer) -> None:
        request_id = received.headers["req-id"]
        attempt = Attempt(request_id, self.number, time.monotonic(), functools.partial(_is_open, writer))
        behavior = self.behavior
        self._records.log_event(f"endpoint {self.number} ({behavior}) receives {request_id}")
        earlier = self._records.attempts[request_id]
        if any(other.outcome is None and other.is_open() for other in earlier):
            self._records.add_violation(
                Rule.DUPLICATE, "second attempt while an earlier one is in flight", request_id
            )
        earlier.append(attempt)
        match behavior:
            case EndpointBehavior.HUNG:
                return
            case EndpointBehavior.DECLINING:
                attempt.record_outcome(AttemptOutcome.DECLINED)
                writer.write(format_response(503, b"", DECLINED_HEADER))
            case EndpointBehavior.FAILING:
                attempt.record_outcome(AttemptOutcome.ERROR)
                writer.write(format_response(500))
            case EndpointBehavior.RESETTING:
                attempt.record_outcome(AttemptOutcome.RESET)
                await abort_connection(received, writer)
            case _:
                await self._serve(attempt, received, writer, behavior)

    async def _serve(
        self, attempt: Attempt, received: ReceivedMessage, writer: Writer, behavior: EndpointBehavior
    ) -> None:
        number = int(attempt.request_id, 16)
        is_slow = behavior is EndpointBehavior.SLOW
        await asyncio.sleep(
            SLOW_SERVICE_TIME_S if is_slow else SERVICE_TIMES_S[number % len(SERVICE_TIMES_S)]
        )
        body = f"{attempt.request_id} at {self.number}"
        response = format_response(200, body.encode())
        if behavior is EndpointBehavior.CUTTING:
            attempt.record_outcome(AttemptOutcome.CUT)
            writer.write(response[:-1])
            await writer.drain()
            await abort_connection(received, writer)
            return
        attempt.record_outcome(AttemptOutcome.SERVED)
        self._records.served_bodies.add(body)
        writer.write(response)


def _is_open(writer: Writer) -> bool:
    """Return whether the balancer still has the connection open; any unread input counts as a close."""
    transport = cast(asyncio.Transport, writer.transport)
    return not transport.is_closing() and not has_unread_input(transport)


@dataclass(eq=False)
class DiscoveryAddress:
    """One address of discovery, and its connections."""

    server: FakeEndpoint
    writers: set[Writer] = field(default_factory=set)

    async def close_later(self, keep_listening_s: float) -> None:
        """Stop listening after `keep_listening_s`, and abort open connections after `OLD_ADDRESS_OPEN_S`."""
        await asyncio.sleep(keep_listening_s)
        self.server.stop()
        await asyncio.sleep(OLD_ADDRESS_OPEN_S - keep_listening_s)
        for writer in self.writers:
            writer.transport.abort()


class DeferredChange(NamedTuple):
    """A list change that takes effect when discovery is up again."""

    endpoint: int
    attributes: dict[str, object]


class SoakDiscovery:
    """A discovery service that may be down, slow or silent, and whose address changes."""

    def __init__(self, records: Records, *, pushes: bool) -> None:
        self.fake = FakeDiscovery(honors_wait=True)
        records.writes = self.fake.writes
        self.condition = DiscoveryCondition.UP
        self._records = records
        self._pushes = pushes
        self._respond_normally = self.fake.server.respond
        self._deferred_changes: list[DeferredChange] = []
        self._open_calls: dict[asyncio.Task[None], Writer] = {}
        self._addresses: list[DiscoveryAddress] = []
        self._closing: set[asyncio.Task[None]] = set()

    async def open_address(self, old_address_listens_s: float = 0.0) -> str:
        """Listen at a new address and return it; the old one stops after `old_address_listens_s`."""
        for older in self._addresses:
            self._closing.add(asyncio.create_task(older.close_later(old_address_listens_s)))
        self._addresses.clear()
        address = DiscoveryAddress(FakeEndpoint(self._respond))
        address.server.respond = functools.partial(self._respond_at, address)
        self._addresses.append(address)
        await address.server.start()
        return f"{HOST}:{address.server.port}"

    def change(self, change: ChangeList, dial: str) -> None:
        """Change an entry; a pushing discovery that is down applies the change once it is up again."""
        attributes: dict[str, object] = {"dial": dial, "health": change.health}
        if change.is_cold:
            attributes["born_ms"] = int(time.time() * 1000)
        if self._pushes and self.condition is DiscoveryCondition.DOWN:
            self._deferred_changes.append(DeferredChange(change.endpoint, attributes))
        else:
            self._apply(change.endpoint, attributes)

    def _apply(self, endpoint: int, attributes: dict[str, object]) -> None:
        self.fake.change(f"s{endpoint}", **attributes)
        accepts_requests = attributes["health"] == "up"
        change = ListChange(time.monotonic(), self.fake.version, endpoint, accepts_requests)
        self._records.changes.append(change)

    def set_condition(self, condition: DiscoveryCondition) -> None:
        """Change the condition, which may affect deferred changes and open calls.

        UP applies the deferred changes. SILENT cancels the open calls and keeps their connections open; DOWN
        cancels the calls and aborts the connections, unless discovery pushes its lists.
        """
        self.condition = condition
        self._records.conditions.append(ConditionChange(time.monotonic(), condition))
        if condition is DiscoveryCondition.UP:
            for deferred in self._deferred_changes:
                self._apply(deferred.endpoint, deferred.attributes)
            self._deferred_changes.clear()
        elif condition is DiscoveryCondition.SILENT or (
            condition is DiscoveryCondition.DOWN and not self._pushes
        ):
            for call, writer in self._open_calls.items():
                call.cancel()
                if condition is DiscoveryCondition.DOWN:
                    writer.transport.abort()

    async def _respond_at(self, address: DiscoveryAddress, received: ReceivedMessage, writer: Writer) -> None:
        address.writers.add(writer)
        await self._respond(received, writer)

    async def _respond(self, received: ReceivedMessage, writer: Writer) -> None:
        if self.condition is DiscoveryCondition.SILENT:
            return
        if self.condition is DiscoveryCondition.DOWN and not self._pushes:
            await abort_connection(received, writer)
            return
        if self.condition is DiscoveryCondition.SLOW:
            await asyncio.sleep(SLOW_DISCOVERY_DELAY_S)
        call = asyncio.create_task(self._serve_call(received, writer))
        self._open_calls[call] = writer
        await asyncio.wait({call})
        del self._open_calls[call]

    async def _serve_call(self, received: ReceivedMessage, writer: Writer) -> None:
        await self._respond_normally(received, writer)

    def known_list(self) -> Json:
        """Return the current complete list."""
        return {"seq": self.fake.version, "whole": True, "hosts": list(self.fake.entries.values())}

    def stop(self) -> None:
        """Stop listening."""
        for address in self._addresses:
            address.server.stop()
