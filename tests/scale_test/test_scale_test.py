"""The scale run: what it refuses, its stand-in of discovery, and a small run from start to end."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import psutil
import pytest

from scale_test import evenness, report
from scale_test.discovery import Discovery
from scale_test.plan import Plan, PlanError
from scale_test.registry import Registry, mark
from scale_test.run import Run
from tests.support.sockets import PATIENCE_S, Json, run, until

COMMAND = [sys.executable, "-m", "scale_test"]
SMALL = [
    "--upstreams",
    "50",
    "--zones",
    "5",
    "--real",
    "1",
    "--hollow",
    "3",
    "--hollow-processes",
    "1",
    "--quiet",
    "0.3",
    "--duration",
    "1",
    "--changes",
    "20",
    "--wholes",
    "1",
    "--seed",
    "3",
]
PLAN = Plan(upstreams=4, zones=2, real=1, hollow=1, hollow_processes=1)


def left() -> list[int]:
    """Processes of a scale run that are still there."""
    found = []
    for process in psutil.process_iter():
        with contextlib.suppress(psutil.Error):  # it may end meanwhile; an ended one has no environment
            if process.environ().get("SCALE_TEST") == str(os.getpid()):
                found.append(process.pid)
    return found


def start(*arguments: str) -> subprocess.Popen[str]:
    """Its processes carry a mark, by which those that are left are found."""
    return subprocess.Popen(
        [*COMMAND, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "SCALE_TEST": str(os.getpid())},
    )


@pytest.mark.parametrize(
    ("arguments", "says"),
    [
        (["--upstreams", "0"], "0 is not in the range"),
        (["--upstreams", "many"], "is not a valid integer"),
        (["--course", "night"], "'night' is not one of"),
        (["--zones", "41"], "41 is not in the range"),
        (["--upstreams", "3", "--zones", "4"], "more than --upstreams 3"),
        (["--real", "0", "--hollow", "0"], "at least one balancer"),
        (["--hollow", "3", "--hollow-processes", "4"], "--hollow-processes has to be"),
        (["--real", "1", "--hollow", "3", "--replicas", "2"], "less than the 4 balancers"),
        (["--real", "200"], "at most 200 may run"),
        (["--upstreams", "1000000", "--hollow", "1000"], "MB may be used"),
        (["--configured", "0", "--restarted", "0", "--failed", "0"], "nothing changes"),
        (["--duration", "0"], "not in the range"),
        (["--json", "no/such/folder.json"], "no such folder"),
        (["--what"], "No such option"),
        (["much"], "unexpected extra argument"),
    ],
)
def test_what_cannot_be_run_is_one_plain_line(arguments: list[str], says: str) -> None:
    done = subprocess.run([*COMMAND, *arguments], capture_output=True, text=True, check=False, timeout=60)
    assert done.returncode == 2
    assert not done.stdout
    assert done.stderr.startswith("scale: ")
    assert says in done.stderr
    assert done.stderr.count("\n") == 1


def test_an_ordinary_day_is_about_two_changes_a_second_at_the_target() -> None:
    assert Plan(upstreams=160_000).changes_a_second == pytest.approx(2.34, abs=0.01)
    assert Plan(upstreams=1_600).changes_a_second == pytest.approx(0.0234, abs=0.0001)
    assert Plan(changes=7.0).changes_a_second == 7.0


def test_a_plan_may_take_half_of_the_memory_and_200_processes() -> None:
    Plan(real=194, hollow=4, upstreams=50).check()
    with pytest.raises(PlanError, match="201 processes"):
        Plan(real=195, hollow=4, upstreams=50).check()


def hosts(text: bytes) -> list[str]:
    return [row["host"] for row in json.loads(text)["hosts"]]


def test_the_list_is_told_whole_or_as_what_changed() -> None:
    registry = Registry(PLAN, ["127.0.0.1:1", "127.0.0.1:2"])
    assert json.loads(registry.whole())["hosts"][3] == {
        "host": "s-00000003",
        "dial": "127.0.0.1:2",
        "site": "r0-z1",
        "class": "m2",
        "block": 0,
        "health": "up",
        "share": 1.0,
        "born_ms": 0,
    }
    assert registry.whole() is registry.whole()  # put together once
    registry.change([1], "draining")
    registry.change([0, 2])
    registry.change([1], "removed")
    delta = json.loads(registry.since(2))
    assert (delta["seq"], delta["whole"]) == (4, False)
    assert {row["host"]: (row["health"], mark(row["share"])) for row in delta["hosts"]} == {
        "s-00000000": ("up", 3),
        "s-00000001": ("removed", 4),
        "s-00000002": ("up", 3),
    }
    assert hosts(registry.since(4)) == []
    for after in (None, 0, 9):  # of these it knows nothing
        assert json.loads(registry.since(after))["whole"]
    assert hosts(registry.whole()) == ["s-00000000", "s-00000002", "s-00000003"]
    registry.change([1], "up", born=True)
    row = json.loads(registry.since(4))["hosts"][0]
    assert row["health"] == "up"
    assert row["born_ms"] > 1_600_000_000_000
    registry.forget()
    assert json.loads(registry.since(4))["whole"]
    assert not json.loads(registry.since(5))["whole"]


class Watcher:
    """A connection to discovery."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.got = 0  # bytes

    def ask(self, query: str = "") -> None:
        self.writer.write(f"GET /registry/instances{query} HTTP/1.1\r\nHost: d\r\n\r\n".encode())

    async def answer(self) -> Json:
        async with asyncio.timeout(PATIENCE_S):
            head = await self.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 ")
            body = await self.reader.readexactly(int(head.split(b"Content-Length: ")[1]))
        self.got += len(head) + len(body)
        answer: Json = json.loads(body)
        return answer


