"""The command `python -m scale_test`: arguments that it rejects, and small complete experiments."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import psutil
import pytest

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


def remaining_processes() -> list[int]:
    """Return the ids of the processes that still run of the experiments started by this test process."""
    found = []
    for process in psutil.process_iter():
        with contextlib.suppress(psutil.Error):  # the process has exited, or is a zombie without environment
            if process.environ().get("SCALE_TEST") == str(os.getpid()):
                found.append(process.pid)
    return found


def start_command(*arguments: str) -> subprocess.Popen[str]:
    """Start the command; remaining_processes() finds its processes by the environment variable."""
    return subprocess.Popen(
        [*COMMAND, *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "SCALE_TEST": str(os.getpid())},
    )


@pytest.mark.parametrize(
    ("arguments", "message"),
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
def test_rejected_arguments_give_one_line_and_status_2(arguments: list[str], message: str) -> None:
    completed = subprocess.run(
        [*COMMAND, *arguments], capture_output=True, text=True, check=False, timeout=60
    )
    assert completed.returncode == 2
    assert not completed.stdout
    assert completed.stderr.startswith("scale: ")
    assert message in completed.stderr
    assert completed.stderr.count("\n") == 1


@pytest.mark.parametrize("course", ["day", "zone", "back"])
def test_a_small_experiment_reports_all_figures_and_leaves_no_process(course: str, tmp_path: Path) -> None:
    path = tmp_path / "figures.json"
    process = start_command(*SMALL, "--course", course, "--json", str(path))
    out, err = process.communicate(timeout=60)
    assert (process.returncode, err) == (0, "")
    figures = json.loads(path.read_bytes())
    assert figures["arguments"]["upstreams"] == 50
    assert figures["arguments"]["course"] == course
    rows = {(row["figure"], row["phase"], row["group"]): row for row in figures["rows"]}
    expected = {("time to ready", "start", group) for group in ("real", "hollow")}
    for phase in ("quiet", "course"):
        expected |= {("processor time a second", phase, group) for group in ("loaded", "hollow", "discovery")}
        expected |= {
            (f"{what} discovery a second", phase, group)
            for group in ("loaded", "hollow")
            for what in ("calls to", "bytes to", "bytes from")
        }
    expected |= {
        (f"memory {when}", "end", group) for group in ("loaded", "hollow") for when in ("now", "peak")
    }
    expected |= {("time added to a request", phase, "loaded") for phase in ("quiet", "course", "whole list")}
    for group in ("loaded", "hollow"):
        expected |= {("in force, by next call", "course", group), ("changes never in force", "course", group)}
    expected |= {(figure, "course", "hollow") for figure in ("in force, by module", "module's part of that")}
    expected |= {("whole list read", "all", group) for group in ("loaded", "hollow")}
    expected |= {("whole list in force", "all", "hollow")}
    assert expected <= set(rows)
    assert rows["changes never in force", "course", "hollow"]["worst"] == 0
    assert rows["changes never in force", "course", "loaded"]["worst"] == 0
    by_call, by_module = (rows[f"in force, by {how}", "course", "hollow"] for how in ("next call", "module"))
    assert by_call["count"] == by_module["count"] > 0  # each change, at each of the three hollow balancers
    for figure, _, _ in rows:
        assert figure in out
    assert not remaining_processes()


def test_an_interrupted_experiment_leaves_no_process() -> None:
    process = start_command(*SMALL, "--duration", "60")
    running: list[int] = []
    while len(running) < 6:  # the command, its four helpers and the real balancer
        assert process.poll() is None
        running = remaining_processes()
    process.send_signal(signal.SIGINT)
    out, err = process.communicate(timeout=60)
    assert (process.returncode, out, err) == (130, "", "scale: stopped\n")
    assert not remaining_processes()
