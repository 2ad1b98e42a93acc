"""Slopes: what one more upstream, tenant, route, service, request or connection costs a balancer.

    python -m scale_test.slopes [SUBJECT ...] [--json FILE]

A subject is measured at several sizes: processor time (names end in _s; those with `wall` are on the wall
clock), bytes (_b), counts. The first subjects play the decision module and the list reader alone, in this
process; those from `process` on start a real balancer by the deploy file's `run`, with stand-ins on loopback.
"""

from __future__ import annotations

import asyncio
import gc
import itertools
import json
import math
import os
import statistics
import subprocess
import tempfile
import time
import tomllib
import tracemalloc
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any, TypeVar

import click
import orjson

from loadbalancer.messages import (
    Action,
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Forward,
    RequestArrived,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.proxy.endpoint_list_reader import EndpointListReader
from loadbalancer.settings import read_settings

S, HOST, SERVICE = 10**9, "127.0.0.1", 23  # ns a second; loopback; upstreams a service: 160,000 in 7,000
QUIET_S = 4.0  # for which a real balancer is watched with nothing to do
ROOT = Path(__file__).parent.parent
ZONES = [f"r{r}-z{z}" for r in range(4) for z in range(10)]
Figures = dict[str, float]
Json = dict[str, Any]
T = TypeVar("T")
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def row(i: int, kinds: int = 1, dial: str = "", **more: object) -> Json:
    """A line of discovery's list."""
    return {
        "host": f"s-{i:08x}",
        "dial": dial or f"10.{i >> 16 & 255}.{i >> 8 & 255}.{i & 255}:3000",
        "site": ZONES[i % 40],
        "class": f"m{i % kinds}",
        "block": i // 100,
        "health": "up",
        "share": 1.0,
        "born_ms": 0,
        **more,
    }


def listed(rows: Sequence[Json], seq: int = 1, whole: bool = True) -> Json:
    return {"seq": seq, "whole": whole, "hosts": list(rows)}


def raw_settings(tenants: int = 2, routes: int = 1, placed: bool = False) -> Json:
    """The settings as the configuration file has them."""
    classes = [
        {
            "name": f"c{i}",
            "repeat": "read_like",
            "aim_ns": S // 2,
            **({"allowed_on": [f"m{i}"]} if placed else {}),
        }
        for i in range(routes)
    ]
    return {
        "me": 7,
        "replicas_of_me": 8800,
        "locality": ZONES[0],
        "zones": ZONES,
        "profiles": classes,
        "realms": [{"name": f"t{i}", "share": 1 / tenants, "quota_per_s": 1.0} for i in range(tenants)],
        "prices": {"connection": 0.03, "cross_zone": 0.02},
        "limits": {"send_cap": 2},
    }


def read_list(text: bytes, reader: Any = None) -> tuple[Any, list[Endpoint]]:
    """All that is used of the list reader: the reader (kept, as a balancer keeps it), and what it gave."""
    reader = reader or EndpointListReader(0)
    return reader, [e.endpoint for e in reader.read(text).entries]


def spent(do: Callable[[], T], times: int = 1) -> tuple[float, T]:
    """The median processor time of so many runs, and what the last one gave."""
    taken = []
    for _ in range(times):
        begin = time.process_time()
        made = do()
        taken.append(time.process_time() - begin)
    return statistics.median(taken), made


def kept(make: Callable[[], T], name: str, undo: Callable[[T], object] = id) -> tuple[T, Figures]:
    """Processor time of making a thing; in a second run the memory and objects that stay, and the peak."""
    gc.collect()
    seconds, made = spent(make)
    undo(made)
    del made
    gc.collect()
    before = len(gc.get_objects())
    tracemalloc.start()
    made = make()
    gc.collect()
    memory, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return made, {
        f"{name}_s": seconds,
        "memory_b": memory,
        "peak_b": peak,
        "objects": len(gc.get_objects()) - before,
    }


class Clock:
    """A balancer and its clock: what is asked of it, and what that takes."""

    def __init__(self, balancer: Balancer) -> None:
        self.balancer, self.now, self.count = balancer, S, 0

    def give(self, *events: Event, later_ns: int = 10**6) -> list[Action]:
        self.now += later_ns
        return self.balancer.handle(self.now, events)

    def ask(self, cls: str = "c0", tenant: str = "t0", later_ns: int = 10**4) -> Forward | None:
        self.count += 1
        arrival = RequestArrived(str(self.count), cls, tenant, self.now + 60 * S)
        return next((a for a in self.give(arrival, later_ns=later_ns) if isinstance(a, Forward)), None)

    def end(self, send: Forward | None) -> list[Action]:
        return (
            []
            if send is None
            else self.give(
                AttemptEnded(send.request_id, 0, send.endpoint_id, AttemptResult.OK, 10**7, True),
                later_ns=10**4,
            )
        )

    def request_s(self, turns: int = 40) -> float:
        """Of one request, its outcome included."""

        def serve() -> None:
            for i in range(turns):
                self.end(
                    self.ask(f"c{i}" if f"c{i}" in self.balancer.settings.request_classes else "c0", f"t{i}")
                )

        return spent(serve, 3)[0] / turns

    def looks(self, times: int = 6) -> Figures:
        """The half-second look: its mean, and the longest."""

        def look() -> float:
            end = self.now + S // 2
            while self.now < end - S // 50:  # some traffic, and all timers on time
                self.end(self.ask(tenant=f"t{self.count % 40}"))
                self.give(later_ns=S // 100)
            return spent(lambda: self.give(later_ns=end - self.now))[0]

        self.give(later_ns=S // 2)  # from here on, looks come each half second
        taken = [look() for _ in range(times)]
        return {"look_s": statistics.mean(taken), "look_top_s": max(taken)}

    def full(self, upstreams: Sequence[Endpoint]) -> Clock:
        self.give(EndpointUpdate(EndpointUpdateKind.FULL, upstreams))
        return self


def upstreams(n: int, routes: int = 1) -> Figures:
    """Upstreams in the list: reading it, taking it whole, one change, a zone's change, the look."""
    placed = routes > 1
    rows = [row(i, routes) for i in range(n)]
    text = orjson.dumps(listed(rows))
    settings = read_settings(raw_settings(2, routes, placed))
    read_s, (_, entries) = spent(lambda: read_list(text))
    take_s, _ = spent(lambda: Clock(Balancer(settings, 1, S)).full(entries))

    def whole() -> tuple[Any, Clock]:
        reader, entries = read_list(text)
        return reader, Clock(Balancer(settings, 1, S)).full(entries)

    (reader, clock), figures = kept(whole, "start")
    seq = itertools.count(2)

    def change(size: int) -> tuple[bytes, float]:
        number = next(seq)
        health = ("up", "draining")[number % 2 == 0]
        news = orjson.dumps(listed([{**r, "health": health} for r in rows[: size * 40 : 40]], number, False))
        return news, spent(
            lambda: clock.give(EndpointUpdate(EndpointUpdateKind.DELTA, read_list(news, reader)[1]))
        )[0]

    news = [change(1) for _ in range(4)]
    figures |= {
        "read_s": read_s,
        "take_s": take_s,
        "list_b": len(text),
        "change_b": len(news[0][0]),
        "change_s": statistics.median(s for _, s in news),
        **clock.looks(),
        "zone_s": change(max(1, n // 40))[1],
        "request_s": clock.request_s(),
    }
    return figures


def services(n: int) -> Figures:
    """Services of 23 upstreams each, told apart as today: a class and a kind of machine for each."""
    return upstreams(n * SERVICE, n)


def settings_of(raw: Json) -> Figures:
    text = orjson.dumps(raw)
    balancer, figures = kept(lambda: Balancer(read_settings(json.loads(text)), 1, S), "start")
    clock = Clock(balancer).full([Endpoint(i + 1) for i in range(10)])
    return figures | {"config_b": len(text), **clock.looks(), "request_s": clock.request_s()}


def tenants(n: int) -> Figures:
    """Tenants in the settings, of which 40 send: start, the look, a request."""
    return settings_of(raw_settings(tenants=n))


def routes(n: int) -> Figures:
    """Routes as classes with no placement: start, the look, a request."""
    return settings_of(raw_settings(routes=n))


def requests(n: int) -> Figures:
    """Open requests in the module, with four upstreams for each: its arrival, its end, a stall of 20 s."""
    raw = raw_settings() | {"replicas_of_me": 1, "zones": [], "prices": {}}
    raw["profiles"][0]["aim_ns"] = 60 * S
    settings = read_settings(raw)
    clock = Clock(Balancer(settings, 1, S)).full([Endpoint(i + 1) for i in range(4 * n)])
    sends, figures = kept(
        lambda: [clock.ask(later_ns=2 * 10**5) for _ in range(n)],
        "arrive",
        lambda sends: [clock.end(s) for s in sends],
    )
    figures |= {"arrive_s": figures["arrive_s"] / n, "open": sum(s is not None for s in sends)}
    end_s = spent(lambda: [clock.end(s) for s in sends[::2]])[0] / (n / 2)
    return figures | {"end_s": end_s, "stall_s": spent(lambda: clock.give(later_ns=20 * S))[0]}


# ---- a real balancer, its upstream and its discovery -----------------------------------------------------


class Stand:
    """Stands in for upstreams (all at one address) and for discovery, and counts what comes and goes."""

    def __init__(self, rows: Sequence[Json]) -> None:
        self.rows = {r["host"]: r for r in rows}
        self.seq, self.moved_b, self.answers, self.watches, self.connections = 1, 0, 0, 0, 0
        self.news: list[tuple[int, str]] = []
        self.changed = asyncio.Event()
        self.delay_s = 0.0

    def change(self, host: str, **more: object) -> None:
        self.seq += 1
        self.rows[host] |= more
        self.news.append((self.seq, host))
        self.changed.set()
        self.changed = asyncio.Event()

    async def registry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        async for head in heads(reader):
            query = head.split(b" ", 2)[1].decode().partition("?")[2]
            asked = dict(p.split("=") for p in query.split("&") if p)
            after = int(asked.get("after", -1))
            self.watches += after >= 0
            if after >= self.seq:
                with suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), int(asked["wait_ms"]) / 1000)
            names = dict.fromkeys(h for seq, h in self.news if seq > after) if after >= 0 else self.rows
            data = answer(orjson.dumps(listed([self.rows[h] for h in names], self.seq, after < 0)))
            self.moved_b += len(head) + len(data)
            self.answers += 1
            writer.write(data)

    async def upstream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        async for _ in heads(reader):
            await asyncio.sleep(self.delay_s)
            writer.write(answer(b"served"))
        self.connections -= 1


async def heads(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """The requests that come on a connection; none has a body."""
    with suppress(OSError, asyncio.IncompleteReadError):
        while True:
            yield await reader.readuntil(b"\r\n\r\n")


def until_cancelled(serve: Serve) -> Serve:
    """The stand-ins end with the balancer, in the middle of what they do."""

    async def served(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.CancelledError):
            await serve(reader, writer)
        writer.close()

    return served


def answer(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


class Client:
    """One client's connection to the balancer; opened anew when it was closed between requests."""

    def __init__(self, port: int) -> None:
        self.port = port

    async def open(self) -> Client:
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        return self

    async def get(self, name: int) -> bool:
        """One request; is it served?"""
        self.writer.write(
            b"GET /c0 HTTP/1.1\r\nHost: h\r\nReq-Id: %d\r\nReq-Owner: t0\r\n"
            b"Req-Deadline-Ms: 5000\r\n\r\n" % name
        )
        head = await self.reader.readuntil(b"\r\n\r\n")
        size = int(head.partition(b"Content-Length: ")[2].partition(b"\r\n")[0])
        await self.reader.readexactly(size)
        return head.startswith(b"HTTP/1.1 200")


class Process:
    """A real balancer, started by the deploy file's `run`."""

    def __init__(self, pid: int, port: int) -> None:
        self.pid, self.port = pid, port

    def cpu_s(self) -> float:
        return (
            sum(
                int((task / "schedstat").read_text().split()[0])
                for task in Path(f"/proc/{self.pid}/task").iterdir()
            )
            / S
        )

    def memory(self) -> Figures:
        lines = Path(f"/proc/{self.pid}/status").read_text().splitlines()
        status = dict(line.split(":", 1) for line in lines)
        return {
            name: 1024 * int(status[key].split()[0]) for name, key in (("rss_b", "VmRSS"), ("top_b", "VmHWM"))
        }


@asynccontextmanager
async def balancer(stand: Stand, raw: Json, known: bool = False) -> AsyncIterator[Process]:
    """It runs, ready, before the stand-ins; `known` gives it the whole list at the start."""
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    servers = [
        await asyncio.start_server(until_cancelled(serve), HOST, 0)
        for serve in (stand.registry, stand.upstream)
    ]
    registry, upstream = (f"{HOST}:{s.sockets[0].getsockname()[1]}" for s in servers)
    for r in stand.rows.values():
        r["dial"] = upstream
    config = {
        "name": "n0",
        "listen": f"{HOST}:0",
        "discovery": registry,
        "seed": "1",
        "settings": raw,
        "limits": {"sockets": 16384},
    } | ({"known": listed(list(stand.rows.values()))} if known else {})
    with tempfile.TemporaryDirectory() as folder:
        path, log = Path(folder) / "config.json", Path(folder) / "log"
        path.write_bytes(orjson.dumps(config))
        with log.open("wb") as file:
            process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                stdout=file,
                stderr=file,
                env={**os.environ, "RELAY_CONFIG": str(path)},
            )
        try:
            while "ready on port" not in (text := log.read_text()):
                if process.poll() is not None:
                    raise RuntimeError(f"the balancer ended: {text[-500:]}")
                await asyncio.sleep(0.05)
            yield Process(process.pid, int(text.partition("ready on port ")[2].split()[0]))
        finally:
            process.kill()
            process.wait()
            for s in servers:
                s.close()


async def started(n: int, raw: Json) -> Figures:
    """A whole process: its start, by discovery where it takes the list, else by the list it knew."""
    figures: Figures = {"taken": 1}
    while True:
        stand = Stand([row(i) for i in range(n)])
        async with balancer(stand, raw, known=not figures["taken"]) as it:
            while not stand.watches and stand.answers < 3:  # a list that is turned down is asked for again
                await asyncio.sleep(0.05)
            if not stand.watches:
                figures |= {"taken": 0, "list_b": stand.moved_b / stand.answers}
                continue
            figures["list_b"] = figures.get("list_b", stand.moved_b)
            settle_s = QUIET_S / 2 + n / 20_000
            await asyncio.sleep(settle_s)
            spent_s, moved_b = it.cpu_s(), stand.moved_b
            await asyncio.sleep(QUIET_S)
            quiet = (it.cpu_s() - spent_s) / QUIET_S
            figures |= {
                "start_s": spent_s - quiet * settle_s,
                "quiet_cores": quiet,
                "quiet_rate_b": (stand.moved_b - moved_b) / QUIET_S,
                **it.memory(),
            }
            spent_s, moved_b, count, gap_s = it.cpu_s(), stand.moved_b, 6, QUIET_S / 8 + n / 80_000
            for host in [*stand.rows][:count]:
                stand.change(host, health="draining")
                await asyncio.sleep(gap_s)
            figures["change_s"] = (it.cpu_s() - spent_s) / count - quiet * gap_s
            figures["change_b"] = (stand.moved_b - moved_b) / count
            return figures


def process(n: int) -> Figures:
    """A real process before n upstreams: start, quiet, one change a time from discovery."""
    return asyncio.run(started(n, raw_settings()))


def process_tenants(n: int) -> Figures:
    """A real process with n tenants before 100 upstreams."""
    return asyncio.run(started(100, raw_settings(tenants=n)))


def process_routes(n: int) -> Figures:
    """A real process with n routes before 100 upstreams."""
    return asyncio.run(started(100, raw_settings(routes=n)))


async def loaded(rate: int, seconds: float, raw: Json) -> Figures:
    stand = Stand([row(i) for i in range(64)])
    took: list[float] = []
    served = 0
    async with balancer(stand, raw, known=True) as it:
        clients: list[Client] = []

        async def one(name: int) -> None:
            nonlocal served
            client = clients.pop() if clients else await Client(it.port).open()
            begin = time.monotonic()
            try:
                served += await client.get(name)
            except (OSError, asyncio.IncompleteReadError):  # closed between requests: once more on a new one
                served += await (await client.open()).get(name)
            took.append(time.monotonic() - begin)
            clients.append(client)

        for warm in range(30):
            await one(warm)
        served, begin, spent_s = 0, time.monotonic(), it.cpu_s()
        took.clear()
        async with asyncio.TaskGroup() as group:
            for k in range(int(rate * seconds)):
                await asyncio.sleep(begin + k / rate - time.monotonic())
                group.create_task(one(100 + k))
        cpu_s = it.cpu_s() - spent_s
        took.sort()
        return {
            "cores": cpu_s / seconds,
            "request_s": cpu_s / max(1, served),
            "served": served,
            "asked": int(rate * seconds),
            "wall_half_s": took[len(took) // 2],
            "wall_99_s": took[len(took) * 99 // 100],
            **it.memory(),
        }


def rates(n: int) -> Figures:
    """n requests a second through a real process; their wall time, the stand-ins' part of it included."""
    return asyncio.run(loaded(n, max(5.0, 100 / n), raw_settings() | {"replicas_of_me": 1}))


async def held(n: int, open_requests: bool) -> Figures:
    stand = Stand([row(i) for i in range(2 * n if open_requests else 64)])
    stand.delay_s = 2.0
    raw = raw_settings() | {"replicas_of_me": 1, "prices": {}, "zones": []}
    raw["profiles"][0]["aim_ns"] = 5 * S
    async with balancer(stand, raw, known=True) as it:
        before, spent_s = it.memory()["rss_b"], it.cpu_s()
        clients = [await Client(it.port).open() for _ in range(n)]
        tasks = [asyncio.create_task(c.get(i)) for i, c in enumerate(clients) if open_requests]
        await asyncio.sleep(1.5)
        figures = {"memory_b": it.memory()["rss_b"] - before, "upstream_connections": stand.connections}
        served = sum(r is True for r in await asyncio.gather(*tasks, return_exceptions=True))
        return figures | {"all_s": it.cpu_s() - spent_s, "served": served}


def clients(n: int) -> Figures:
    """n idle client connections at a real process for 1.5 s, opening included."""
    return asyncio.run(held(n, False))


def connections(n: int) -> Figures:
    """n requests open at once at a real process, each with a client's and an upstream's connection."""
    return asyncio.run(held(n, True))


# ---- fit, table, file ------------------------------------------------------------------------------------

SUBJECTS: dict[str, tuple[Callable[[int], Figures], tuple[int, ...]]] = {
    "upstreams": (upstreams, (100, 1000, 10_000, 40_000, 160_000)),
    "services": (services, (10, 30, 100, 300, 1000)),
    "tenants": (tenants, (100, 1000, 10_000, 100_000)),
    "routes": (routes, (100, 1000, 10_000, 100_000)),
    "requests": (requests, (10, 100, 1000, 10_000)),
    "process": (process, (100, 1000, 10_000, 40_000, 160_000)),
    "process-tenants": (process_tenants, (100, 1000, 10_000, 100_000)),
    "process-routes": (process_routes, (100, 1000, 10_000, 100_000)),
    "rates": (rates, (5, 14, 45, 136, 500)),
    "clients": (clients, (20, 60, 200, 600, 2000)),
    "connections": (connections, (10, 30, 100, 300, 1000)),
}


def fit(points: list[tuple[float, float]]) -> Figures:
    """y = base + each * x by least squares of the relative error in x; power: log-log, over the last two."""
    w = [1 / x**2 for x, _ in points]
    total = sum(w)
    mean_x = sum(a * x for a, (x, _) in zip(w, points, strict=True)) / total
    mean_y = sum(a * y for a, (_, y) in zip(w, points, strict=True)) / total
    spread = sum(a * (x - mean_x) ** 2 for a, (x, _) in zip(w, points, strict=True))
    along = sum(a * (x - mean_x) * (y - mean_y) for a, (x, y) in zip(w, points, strict=True))
    each = along / spread if spread else 0.0
    (x0, y0), (x1, y1) = points[-2:] if len(points) > 1 else points * 2
    power = math.log(y1 / y0) / math.log(x1 / x0) if x1 != x0 and y0 > 0 < y1 else 0.0
    return {"base": mean_y - each * mean_x, "each": each, "power": power}


def measure(name: str, sizes: Sequence[int] = ()) -> Json:
    """One subject at its sizes, and the slope of each figure."""
    function, usual = SUBJECTS[name]
    points = [{"size": n, **function(n)} for n in sizes or usual]
    slopes = {key: fit([(p["size"], p[key]) for p in points]) for key in points[0] if key != "size"}
    return {"points": points, "slopes": slopes}


def shown(value: float, name: str) -> str:
    if name.endswith("_s"):
        return f"{value * 1e3:.3g} ms" if abs(value) >= 1e-4 else f"{value * 1e6:.3g} us"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def table(name: str, result: Json) -> str:
    sizes = [p["size"] for p in result["points"]]
    lines = [[name, *(f"{n:,}" for n in sizes), "each", "power"]]
    for key, slope in result["slopes"].items():
        lines.append(
            [
                key,
                *(shown(p[key], key) for p in result["points"]),
                shown(slope["each"], key),
                f"{slope['power']:.2f}",
            ]
        )
    return "\n".join(" ".join(f"{c:>{20 if not i else 11}}" for i, c in enumerate(line)) for line in lines)


def commit(*paths: str) -> str:
    done = subprocess.run(["git", "log", "-1", "--format=%h", "--", *paths], cwd=ROOT, capture_output=True)
    return done.stdout.decode().strip()


@click.command(help=__doc__)
@click.argument("subjects", nargs=-1, type=click.Choice(list(SUBJECTS)))
@click.option("--sizes", default="", help="sizes instead of the usual ones, as 10,100,1000")
@click.option("--json", "path", type=click.Path(path_type=Path), help="add the results to this file")
def main(subjects: Sequence[str], sizes: str, path: Path | None) -> None:
    for name in subjects or SUBJECTS:
        result = measure(name, [int(n) for n in sizes.split(",") if n])
        click.echo(table(name, result) + "\n")
        if path is not None:
            held = orjson.loads(path.read_bytes()) if path.exists() else {"subjects": {}}
            held |= {
                "balancer": commit("loadbalancer", "requirements.txt"),
                "tool": commit("scale_test/slopes.py"),
            }
            held["subjects"][name] = result
            path.write_bytes(orjson.dumps(held, option=orjson.OPT_INDENT_2))


if __name__ == "__main__":
    main()
