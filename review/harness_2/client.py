"""A stand-in for clients: keeps connections, sends one request at a time on each."""

from __future__ import annotations

import asyncio
import contextlib
import uuid
from dataclasses import dataclass

from harness_2.http import BrokenMessageError, Message, format_request, read_message
from harness_2.record import Record
from harness_2.servers import HOST

LOST_AFTER_S = 0.5  # an answer later than this after the request's time is lost


@dataclass
class Outcome:
    """What a client saw of one request."""

    request_id: str
    sent_s: float
    ended_s: float
    answer: Message | None  # None: the connection ended, or no answer came in time
    error: str = ""

    @property
    def status(self) -> int:
        """The status of the answer; 0 without one."""
        return 0 if self.answer is None else self.answer.status


class Client:
    """Sends requests to one balancer on kept connections, and opens more when all are busy."""

    def __init__(self, record: Record, port: int) -> None:
        """Begin without a connection."""
        self._record = record
        self._port = port
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send(
        self,
        method: str,
        path: str,
        deadline_ms: int,
        key: str = "",
        body: bytes = b"",
        more: dict[str, str] | None = None,
    ) -> Outcome:
        """Send a request with a new id, and wait for its answer until half a second after its time."""
        request_id = uuid.uuid4().hex[:16]
        headers = {
            "Req-Id": request_id,
            "Req-Owner": "steppe-energo",
            "Cookie": "user=7f3a9c21e0b4d655",
            "Req-Deadline-Ms": str(deadline_ms),
        }
        if key:
            headers["Idempotency-Key"] = key
        headers |= more or {}
        data = format_request(method, path, headers, body)
        sent_s = self._record.now()
        self._record.write(f"client sends {method} {path} id={request_id} key={key}")
        answer, error = None, ""
        try:
            async with asyncio.timeout(deadline_ms / 1000 + LOST_AFTER_S):
                answer = await self._exchange(data)
        except TimeoutError:
            error = "no answer in time"
        except (BrokenMessageError, ConnectionError) as caught:
            error = repr(caught)
        outcome = Outcome(request_id, sent_s, self._record.now(), answer, error)
        body_text = b"" if answer is None else answer.body[:90]
        self._record.write(f"client gets {outcome.status} {body_text!r} {error} id={request_id}")
        return outcome

    async def _exchange(self, data: bytes) -> Message:
        """Send on an idle connection, and once more on a new one if that was closed between requests."""
        while self._idle:
            reader, writer = self._idle.pop()
            if reader.at_eof() or writer.is_closing():
                writer.close()
                continue
            with contextlib.suppress(ConnectionError):  # closed between requests: it is sent once more
                answer = await self._exchange_on(reader, writer, data)
                if answer is not None:
                    return answer
        reader, writer = await asyncio.open_connection(HOST, self._port)
        answer = await self._exchange_on(reader, writer, data)
        if answer is None:
            raise BrokenMessageError("closed without an answer on a new connection")
        return answer

    async def _exchange_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes
    ) -> Message | None:
        kept = False
        try:
            writer.write(data)
            answer = await read_message(reader)
            kept = answer is not None and not answer.closes
        finally:
            if kept:
                self._idle.append((reader, writer))
            else:
                writer.close()
        return answer

    def close(self) -> None:
        """Close the idle connections."""
        for _, writer in self._idle:
            with contextlib.suppress(ConnectionError):
                writer.close()
        self._idle.clear()
