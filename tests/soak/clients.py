"""The clients of a run: those that send requests, bad ones, and a flood of idle connections."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from tests.soak.kinds import BadClientKind, RequestKind
from tests.soak.records import BadClient, ClientRequest, Records
from tests.soak.schedule import PlannedRequest
from tests.support.http_messages import HOST, ReceivedMessage, read_message, request

CONNECT_TIMEOUT_S = 1.0
LATE_RESPONSE_WAIT_S = 1.0  # wait after the deadline, to tell a late response from a missing one
BAD_CLIENT_WAIT_S = 4.0
BAD_REQUESTS = {
    BadClientKind.NOTHING: b"",
    BadClientKind.GARBAGE: b"\x16\x03\x01 what is this\r\n\r\n",
    BadClientKind.HALF_A_REQUEST: b"GET /read HTTP/1.1\r\nHost: serv",
}
FLOOD_BATCH_SIZE = 64


@dataclass(frozen=True)
class Connection:
    """A client's connection to the balancer."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


def format_request(request_id: str, kind: RequestKind, deadline_ms: int) -> bytes:
    """Return the bytes of a request of this kind."""
    if kind is RequestKind.READ:
        return request(f"/{kind}/x", request_id=request_id, deadline_ms=deadline_ms)
    headers = [f"Idempotency-Key: key-{request_id}"] if kind is RequestKind.BOOK else []
    return request(
        f"/{kind}/x",
        *headers,
        method="POST",
        body=b"body of the request",
        request_id=request_id,
        deadline_ms=deadline_ms,
    )


class Clients:
    """Clients that send requests on idle connections, and open a new connection when all are busy."""

    def __init__(self, records: Records) -> None:
        self.open_connections = 0
        self.may_connect = True
        self._port = 0
        self._records = records
        self._idle: list[Connection] = []
        self._flood_writers: list[asyncio.StreamWriter] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._request_count = 0

    def run_in_background(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a background task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait(self, timeout_s: float) -> None:
        """Wait until all background tasks are done, or until the timeout."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)

    def set_balancer_port(self, port: int) -> None:
        """Set the port of the balancer to connect to."""
        self._port = port

    def stop_connecting(self) -> None:
        """Open no more connections from now on, as the platform sends new ones elsewhere."""
        self.may_connect = False

    async def send(self, planned: PlannedRequest) -> None:
        """Send a request, and again on a new connection if the balancer may have closed the idle one."""
        first = await self._send_once(planned)
        if first is not None and self._raced_with_close(first):
            await self._send_once(planned, on_new_connection=True)

    def _raced_with_close(self, sent: ClientRequest) -> bool:
        ended_by_balancer = sent.disconnected_s is None and sent.status is None and sent.ended_s is not None
        return ended_by_balancer and not sent.on_new_connection and not sent.response_begun

    async def _send_once(
        self, planned: PlannedRequest, *, on_new_connection: bool = False
    ) -> ClientRequest | None:
        reused = self._idle.pop() if self._idle and not on_new_connection else None
        connection = reused or await self._connect()
        if connection is None:
            return None
        self._request_count += 1
        now_s = time.monotonic()
        sent = ClientRequest(
            id=f"{self._request_count:08x}",
            kind=planned.kind,
            sent_s=now_s,
            deadline_s=now_s + planned.deadline_ms / 1000,
            on_new_connection=reused is None,
        )
        self._records.requests.append(sent)
        self._records.log_event(f"client sends {sent.id} {planned.kind} {planned.deadline_ms} ms")
        connection.writer.write(format_request(sent.id, planned.kind, planned.deadline_ms))
        await self._read_and_record_response(connection, sent, planned)
        return sent

    async def _connect(self) -> Connection | None:
        if not self.may_connect:
            return None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = Connection(*await asyncio.open_connection(HOST, self._port))
        except (OSError, TimeoutError):
            return None
        self.open_connections += 1
        return connection

    async def _read_and_record_response(
        self, connection: Connection, sent: ClientRequest, planned: PlannedRequest
    ) -> None:
        wait_s = sent.deadline_s + LATE_RESPONSE_WAIT_S - time.monotonic()
        if planned.disconnect_after_s is not None:
            wait_s = planned.disconnect_after_s
        response: ReceivedMessage | None = None
        try:
            async with asyncio.timeout(wait_s):
                response = await read_message(connection.reader)
        except TimeoutError:
            self._records.log_event(f"client of {sent.id} disconnects")
            sent.record_disconnect(time.monotonic())
        except asyncio.IncompleteReadError as error:
            if error.partial or error.expected is not None:  # part of the head, or all of it, has arrived
                sent.record_response_start()
            sent.record_end(time.monotonic())
        except OSError:
            sent.record_end(time.monotonic())
        if response is None:
            self._records.log_event(f"{sent.id} ends without a response")
            self._close(connection)
            return
        sent.record_response(response.status, response.body.decode(), time.monotonic())
        self._records.log_event(f"{sent.id} answered {response.status}")
        if response.headers.get("connection") == "close":
            self._close(connection)
        else:
            self._idle.append(connection)

    def _close(self, connection: Connection) -> None:
        self.open_connections -= 1
        connection.writer.close()

    async def connect_bad_client(self, kind: BadClientKind) -> None:
        """Connect, send the bytes of this kind of bad client, and wait for an error or a close."""
        connection = await self._connect()
        if connection is None:
            return
        bad_client = BadClient(kind, time.monotonic())
        self._records.bad_clients.append(bad_client)
        connection.writer.write(BAD_REQUESTS[kind])
        try:
            async with asyncio.timeout(BAD_CLIENT_WAIT_S):
                await connection.reader.read(1)
        except TimeoutError:
            self._records.log_event(f"bad client ({kind}) got neither an error nor a close")
        except OSError:
            bad_client.record_end(time.monotonic())
        else:
            bad_client.record_end(time.monotonic())
        self._close(connection)

    async def open_connection_flood(self, connections: int) -> None:
        """Try to open this many connections, rounded up to whole batches, and leave them idle."""
        for _ in range(0, connections, FLOOD_BATCH_SIZE):
            opened = await asyncio.gather(*(self._connect() for _ in range(FLOOD_BATCH_SIZE)))
            self._flood_writers += [connection.writer for connection in opened if connection is not None]

    def close(self) -> None:
        """Close all idle connections."""
        for writer in [*self._flood_writers, *(connection.writer for connection in self._idle)]:
            writer.close()
