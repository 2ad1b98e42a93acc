"""Stand-ins for clients, upstreams and discovery, and the balancers that a case starts.

Only the standard library is used.

A case imports this module, describes its deployment, plays its requests, and ends with `run_case`. All
addresses are loopback addresses with free ports.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
OK = 200
REFUSALS = (429, 503)
NS_PER_MS = 1_000_000
READY_WITHIN_S = 15.0
END_OF_HEAD = b"\r\n\r\n"
LATE_ANSWER_S = 0.5  # an answer up to this long after its time only earns nothing
SOCKET_SLACK_S = 0.05  # every time limit is this much longer on sockets


class CaseError(Exception):
    """The case could not be run."""


def trouble() -> bool:
    """Return whether the disruption is played: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes `record.txt` beside the case's script: what was sent, answered and run, with seconds."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start_s = time.monotonic()
        self.broken: list[str] = []
        """One sentence for each time that the rule was broken."""

    def write(self, line: str) -> None:
        """Write a line with the time since the start of the case."""
        self._file.write(f"{time.monotonic() - self._start_s:9.4f} {line}\n")

    def break_rule(self, sentence: str) -> None:
        """Record that the rule was broken."""
        self.broken.append(sentence)
        self.write(f"RULE BROKEN: {sentence}")

    def close(self) -> None:
        """Write what is still buffered."""
        self._file.close()


