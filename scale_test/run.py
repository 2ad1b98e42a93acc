"""One run: starts the parts, takes them through its phases, gathers the figures, ends all."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Iterable, Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any

import orjson
import psutil

from scale_test import report
from scale_test.child_process import ROOT, Process, helper
from scale_test.plan import MB, Plan, PlanError, memory_limit, zone_name
from scale_test.report import Row, row

AT_ONCE = 4  # balancers that start side by side: they share the machine
LOOK_S = 0.25  # how often memory is looked at
READY_LOOK_S = 0.02
WARM_S = 1.0  # of traffic before it counts
WHOLE_PAUSE_S, ROWS_A_SECOND = 1.0, 80_000  # after a whole list has been read, until it is in force
HEARD_S = 8.0  # what discovery has to tell counts as told after 6 s at the latest
WHOLE_PATIENCE_S = 30.0  # until the call that follows a whole list
SECOND = 1_000_000_000


def settings(plan: Plan, me: int, zone: str) -> dict[str, Any]:
    ms = 1_000_000
    return {
        "me": me,
        "replicas_of_me": plan.replicas_told,
        "locality": zone,
        "zones": [zone_name(i) for i in range(plan.zones)],
        "registry_mode": plan.mode,
        "weight_source": "none",
        "realms": [{"name": "ash", "share": 1.0}],
        "profiles": [
            {
                "name": "reading",
                "repeat": "read_like",
                "aim_ns": 400 * ms,
                "worth": 1.0,
                "late_worth": 0.2,
                "hard_limit_ns": 2000 * ms,
            }
        ],
        "limits": {
            "send_cap": 3,
            "may_cancel": True,
            "retry_after": True,
            "conn_idle_ns": 60_000 * ms,
            "connect_timeout_ns": 200 * ms,
        },
        "rules": {"ask_within_ns": 10_000 * ms, "stop_sending_within_ns": 250 * ms, "cold_ns": 8000 * ms},
        "prices": {"connection": 0.03, "cross_zone": 0.025},
    }


def address_of(number: int) -> tuple[str, int]:
    """A free port on a loopback address of its own."""
    host = f"127.8.{number // 250}.{number % 250 + 1}"
    with socket.socket() as s:
        s.bind((host, 0))
        return host, int(s.getsockname()[1])


async def is_ready(address: tuple[str, int]) -> bool:
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    try:
        writer.write(b"GET /health/ready HTTP/1.1\r\nHost: scale\r\nConnection: close\r\n\r\n")
        return b" 200 " in await reader.readline()
    except OSError:
        return False
    finally:
        writer.close()


class Run:
    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.processes: list[Process] = []
        self.real: list[Process] = []
        self.hollow: list[Process] = []
        self.share = (
            [len(range(i, plan.hollow, plan.hollow_processes)) for i in range(plan.hollow_processes)]
            if plan.hollow
            else []
        )  # hollow ones in each process
        self.empty: list[int] = []  # bytes of those processes before they held any
        self.callers: list[tuple[str, int]] = []  # discovery's addresses: real ones first
        self.addresses = [address_of(i) for i in range(plan.real)]
        self.rows: list[Row] = []
        self.notes: list[str] = []
        self.spans: dict[str, tuple[int, int]] = {}
        self.seats = asyncio.Semaphore(AT_ONCE)

    # -- processes --

    async def helper(self, role: str, name: str) -> Process:
        process = await helper(role, name, self.folder)
        self.processes.append(process)
        return process

    async def look(self) -> None:
        """Ends the run when it needs too much memory, or when a process has ended."""
        while True:
            used = 0
            for process in self.processes:
                try:
                    used += psutil.Process(process.pid).memory_info().rss
                except psutil.NoSuchProcess:
                    raise process.ended() from None
                if process.process.returncode is not None:
                    raise process.ended()
            if used > memory_limit():
                raise PlanError(
                    f"{used // MB} MB of memory used, but at most {memory_limit() // MB} MB may be"
                )
            await asyncio.sleep(LOOK_S)

    async def start(self) -> None:
        plan = self.plan
        upstreams = await self.helper("load", "upstreams")
        self.discovery = await self.helper("discovery", "discovery")
        known = self.folder / "known.json"
        dials = await upstreams.ask("upstreams")
        self.callers = await self.discovery.ask("start", plan=asdict(plan), dials=dials, known=str(known))
        self.known = known.read_bytes()
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        build = await Process.start("build", self.folder, "/bin/sh", "-c", deploy["build"])
        try:
            if await build.process.wait():
                raise build.ended()
        finally:
            await build.kill()
        async with asyncio.timeout(plan.patience):
            real = await asyncio.gather(*(self.start_real(i, deploy["run"]) for i in range(plan.real)))
            hollow = await asyncio.gather(*(self.start_hollow(i) for i in range(len(self.share))))
        self.real, self.hollow = [r[0] for r in real], [h[0] for h in hollow]
        self.empty = [h[1] for h in hollow]
        self.add("time to ready", "start", "real", "s", [took for _, took in real])
        self.add("time to ready", "start", "hollow", "s", [ns / SECOND for h in hollow for ns in h[2]])

    def config(self, i: int) -> dict[str, Any]:
        plan = self.plan
        me = i * plan.replicas_told // plan.balancers
        return {
            "name": f"n{me}",
            "discovery": "{}:{}".format(*self.callers[i]),
            "seed": f"{plan.seed}-{i}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(plan, me, zone_name(i % plan.zones)),
        }

    def write(self, name: str, config: dict[str, Any]) -> Path:
        path = self.folder / f"{name}.json"
        path.write_bytes(orjson.dumps(config)[:-1] + b',"known":%b}' % self.known)
        return path

    async def start_real(self, i: int, run: str) -> tuple[Process, float]:
        """Start one as the platform does; the seconds until it said that it is ready."""
        async with self.seats:
            address, config = self.addresses[i], self.config(i)
            listen = "{}:{}".format(*address)
            path = self.write(f"real{i}", {**config, "listen": listen})
            begun = time.monotonic()
            process = await Process.start(
                f"real{i}",
                self.folder,
                "/bin/sh",
                "-c",
                run,
                RELAY_NAME=config["name"],
                RELAY_LISTEN=listen,
                RELAY_DISCOVERY=config["discovery"],
                RELAY_CONFIG=str(path),
            )
            self.processes.append(process)
            while not await is_ready(address):
                await asyncio.sleep(READY_LOOK_S)
            path.unlink()
            return process, time.monotonic() - begun

    async def start_hollow(self, number: int) -> tuple[Process, int, list[int]]:
        """Start one process of them; its bytes before it held any, and the nanoseconds that each took."""
        async with self.seats:
            plan = self.plan
            process = await self.helper("hollow", f"hollow{number}")
            nodes = []
            for i in range(plan.real + number, plan.balancers, plan.hollow_processes):
                told = self.config(i)
                nodes.append(
                    {
                        "name": told["name"],
                        "discovery": self.callers[i],
                        "seed": plan.seed + i,
                        "me": told["settings"]["me"],
                        "zone": told["settings"]["locality"],
                    }
                )
            path = self.write(f"hollow{number}", {**self.config(plan.real + number), "listen": "127.0.0.1:0"})
            await process.ask("start", config=str(path), nodes=[])
            empty = psutil.Process(process.pid).memory_info().rss
            took = await process.ask("start", config=str(path), nodes=nodes)
            path.unlink()
            return process, empty, took

    # -- figures --

    def spent(self) -> dict[str, list[float]]:
        """Processor seconds of each balancer so far."""

        def of(process: Process) -> float:
            times = psutil.Process(process.pid).cpu_times()
            return times.user + times.system

        loaded = self.loaded
        return {
            "real": [of(p) for p in self.real[loaded:]],
            "loaded": [of(p) for p in self.real[:loaded]],
            "hollow": [of(p) / n for p, n in zip(self.hollow, self.share, strict=True)],
            "discovery": [of(self.discovery)],
        }

    @property
    def loaded(self) -> int:
        """How many real ones have clients: the first, if there are requests to send."""
        return int(self.plan.requests > 0 and bool(self.real))

    def groups(self) -> dict[str, range]:
        """The balancers by their numbers."""
        return {
            "real": range(self.loaded, self.plan.real),
            "loaded": range(self.loaded),
            "hollow": range(self.plan.real, self.plan.balancers),
        }

    @contextlib.asynccontextmanager
    async def phase(self, name: str) -> AsyncIterator[None]:
        """Measure what goes on inside."""
        counts, spent, begun = await self.discovery.ask("counts"), self.spent(), time.monotonic_ns()
        yield
        ended, after, later = time.monotonic_ns(), self.spent(), await self.discovery.ask("counts")
        self.spans[name] = (begun, ended)
        seconds = (ended - begun) / SECOND
        for group, was in spent.items():
            self.add(
                "processor time a second",
                name,
                group,
                "ms",
                [(b - a) * 1000 / seconds for a, b in zip(was, after[group], strict=True)],
            )
        for at, figure in enumerate(("calls to", "bytes to", "bytes from")):
            for group, numbers in self.groups().items():
                self.add(
                    f"{figure} discovery a second",
                    name,
                    group,
                    "",
                    [(later[i][at] - counts[i][at]) / seconds for i in numbers],
                )

    def add(
        self, figure: str, phase: str, group: str, unit: str, values: Iterable[float | tuple[float, int]]
    ) -> None:
        self.rows.append(row(figure, phase, group, unit, values))

    def memory(self) -> None:
        def figures(process: Process) -> tuple[float, ...]:
            peak = next(
                line
                for line in Path(f"/proc/{process.pid}/status").read_text().splitlines()
                if line.startswith("VmHWM:")
            )
            return psutil.Process(process.pid).memory_info().rss / MB, int(peak.split()[1]) * 1024 / MB

        real = [figures(p) for p in self.real]
        hollow = [
            tuple((f - e / MB) / n for f in figures(p))
            for p, n, e in zip(self.hollow, self.share, self.empty, strict=True)
        ]
        for at, figure in enumerate(("memory now", "memory peak")):
            for group, seen in {
                "real": real[self.loaded :],
                "loaded": real[: self.loaded],
                "hollow": hollow,
            }.items():
                self.add(figure, "end", group, "MB", [f[at] for f in seen])

    def lists(self, told: dict[str, Any], seen: list[dict[str, Any]]) -> None:
        """How fast changes were in force."""
        begun, ended = self.spans["course"]
        versions = [v for v in report.made(told) if v.at_ns <= ended]
        self.notes.append(f"{sum(v.rows for v in versions)} changes in {len(versions)} versions")
        for group, numbers in self.groups().items():
            callers = [told["callers"][i] for i in numbers]
            found = [report.by_calls(versions, c) for c in callers]
            wholes = [[w for w in c["wholes"] if w[0] >= begun and len(w) == 4] for c in callers]
            self.add("in force, by next call", "course", group, "ms", [took for f in found for took in f[0]])
            self.add("changes never in force", "course", group, "", [f[1] for f in found])
            if told["cuts"]:
                self.add("calls refused by discovery", "course", group, "", [c["refused"] for c in callers])
            self.add(
                "whole list read",
                "all",
                group,
                "ms",
                [(w[2] - w[0]) / report.MS for many in wholes for w in many if w[3]],
            )
            self.add(
                "whole lists turned down", "all", group, "", [sum(not w[3] for w in many) for many in wholes]
            )
        self.add(
            "in force, by module",
            "course",
            "hollow",
            "ms",
            [took for module in seen for took in report.by_module(versions, module)],
        )
        self.add(
            "whole list in force",
            "all",
            "hollow",
            "ms",
            [took / report.MS for took, _ in self.in_force(told, seen)],
        )
        # A zone's rows or a whole list come in one answer: what one row takes is told by single changes.
        self.add(
            "module's part of a single change",
            "course",
            "hollow",
            "ms",
            [
                (done - at) / report.MS
                for module in seen
                for at, done, rows in module["changes"]
                if begun <= at <= ended and rows == 1
            ],
        )
        self.add(
            "module's part of that",
            "course",
            "hollow",
            "ms",
            [
                (done - at) / report.MS
                for module in seen
                for at, done, _ in module["changes"]
                if begun <= at <= ended
            ],
        )

    def in_force(self, told: dict[str, Any], seen: list[dict[str, Any]]) -> list[tuple[int, int]]:
        return [
            w
            for i, module in zip(self.groups()["hollow"], seen, strict=True)
            for w in report.wholes_in_force(told["callers"][i], module)
        ]

    def requests(self, samples: Sequence[Sequence[int]], told: dict[str, Any], tail_ns: int) -> None:
        """What the loaded balancer added to a request, and to those open while it read a whole list."""
        wholes = [w for w in told["callers"][0]["wholes"] if w[0] > self.spans["course"][1]]
        for phase, windows in {
            **{name: [span] for name, span in self.spans.items()},
            "whole list": report.whole_windows(wholes, tail_ns),
        }.items():
            added, unserved = report.added(samples, windows)
            self.add("time added to a request", phase, "loaded", "ms", added)
            self.add("requests not served", phase, "loaded", "", [unserved])

    # -- the run --

    async def play(self) -> None:
        plan = self.plan
        await self.start()
        if not await self.discovery.ask("settled", patience=plan.patience):
            raise PlanError(f"not all balancers have called discovery within {plan.patience:g} s")
        clients = None
        if self.loaded:
            clients = await self.helper("load", "clients")
            await clients.ask("clients", address=self.addresses[0], rate=plan.requests, seed=plan.seed)
            await asyncio.sleep(min(WARM_S, plan.quiet))
        async with self.phase("quiet"):
            await asyncio.sleep(plan.quiet)
        async with self.phase("course"):
            await self.discovery.ask("course")
        heard_s = min(plan.patience, max(plan.duration, HEARD_S))
        settled = await self.discovery.ask("settled", patience=heard_s)
        if not settled:
            self.notes.append("some balancers had not the newest list when the run ended")
        # A hollow one tells when it is in force: a real one's next call follows its reading alone.
        told_whole = [*range(self.loaded), *(range(plan.real, plan.balancers) if self.loaded else ())[:1]]
        for _, number in itertools.product(range(plan.wholes), told_whole):
            patience = min(plan.patience, WHOLE_PATIENCE_S)
            if not await self.discovery.ask("whole", number=number, patience=patience):
                self.notes.append(f"balancer {number} could not be told a whole list")
                break
            await asyncio.sleep(min(WHOLE_PAUSE_S + plan.upstreams / ROWS_A_SECOND, plan.quiet))
        self.memory()
        told = await self.discovery.ask("report")
        seen: list[Any] = [None] * plan.hollow
        for number, process in enumerate(self.hollow):
            seen[number :: plan.hollow_processes] = await process.ask("report")
        self.lists(told, seen)
        if clients is not None:
            tail_ns = max((after for _, after in self.in_force(told, seen)), default=0)
            self.requests(await clients.ask("report"), told, tail_ns)

    async def whole(self) -> None:
        """Play it, and end it early where something goes wrong; no process is left."""
        looking, playing = asyncio.create_task(self.look()), asyncio.create_task(self.play())
        try:
            done, _ = await asyncio.wait({looking, playing}, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        except TimeoutError:
            raise PlanError(f"not all balancers were ready within {self.plan.patience:g} s") from None
        finally:
            for task in (looking, playing):
                task.cancel()
            await asyncio.gather(looking, playing, return_exceptions=True)
            await asyncio.gather(*(p.kill() for p in self.processes))


async def run(plan: Plan) -> tuple[list[Row], list[str]]:
    """The rows of its report, and notes to them."""
    with tempfile.TemporaryDirectory(prefix="scale-") as folder:
        one = Run(plan, Path(folder))
        await one.whole()
        return [r for r in one.rows if r.count], one.notes