@asynccontextmanager
async def discovery() -> AsyncIterator[tuple[Discovery, list[Watcher]]]:
    """The stand-in, and a connection to it from each of two balancers."""
    one = Discovery(Registry(PLAN, ["127.0.0.1:1"]), PLAN.balancers)
    watchers = [Watcher(*await asyncio.open_connection(*address)) for address in await one.start()]
    try:
        yield one, watchers
    finally:
        for w in watchers:
            w.writer.close()
        one.close()


def test_watches_wait_and_calls_are_counted_for_each_balancer() -> None:
    async def test() -> None:
        async with discovery() as (one, (first, second)):
            first.ask()
            assert (await first.answer())["whole"]
            first.ask("?after=1&wait_ms=20")
            assert await first.answer() == {"seq": 1, "whole": False, "hosts": []}
            for w in (first, second):
                w.ask("?after=1&wait_ms=20000")
            await until(lambda: [c.calls for c in one.callers] == [3, 1])
            one.change([2], "draining")
            for w in (first, second):
                answer = await w.answer()
                assert (answer["seq"], answer["whole"], len(answer["hosts"])) == (2, False, 1)
            one.change([3])  # in between two calls of a watch
            first.ask("?after=2&wait_ms=20000")
            assert [row["host"] for row in (await first.answer())["hosts"]] == ["s-00000003"]
            assert [c.sent for c in one.callers] == [first.got, second.got]
            assert one.callers[1].received == len(
                "GET /registry/instances?after=1&wait_ms=20000 HTTP/1.1\r\nHost: d\r\n\r\n"
            )
            assert [after for _, after in one.callers[0].has] == [1, 2]

    run(test())


def test_calls_are_worked_off_in_turn() -> None:
    async def test() -> None:
        async with discovery() as (one, (first, second)):
            order: list[int] = []

            async def ask(number: int, w: Watcher) -> None:
                await w.answer()
                order.append(number)

            for number, w in ((1, second), (0, first)):
                w.ask("?after=1&wait_ms=20000")
                await until(lambda n=number: one.callers[n].calls == 1)  # type: ignore[misc]
            asked = [asyncio.create_task(ask(0, first)), asyncio.create_task(ask(1, second))]
            one.change([0])
            await asyncio.gather(*asked)
            assert order == [1, 0]  # as the calls came, not as the answers are read

    run(test())


@pytest.mark.parametrize(("after", "taken"), [(2, 1), (1, 0)])
def test_a_balancer_is_told_the_whole_list_in_a_watch(after: int, taken: int) -> None:
    async def test() -> None:
        async with discovery() as (one, (first, second)):
            for w in (first, second):
                w.ask("?after=1&wait_ms=20000")
            told = asyncio.create_task(one.tell_whole(0, PATIENCE_S))
            assert (await first.answer())["whole"]
            assert not told.done()
            first.ask(f"?after={after}&wait_ms=20000")  # it names that version, or has turned it down
            assert await told
            assert [whole[1:2] + whole[3:] for whole in one.callers[0].wholes] == [[2, taken]]
            assert not (await second.answer())["whole"]
            assert not one.callers[1].wholes

    run(test())


def test_after_a_cut_all_get_the_whole_list() -> None:
    async def test() -> None:
        async with discovery() as (one, (first, second)):
            first.ask("?after=1&wait_ms=20000")
            await until(lambda: one.callers[0].calls)
            one.cut()
            with pytest.raises(asyncio.IncompleteReadError):
                await first.answer()
            host, port = second.writer.get_extra_info("peername")
            refused = Watcher(*await asyncio.open_connection(host, port))
            refused.ask("?after=1")
            assert (await refused.reader.readline()).startswith(b"HTTP/1.1 503 ")
            refused.writer.close()
            one.change([1])
            one.back()
            again = Watcher(*await asyncio.open_connection(host, port))
            again.ask("?after=1")
            answer = await again.answer()
            assert (answer["seq"], answer["whole"], one.callers[1].refused) == (2, True, 1)
            again.writer.close()

    run(test())