@dataclass
class Message:
    """A request or an answer; header names are in lower case."""

    start_line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start_line.split()[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start_line.split()[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a Content-Length, or is empty."""
    head = (await reader.readuntil(END_OF_HEAD)).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(head[0], headers, body)


def answer(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return an answer with its Content-Length."""
    lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


Responder = Callable[["Upstream", Message, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class Upstream:
    """An upstream that serves each request after some time; `respond` and `respond_to_probe` replace that."""

    number: int
    record: Record
    zone: str
    service_s: float = 0.01
    respond: Responder | None = None
    respond_to_probe: Responder | None = None
    accepts_probes: bool = False
    port: int = 0
    health: str = "up"
    ran: dict[str, int] = field(default_factory=dict)
    """How often each request came whole, by its id."""
    _server: asyncio.Server | None = None

    @property
    def host(self) -> str:
        """The name in discovery's list."""
        return f"s-{self.number}"

    def entry(self) -> dict[str, object]:
        """Return the entry in discovery's list."""
        return {
            "host": self.host,
            "dial": f"{HOST}:{self.port}",
            "site": self.zone,
            "class": "std",
            "block": 0,
            "health": self.health,
            "share": 1.0,
            "born_ms": 0,
        }

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while not writer.is_closing():
                await self._answer(await read_message(reader), writer)
        writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers.get("req-id")
        if request_id is None:
            if not self.accepts_probes:
                writer.write(answer(404))
            elif self.respond_to_probe is not None:
                await self.respond_to_probe(self, request, writer)
            else:
                writer.write(answer(OK, self.load_report()))
            return
        self.ran[request_id] = self.ran.get(request_id, 0) + 1
        self.record.write(f"upstream {self.host} begins {request_id} {request.target}")
        if self.respond is not None:
            await self.respond(self, request, writer)
            return
        await asyncio.sleep(self.service_s)
        writer.write(answer(OK, self.body_for(request), f"Srv-Load: {self.load_report().decode()}"))

    def body_for(self, request: Message) -> bytes:
        """Return the body of the answer to a request; no other request has the same."""
        return f"answer of {self.host} to {request.headers['req-id']}".encode()

    def load_report(self) -> bytes:
        """Return a load report."""
        return json.dumps({"inflight": 0, "latency_ms": 10.0}).encode()


class Discovery:
    """Discovery as the protocol page has it: the whole list, and a watch that waits for the next change."""

    def __init__(self, record: Record, upstreams: list[Upstream]) -> None:
        self.version = 1
        self.port = 0
        self._record = record
        self._upstreams = upstreams
        self._changed_in: dict[str, int] = {}
        self._change = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def whole_list(self) -> dict[str, object]:
        """Return the whole list."""
        return {"seq": self.version, "whole": True, "hosts": [up.entry() for up in self._upstreams]}

    def change(self, upstream: Upstream, health: str) -> None:
        """Change the health of an upstream."""
        upstream.health = health
        self.version += 1
        self._changed_in[upstream.host] = self.version
        self._record.write(f"discovery: {upstream.host} is {health} in version {self.version}")
        self._change.set()
        self._change = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while not writer.is_closing():
                request = await read_message(reader)
                writer.write(answer(OK, json.dumps(await self._list_for(request)).encode()))
        writer.close()

    async def _list_for(self, request: Message) -> dict[str, object]:
        query = request.target.partition("?")[2]
        values = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        if "after" not in values:
            return self.whole_list()
        after = int(values["after"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(values.get("wait_ms", "0")) / 1000):
                while self.version <= after:
                    await self._change.wait()
        hosts = [up.entry() for up in self._upstreams if self._changed_in.get(up.host, 0) > after]
        return {"seq": self.version, "whole": False, "hosts": hosts}


def settings(*, balancers: int = 1, me: int = 0) -> dict[str, object]:
    """Return the settings of almaty-north, as in the operators' example; some keys are left out."""
    return {
        "clients": {"marks_retry": True},
        "counted_by": "request",
        "family": "proxy",
        "kinds": ["std", "std-slow"],
        "limits": {
            "conn_idle_ns": 60_000 * NS_PER_MS,
            "connect_timeout_ns": 200 * NS_PER_MS,
            "cpu_us_per_s": 800_000,
            "max_open": 20_000,
            "max_retry_after_ns": 1000 * NS_PER_MS,
            "max_streams": 100,
            "may_cancel": True,
            "peers": False,
            "probes": True,
            "retry_after": True,
            "second_copies": False,
            "send_cap": 5,
        },
        "load_report": {"columns": ["inflight", "latency_ms"], "how": "answers"},
        "locality": "alm-1",
        "me": me,
        "prices": {"connection": 0.03, "cross_zone": 0.025, "handshake": 0.03, "probe": 0.01, "waste": 0.29},
        "profiles": [
            {
                "name": "reading",
                "repeat": "non_idempotent",
                "aim_ns": 400 * NS_PER_MS,
                "hard_limit_ns": 800 * NS_PER_MS,
                "late_worth": 0.2,
                "worth": 5.0,
            },
            {
                "name": "tariff-switch",
                "repeat": "idempotency_key",
                "dedup_scope": "zone",
                "window_ns": 1200 * NS_PER_MS,
                "aim_ns": 400 * NS_PER_MS,
                "hard_limit_ns": 2000 * NS_PER_MS,
                "late_worth": 0.2,
                "worth": 15.0,
            },
        ],
        "realms": [
            {"name": "steppe-energo", "quota_per_s": 242.0, "share": 0.75},
            {"name": "irtysh-heat", "quota_per_s": 81.0, "share": 0.25},
        ],
        "registry_mode": "ask",
        "replicas_of_me": balancers,
        "rules": {
            "ask_within_ns": 10_000 * NS_PER_MS,
            "cold_from": 0.3,
            "cold_ns": 8800 * NS_PER_MS,
            "fall_multiple": 2.5,
            "grace_to_answer_ns": 20 * NS_PER_MS,
            "overload_for_ns": 1000 * NS_PER_MS,
            "stop_sending_within_ns": 250 * NS_PER_MS,
        },
        "tick_ns": 5 * NS_PER_MS,
        "weight_source": "rough",
        "zones": ["alm-1", "alm-2", "ast-1", "ast-2"],
    }


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Balancer:
    """One balancer process, started with `run` of the deploy file."""

    def __init__(self, name: str, record: Record, folder: Path, config: dict[str, object]) -> None:
        self.port = free_port()
        self.name = name
        self.config: dict[str, object] = {"name": name, "listen": f"{HOST}:{self.port}", **config}
        self._record = record
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, and wait until it is ready."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        config_path = self._folder / f"{self.name}.json"
        config_path.write_text(json.dumps(self.config), encoding="utf-8")
        temporary = self._folder / f"{self.name}.tmp"
        temporary.mkdir(exist_ok=True)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                deploy["run"],
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "TMPDIR": str(temporary),
                    "RELAY_NAME": self.name,
                    "RELAY_LISTEN": str(self.config["listen"]),
                    "RELAY_DISCOVERY": str(self.config["discovery"]),
                    "RELAY_CONFIG": str(config_path),
                },
            )
        self._record.write(f"{self.name} started on port {self.port}")
        deadline_s = time.monotonic() + READY_WITHIN_S
        while not await self._is_ready():
            if time.monotonic() > deadline_s or self._process.returncode is not None:
                raise CaseError(f"{self.name} did not become ready:\n{self.log()}")
            await asyncio.sleep(0.05)
        self._record.write(f"{self.name} is ready")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
        except OSError:
            return False
        writer.write(b"GET /health/ready HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n")
        try:
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()

    @property
    def pid(self) -> int:
        """The id of the process."""
        assert self._process is not None
        return self._process.pid

    @property
    def exit_status(self) -> int | None:
        """The exit status; None while the process runs."""
        return None if self._process is None else self._process.returncode

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that `run` started."""
        self._record.write(f"{self.name} gets {number.name}")
        os.kill(self.pid, number)

    def log(self) -> str:
        """Return what the process has logged."""
        return (self._folder / f"{self.name}.log").read_text(encoding="utf-8", errors="replace")

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self._process is None:
            return
        if self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()
        for line in self.log().splitlines()[:200]:
            self._record.write(f"log of {self.name}: {line}")


@dataclass
class Outcome:
    """What a client saw of one request."""

    id: str
    status: int = 0
    """The status of the answer; 0 if no whole answer came."""
    body: bytes = b""
    how: str = ""
    """How it ended without an answer."""
    answered_after_s: float = 0.0


class Client:
    """Clients of one balancer: they keep their connections, and open more when all are busy."""

    _numbers = itertools.count(1)

    def __init__(self, record: Record, balancer: Balancer) -> None:
        self._record = record
        self._balancer = balancer
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send(
        self, class_name: str, *, deadline_s: float, keyed: bool = False, get: bool = False
    ) -> Outcome:
        """Send a request and wait for its answer; once more on a new connection if a close crossed it."""
        reused = bool(self._idle)
        outcome = await self._send_once(class_name, deadline_s=deadline_s, keyed=keyed, get=get)
        if reused and outcome.how == "closed before the first byte":
            self._idle.clear()
            outcome = await self._send_once(class_name, deadline_s=deadline_s, keyed=keyed, get=get)
        return outcome

    async def _send_once(self, class_name: str, *, deadline_s: float, keyed: bool, get: bool) -> Outcome:
        outcome = Outcome(f"{next(self._numbers):012x}")
        try:
            reader, writer = (
                self._idle.pop() if self._idle else await asyncio.open_connection(HOST, self._balancer.port)
            )
        except OSError as error:
            outcome.how = f"no connection: {error}"
            return outcome
        lines = [
            f"{'GET' if get else 'POST'} /{class_name} HTTP/1.1",
            "Host: service.internal",
            f"Req-Id: {outcome.id}",
            "Req-Owner: steppe-energo",
            f"Req-Deadline-Ms: {int(deadline_s * 1000)}",
        ]
        if keyed:
            lines.append(f"Idempotency-Key: key-{outcome.id}")
        body = b"" if get else b"body of the request"
        if body:
            lines.append(f"Content-Length: {len(body)}")
        sent_s = time.monotonic()
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        self._record.write(f"client sends {outcome.id} {class_name} to {self._balancer.name}")
        try:
            async with asyncio.timeout(deadline_s + LATE_ANSWER_S + SOCKET_SLACK_S):
                received = await read_message(reader)
        except TimeoutError:
            outcome.how = "no answer"
        except asyncio.IncompleteReadError as error:
            outcome.how = "cut" if error.partial or error.expected else "closed before the first byte"
        except OSError as error:
            outcome.how = f"reset: {error}"
        else:
            outcome.status, outcome.body = received.status, received.body
        outcome.answered_after_s = time.monotonic() - sent_s
        self._record.write(f"client got {outcome.id} {outcome.status or outcome.how} {outcome.body[:80]!r}")
        if outcome.status and received.headers.get("connection", "").lower() != "close":
            self._idle.append((reader, writer))
        else:
            writer.close()
        return outcome

    def close(self) -> None:
        """Close the kept connections."""
        for _, writer in self._idle:
            writer.close()
        self._idle.clear()


def run_case(folder: Path, play: Callable[[Record, Path], Awaitable[None]]) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not be run.

    Args:
        folder: The folder of the case, for `record.txt`.
        play: Plays the case in a temporary folder, and records each break of the rule.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # ends the processes on the way out
    record = Record(folder)
    record.write(f"trouble: {'on' if trouble() else 'off'}")
    status = NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as temporary:
            asyncio.run(play(record, Path(temporary)))
        status = BROKEN if record.broken else HELD
        print(f"{len(record.broken)} breaks of the rule")
        for sentence in record.broken[:5]:
            print(f"  {sentence}")
    except Exception as error:  # noqa: BLE001 - whatever goes wrong in a case itself, it did not run
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        record.write(f"exit status {status}")
        record.close()
    sys.exit(status)
