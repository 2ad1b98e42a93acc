"""python -m scale_test: see --help."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from dataclasses import asdict, fields
from pathlib import Path
from typing import Any

import click
import orjson
import psutil

from scale_test import report
from scale_test.child_process import ROOT
from scale_test.plan import COURSES, MAX_ZONES, Plan, PlanError
from scale_test.run import run

DEFAULT = Plan()
NOTES = """\
'loaded' is the first real balancer, the one with clients; 'real' are the others. Of balancers, the median,
99th and worst are over them; a hollow one's processor time and memory are its part of its process, and with
a change it waits until those before it in its process have taken it in.
'in force, by next call': until the balancer asks for what is newer than the change. It sends that call when
it has read the answer, and that may be shortly before the module takes it in: see 'by module' for that.
What changed while discovery was down counts from its return."""
Positive = click.IntRange(min=1)
Count = click.IntRange(min=0)
Seconds = click.FloatRange(min=0.0, max=86_400.0, min_open=True)
OPTIONS: dict[str, tuple[Any, str]] = {
    "upstreams": (click.IntRange(1, 1_000_000), "Upstreams in the list."),
    "real": (Count, "Balancers run as the deploy file says; the first gets clients."),
    "hollow": (Count, "Balancers with no clients, many in a process."),
    "hollow_processes": (Positive, "Processes for the hollow ones."),
    "replicas": (Count, "replicas_of_me told to all; 0: as many as run."),
    "zones": (click.IntRange(1, MAX_ZONES), "Zones that the upstreams are in."),
    "duration": (Seconds, "Seconds that the course takes."),
    "quiet": (Seconds, "Seconds without changes, before the course."),
    "changes": (click.FloatRange(min=0.0, max=10_000.0), "List changes a second; 0: as on an ordinary day."),
    "configured": (Count, "Changes of configuration a day, at 160,000 upstreams."),
    "restarted": (Count, "Restarted or replaced upstreams a day, at 160,000."),
    "failed": (Count, "Failed upstreams a day, at 160,000."),
    "course": (
        click.Choice(COURSES),
        "day: churn; zone: and a zone lost and back cold; "
        "back: and discovery cut off, then all call at once.",
    ),
    "wholes": (
        click.IntRange(0, 1000),
        "Whole lists told to the one with clients and a hollow one, at the end.",
    ),
    "mode": (click.Choice(["ask", "push"]), "How the settings say that lists come."),
    "requests": (click.FloatRange(min=0.0, max=5000.0), "Requests a second to that balancer."),
    "known": (bool, "Whether the configuration holds the list."),
    "held": (Count, "Bytes that a balancer holds for an upstream: for the look ahead at memory."),
    "patience": (Seconds, "Seconds until all have to be ready."),
    "seed": (int, "Seed of the course, of the clients and of the balancers."),
}


def commit() -> str:
    done = subprocess.run(
        ["git", "describe", "--always", "--dirty"], cwd=ROOT, capture_output=True, text=True, check=False
    )
    return done.stdout.strip()


async def interruptible(plan: Plan) -> tuple[list[report.Row], list[str]]:
    """A signal ends the run once: its end is not cut short by another one."""
    task, loop = asyncio.create_task(run(plan)), asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, lambda: task.cancelling() or task.cancel())
    return await task


@click.command(context_settings={"show_default": True})
@click.option(
    "--json",
    "path",
    type=click.Path(dir_okay=False, writable=True, path_type=Path),
    help="Write the figures to this file too.",
)
def command(path: Path | None, **arguments: Any) -> None:
    """Measure what the list of upstreams costs balancers, and how fast a change is in force."""
    plan = Plan(**arguments)
    plan.check()
    if path is not None and not path.parent.is_dir():
        raise PlanError(f"--json {path}: no such folder")
    version = commit()  # what is run, not what the folder holds when it ends
    rows, notes = asyncio.run(interruptible(plan))
    click.echo(report.table(rows, [*notes, NOTES]))
    if path is not None:
        path.write_bytes(
            orjson.dumps(
                {
                    "commit": version,
                    "arguments": asdict(plan),
                    "changes_a_second": plan.changes_a_second,
                    "machine": {"processors": psutil.cpu_count(), "memory": psutil.virtual_memory().total},
                    "notes": notes,
                    "rows": report.as_json(rows),
                },
                option=orjson.OPT_INDENT_2,
            )
        )


for field in reversed(fields(Plan)):
    kind, text = OPTIONS[field.name]
    name = field.name.replace("_", "-")
    flag = f"--{name}/--no-{name}" if kind is bool else f"--{name}"
    command = click.option(flag, field.name, type=kind, help=text, default=getattr(DEFAULT, field.name))(
        command
    )


def main() -> int:
    try:
        command(standalone_mode=False)
    except click.exceptions.Exit as end:
        return end.exit_code
    except click.ClickException as error:
        click.echo(f"scale: {error.format_message()}", err=True)
        return 2
    except PlanError as error:
        click.echo(f"scale: {error}", err=True)
        return 2
    except (KeyboardInterrupt, asyncio.CancelledError, click.exceptions.Abort):
        click.echo("scale: stopped", err=True)
        return 130
    return 0


if __name__ == "__main__":
    sys.exit(main())