@pytest.mark.parametrize("course", ["day", "zone", "back"])
def test_a_small_run_reports_all_and_leaves_no_process(course: str, tmp_path: Path) -> None:
    path = tmp_path / "figures.json"
    process = start(*SMALL, "--course", course, "--json", str(path))
    out, err = process.communicate(timeout=60)
    assert (process.returncode, err) == (0, "")
    figures = json.loads(path.read_bytes())
    assert figures["arguments"]["upstreams"] == 50
    assert figures["arguments"]["course"] == course
    rows = {(row["figure"], row["phase"], row["group"]): row for row in figures["rows"]}
    expected = {("time to ready", "start", g) for g in ("real", "hollow")}
    for phase in ("quiet", "course"):
        expected |= {("processor time a second", phase, g) for g in ("loaded", "hollow", "discovery")}
        expected |= {
            (f"{what} discovery a second", phase, g)
            for g in ("loaded", "hollow")
            for what in ("calls to", "bytes to", "bytes from")
        }
    expected |= {(f"memory {when}", "end", g) for g in ("loaded", "hollow") for when in ("now", "peak")}
    expected |= {("time added to a request", p, "loaded") for p in ("quiet", "course", "whole list")}
    for g in ("loaded", "hollow"):
        expected |= {("in force, by next call", "course", g), ("changes never in force", "course", g)}
    expected |= {(f, "course", "hollow") for f in ("in force, by module", "module's part of that")}
    expected |= {("whole list read", "all", g) for g in ("loaded", "hollow")}
    expected |= {("whole list in force", "all", "hollow")}
    assert expected <= set(rows)
    assert rows["changes never in force", "course", "hollow"]["worst"] == 0
    assert rows["changes never in force", "course", "loaded"]["worst"] == 0
    by_call, by_module = (rows[f"in force, by {how}", "course", "hollow"] for how in ("next call", "module"))
    assert by_call["count"] == by_module["count"] > 0  # each change, at each of the three
    for figure, _, _ in rows:
        assert figure in out
    assert not left()


def test_a_change_is_in_force_with_the_end_of_the_first_answer_that_tells_it() -> None:
    # A long answer is put in force in slices; a later, shorter one may be in force before its end.
    ms = report.MS
    seen = {"in_force": [(3, 50 * ms), (5, 90 * ms), (6, 60 * ms), (9, report.NEVER_NS), (9, 99 * ms)]}
    made = [report.Made(version, 10 * ms, version) for version in (2, 4, 5, 6, 8, 10)]
    assert report.by_module(made, seen) == [(40, 2), (80, 4), (80, 5), (50, 6)]
    wholes = [[20 * ms, 5, 70 * ms, 1], [20 * ms, 6, 70 * ms, 1], [20 * ms, 8, 70 * ms, 1], [20 * ms, 3]]
    assert report.wholes_in_force({"wholes": wholes}, seen) == [(70 * ms, 20 * ms), (40 * ms, 0)]
    assert report.whole_windows([*wholes[:1], *wholes[3:]], 20 * ms) == [(20 * ms, 340 * ms)]


@pytest.mark.parametrize("zoned", [False, True])
def test_evenness_counts_all_subsets(zoned: bool) -> None:
    found = evenness.figures(2000, 600, zoned)
    assert found["smallest subset"] <= found["largest subset"] <= 64
    assert not found["upstreams in no subset"]
    assert found["memberships"] == round(found["balancers an upstream, mean"] * 2000)
    assert 0 < found["moved by one upstream gone"] < found["memberships"] / 10


def test_a_run_ends_when_it_needs_too_much_or_a_process_has_ended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        one = Run(PLAN, tmp_path)
        sleeper = await one.helper("load", "sleeper")
        monkeypatch.setattr("scale_test.run.memory_limit", lambda: 1)
        with pytest.raises(PlanError, match="MB of memory used"):
            await one.look()
        await sleeper.kill()
        with pytest.raises(PlanError, match="sleeper has ended"):
            await one.look()

    run(test())


def test_balancers_are_known_by_their_numbers(tmp_path: Path) -> None:
    # They start side by side: which is up first must not say which has clients, or whose figures are whose.
    async def test() -> None:
        plan = Plan(upstreams=50, zones=5, real=4, hollow=5, hollow_processes=3, wholes=0)
        one = Run(plan, tmp_path)
        try:
            await one.start()
            assert await one.discovery.ask("settled", patience=PATIENCE_S)
            called = [
                {tuple(c.raddr) for c in psutil.Process(p.pid).net_connections("tcp") if c.raddr}
                for p in (*one.real, *one.hollow)
            ]
            callers = [tuple(address) for address in one.callers]
            assert called == [*({c} for c in callers[:4]), *(set(callers[4 + i :: 3]) for i in range(3))]
            for process, address in zip(one.real, one.addresses, strict=True):
                assert address in [c.laddr for c in psutil.Process(process.pid).net_connections("tcp")]
        finally:
            await asyncio.gather(*(p.kill() for p in one.processes))

    run(test())


def test_an_interrupt_leaves_no_process() -> None:
    process = start(*SMALL, "--duration", "60")
    seen: list[int] = []
    while len(seen) < 6:  # the run, its four helpers and the real balancer
        assert process.poll() is None
        seen = left()
    process.send_signal(signal.SIGINT)
    out, err = process.communicate(timeout=60)
    assert (process.returncode, out, err) == (130, "", "scale: stopped\n")
    assert not left()
