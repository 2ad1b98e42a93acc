"""The command `python -m scale_test`: see `--help`."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from collections.abc import Callable
from dataclasses import asdict, dataclass, fields
from pathlib import Path
from typing import Any

import click
import orjson
import psutil

from scale_test import report
from scale_test.deployment import ROOT
from scale_test.errors import PlanError, ScaleTestError
from scale_test.experiment import ExperimentResult, run_experiment
from scale_test.plan import MAX_ZONES, Plan, Scenario

EXIT_REFUSED = 2
EXIT_INTERRUPTED = 130
NOTES = """\
'loaded' is the first real balancer, the one with clients; 'real' are the others. Of balancers, the median,
99th and worst are over them; a hollow one's processor time and memory are its part of its process, and with
a change it waits until those before it in its process have applied it.
'in force, by next call': until the balancer calls for what is newer than the change. It sends that call when
it has read the response, and that may be shortly before the policy applies it: see 'by module' for that.
What changed while discovery was down counts from its return."""
POSITIVE = click.IntRange(min=1)
COUNT = click.IntRange(min=0)
SECONDS = click.FloatRange(min=0.0, max=86_400.0, min_open=True)


@dataclass(frozen=True)
class Option:
    """An option of the command line: the type of its value, and its help."""

    kind: Any
    help: str


OPTIONS = {
    "upstreams": Option(click.IntRange(1, 1_000_000), "Upstreams in the list."),
    "real": Option(COUNT, "Balancers run as the deploy file says; the first gets clients."),
    "hollow": Option(COUNT, "Balancers with no clients, many in a process."),
    "hollow_processes": Option(POSITIVE, "Processes for the hollow ones."),
    "replicas": Option(COUNT, "replicas_of_me in all settings; 0: as many as run."),
    "zones": Option(click.IntRange(1, MAX_ZONES), "Zones that the upstreams are in."),
    "duration": Option(SECONDS, "Seconds that the course takes."),
    "quiet": Option(SECONDS, "Seconds without changes, before the course."),
    "changes": Option(
        click.FloatRange(min=0.0, max=10_000.0), "List changes a second; 0: as on an ordinary day."
    ),
    "configured": Option(COUNT, "Changes of configuration a day, at 160,000 upstreams."),
    "restarted": Option(COUNT, "Restarted or replaced upstreams a day, at 160,000."),
    "failed": Option(COUNT, "Failed upstreams a day, at 160,000."),
    "course": Option(
        click.Choice([scenario.value for scenario in Scenario]),
        "day: churn; zone: and an outage of a zone, which comes back cold; "
        "back: and an outage of discovery, then all call at once.",
    ),
    "wholes": Option(
        click.IntRange(0, 1000),
        "Full lists sent to the one with clients and a hollow one, at the end.",
    ),
    "mode": Option(click.Choice(["ask", "push"]), "How the settings say that lists come."),
    "requests": Option(click.FloatRange(min=0.0, max=5000.0), "Requests a second to that balancer."),
    "known": Option(bool, "Whether the configuration holds the list."),
    "held": Option(COUNT, "Bytes that a balancer uses for an upstream: for the estimate of memory."),
    "patience": Option(SECONDS, "Seconds until all have to be ready."),
    "seed": Option(int, "Seed of the course, of the clients and of the balancers."),
}


def current_commit() -> str:
    """The commit that is run, with a mark where files differ from it."""
    completed = subprocess.run(
        ["git", "describe", "--always", "--dirty"], cwd=ROOT, capture_output=True, text=True, check=False
    )
    return completed.stdout.strip()


async def run_until_signal(plan: Plan) -> ExperimentResult:
    """Run an experiment; the first signal cancels it, and further ones don't interrupt its cleanup."""
    task = asyncio.create_task(run_experiment(plan))

    def stop() -> None:
        if not task.cancelling():
            task.cancel()

    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop)
    return await task


def write_figures(path: Path, plan: Plan, commit: str, result: ExperimentResult) -> None:
    """Write the figures, with what they were measured on."""
    content = {
        "commit": commit,
        "arguments": asdict(plan),
        "changes_a_second": plan.changes_a_second,
        "machine": {"processors": psutil.cpu_count(), "memory": psutil.virtual_memory().total},
        "notes": result.notes,
        "rows": report.rows_as_json(result.rows),
    }
    path.write_bytes(orjson.dumps(content, option=orjson.OPT_INDENT_2))


def plan_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add an option for each field of the plan."""
    default = Plan()
    for field in reversed(fields(Plan)):
        option = OPTIONS[field.name]
        name = field.name.replace("_", "-")
        flag = f"--{name}/--no-{name}" if option.kind is bool else f"--{name}"
        decorate = click.option(
            flag, field.name, type=option.kind, help=option.help, default=getattr(default, field.name)
        )
        command = decorate(command)
    return command


@click.command(context_settings={"show_default": True})
@plan_options
@click.option(
    "--json",
    "path",
    type=click.Path(dir_okay=False, writable=True, path_type=Path),
    help="Write the figures to this file too.",
)
def command(path: Path | None, **arguments: Any) -> None:  # noqa: ANN401 - click passes any option type
    """Measure what the list of upstreams costs balancers, and how fast a change is in force."""
    plan = Plan(**arguments)
    plan.check()
    if path is not None and not path.parent.is_dir():
        raise PlanError(f"--json {path}: no such folder")
    commit = current_commit()  # before the run: the folder may change meanwhile
    result = asyncio.run(run_until_signal(plan))
    click.echo(report.format_table(result.rows, [*result.notes, NOTES]))
    if path is not None:
        write_figures(path, plan, commit, result)


def main() -> int:
    """Run the command; returns its exit status, and prints an error in one line."""
    try:
        command(standalone_mode=False)
    except click.exceptions.Exit as error:
        return error.exit_code
    except click.ClickException as error:
        click.echo(f"scale: {error.format_message()}", err=True)
        return EXIT_REFUSED
    except ScaleTestError as error:
        click.echo(f"scale: {error}", err=True)
        return EXIT_REFUSED
    except (KeyboardInterrupt, asyncio.CancelledError, click.exceptions.Abort):
        click.echo("scale: stopped", err=True)
        return EXIT_INTERRUPTED
    return 0


if __name__ == "__main__":
    sys.exit(main())
