"""The endpoints and the discovery of a run, with the faults that the schedule gives them."""

from __future__ import annotations

import asyncio
import functools
import time
from dataclasses import dataclass, field
from typing import NamedTuple, cast

from loadbalancer.proxy.socket_state import has_unread_input
from tests.soak.kinds import AttemptEnd, Behavior, Condition, Rule
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
OLD_ADDRESS_OPEN_S = 1.5  # after SIGHUP, for the open connections to the old address of discovery
DECLINED = "Srv-Declined: 1"


class SoakEndpoint:
    """An endpoint that records its attempts, and responds by its behavior."""

    def __init__(self, number: int, records: Records, *, is_late: bool) -> None:
        self.number = number
        self.behavior = Behavior.NORMAL
        self._records = records
        self._machine = UnreachableServer(self._respond, refuses_connections=False) if is_late else None
        self.server = self._machine or FakeEndpoint(self._respond)

    async def listen_late(self) -> None:
        """Accept connections from now on, if it was late."""
        if self._machine is not None:
            await self._machine.start_accepting()

    def set_behavior(self, behavior: Behavior) -> None:
        """Treat requests in this way from now on."""
        self.behavior = behavior

    async def _respond(self, received: ReceivedMessage, writer: Writer) -> None:
        request_id = received.headers["req-id"]
        attempt = Attempt(request_id, self.number, time.monotonic(), functools.partial(_is_open, writer))
        behavior = self.behavior
        self._records.note(f"endpoint {self.number} ({behavior}) receives {request_id}")
        earlier = self._records.attempts[request_id]
        if any(other.end is None and other.is_open() for other in earlier):
            self._records.violate(Rule.DUPLICATE, "a second copy while the first is out", request_id)
        earlier.append(attempt)
        match behavior:
            case Behavior.HUNG:
                return
            case Behavior.DECLINING:
                attempt.finish(AttemptEnd.DECLINED)
                writer.write(format_response(503, b"", DECLINED))
            case Behavior.FAILING:
                attempt.finish(AttemptEnd.ERROR)
                writer.write(format_response(500))
            case Behavior.RESETTING:
                attempt.finish(AttemptEnd.RESET)
                await abort_connection(received, writer)
            case _:
                await self._serve(attempt, received, writer, behavior)

    async def _serve(
        self, attempt: Attempt, received: ReceivedMessage, writer: Writer, behavior: Behavior
    ) -> None:
        number = int(attempt.request_id, 16)
        is_slow = behavior is Behavior.SLOW
        await asyncio.sleep(
            SLOW_SERVICE_TIME_S if is_slow else SERVICE_TIMES_S[number % len(SERVICE_TIMES_S)]
        )
        body = f"{attempt.request_id} at {self.number}"
        response = format_response(200, body.encode())
        if behavior is Behavior.CUTTING:
            attempt.finish(AttemptEnd.CUT)
            writer.write(response[:-1])
            await writer.drain()
            await abort_connection(received, writer)
            return
        attempt.finish(AttemptEnd.SERVED)
        self._records.served_bodies.add(body)
        writer.write(response)


def _is_open(writer: Writer) -> bool:
    """Whether the balancer has a connection still open; what it has sent may be unread."""
    transport = cast(asyncio.Transport, writer.transport)
    return not transport.is_closing() and not has_unread_input(transport)


@dataclass(eq=False)
class DiscoveryAddress:
    """One address of discovery."""

    server: FakeEndpoint
    writers: set[Writer] = field(default_factory=set)

    async def close_later(self, listens_s: float) -> None:
        """Take no new connection after a while, and close the open ones as an old address does."""
        await asyncio.sleep(listens_s)
        self.server.stop()
        await asyncio.sleep(OLD_ADDRESS_OPEN_S - listens_s)
        for writer in self.writers:
            writer.transport.abort()


class HeldChange(NamedTuple):
    """A change that an agent has not learned yet."""

    endpoint: int
    attributes: dict[str, object]


class SoakDiscovery:
    """A discovery that may be away, slow or silent, and whose address changes."""

    def __init__(self, records: Records, *, pushes: bool) -> None:
        self.fake = FakeDiscovery(honors_wait=True)
        records.writes = self.fake.writes
        self.condition = Condition.UP
        self._records = records
        self._pushes = pushes
        self._respond_normally = self.fake.server.respond
        self._held_changes: list[HeldChange] = []
        self._calls: dict[asyncio.Task[None], Writer] = {}
        self._addresses: list[DiscoveryAddress] = []
        self._closing: set[asyncio.Task[None]] = set()

    async def open_address(self, old_listens_s: float = 0.0) -> str:
        """Listen at a new address, and close the older ones, which listen for so long."""
        for older in self._addresses:
            self._closing.add(asyncio.create_task(older.close_later(old_listens_s)))
        self._addresses.clear()
        address = DiscoveryAddress(FakeEndpoint(self._respond))
        address.server.respond = functools.partial(self._respond_at, address)
        self._addresses.append(address)
        await address.server.start()
        return f"{HOST}:{address.server.port}"

    def change(self, change: ChangeList, dial: str) -> None:
        """Change an entry; an agent that is away learns it only at its return."""
        attributes: dict[str, object] = {"dial": dial, "health": change.health}
        if change.is_cold:
            attributes["born_ms"] = int(time.time() * 1000)
        if self._pushes and self.condition is Condition.DOWN:
            self._held_changes.append(HeldChange(change.endpoint, attributes))
        else:
            self._apply(change.endpoint, attributes)

    def _apply(self, endpoint: int, attributes: dict[str, object]) -> None:
        self.fake.change(f"s{endpoint}", **attributes)
        accepts_requests = attributes["health"] == "up"
        change = ListChange(time.monotonic(), self.fake.version, endpoint, accepts_requests)
        self._records.changes.append(change)

    def set_condition(self, condition: Condition) -> None:
        """Change the condition; watches end or fall silent."""
        self.condition = condition
        self._records.conditions.append(ConditionChange(time.monotonic(), condition))
        if condition is Condition.UP:
            for held in self._held_changes:
                self._apply(held.endpoint, held.attributes)
            self._held_changes.clear()
        elif condition is Condition.SILENT or (condition is Condition.DOWN and not self._pushes):
            for call, writer in self._calls.items():
                call.cancel()
                if condition is Condition.DOWN:
                    writer.transport.abort()

    async def _respond_at(self, address: DiscoveryAddress, received: ReceivedMessage, writer: Writer) -> None:
        address.writers.add(writer)
        await self._respond(received, writer)

    async def _respond(self, received: ReceivedMessage, writer: Writer) -> None:
        if self.condition is Condition.SILENT:
            return
        if self.condition is Condition.DOWN and not self._pushes:
            await abort_connection(received, writer)
            return
        if self.condition is Condition.SLOW:
            await asyncio.sleep(SLOW_DISCOVERY_DELAY_S)
        call = asyncio.create_task(self._call(received, writer))
        self._calls[call] = writer
        await asyncio.wait({call})
        del self._calls[call]

    async def _call(self, received: ReceivedMessage, writer: Writer) -> None:
        await self._respond_normally(received, writer)

    def known_list(self) -> Json:
        """The complete list as it is now."""
        return {"seq": self.fake.version, "whole": True, "hosts": list(self.fake.entries.values())}

    def stop(self) -> None:
        """Listen no longer."""
        for address in self._addresses:
            address.server.stop()
