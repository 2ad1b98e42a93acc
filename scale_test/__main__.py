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

EXIT_ERROR = 2
EXIT_INTERRUPTED = 130
NOTES = """\
'loaded' is the first real balancer, the one with clients; 'real' are the others. For figures of balancers,
the median, 99th percentile and worst are taken over the balancers of the group. A hollow balancer's processor
time and memory are an equal share of its process's, and it applies a change only after the balancers before
it in its process have done so.
'in force, by next call' is the time from a change to the balancer's next call that asks for newer changes.
A balancer sends that call when it has read the response, which may be shortly before its policy applies the
change; 'in force, by module' is the time until the policy has applied it.
Changes made while discovery was down are timed from its return."""
POSITIVE = click.IntRange(min=1)
COUNT = click.IntRange(min=0)
SECONDS = click.FloatRange(min=0.0, max=86_400.0, min_open=True)


@dataclass(frozen=True)
class Option:
    """A command-line option: the click type of its value, and its help text."""

    value_type: Any
    help: str


OPTIONS = {
    "upstreams": Option(click.IntRange(1, 1_000_000), "Upstreams in the endpoint list."),
    "real": Option(COUNT, "Real balancers, run as the deploy file says; clients send requests to the first."),
    "hollow": Option(COUNT, "Hollow balancers: without clients, many in one process."),
    "hollow_processes": Option(POSITIVE, "Processes that the hollow balancers are spread over."),
    "replicas": Option(COUNT, "replicas_of_me in the settings of all balancers; 0: as many as run."),
    "zones": Option(click.IntRange(1, MAX_ZONES), "Zones that the upstreams are spread over."),
    "duration": Option(SECONDS, "Seconds that the scenario takes."),
    "quiet": Option(SECONDS, "Seconds without changes, before the scenario."),
    "changes": Option(
        click.FloatRange(min=0.0, max=10_000.0), "List changes per second; 0: the rate of an ordinary day."
    ),
    "configured": Option(
        COUNT, "Configuration changes per day among 160,000 upstreams; scaled to --upstreams."
    ),
    "restarted": Option(COUNT, "Restarts or replacements per day among 160,000 upstreams; scaled."),
    "failed": Option(COUNT, "Failures per day among 160,000 upstreams; scaled."),
    "course": Option(
        click.Choice([scenario.value for scenario in Scenario]),
        "Scenario. day: ordinary churn; zone: churn and an outage of one zone, which comes back cold; "
        "back: churn and an outage of discovery, after which all balancers call at once.",
    ),
    "wholes": Option(
        click.IntRange(0, 1000),
        "Full lists sent at the end to the balancer with clients, and as many to one hollow balancer.",
    ),
    "mode": Option(click.Choice(["ask", "push"]), "registry_mode in the settings of all balancers."),
    "requests": Option(
        click.FloatRange(min=0.0, max=5000.0),
        "Requests per second that clients send to the first real balancer.",
    ),
    "known": Option(bool, "Whether the balancers' configuration files hold the endpoint list."),
    "held": Option(COUNT, "Bytes that a balancer holds for an upstream; used to estimate the memory needed."),
    "patience": Option(SECONDS, "Seconds within which all balancers have to be ready."),
    "seed": Option(int, "Seed of the scenario, the clients and the balancers."),
}


def current_commit() -> str:
    """Return the commit that runs, marked as dirty if files differ from it."""
    completed = subprocess.run(
        ["git", "describe", "--always", "--dirty"], cwd=ROOT, capture_output=True, text=True, check=False
    )
    return completed.stdout.strip()


async def run_until_signal(plan: Plan) -> ExperimentResult:
    """Run an experiment; the first signal cancels it, and further signals don't interrupt the cleanup."""
    task = asyncio.create_task(run_experiment(plan))

    def stop() -> None:
        if not task.cancelling():
            task.cancel()

    for signal_number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop)
    return await task


def write_figures(path: Path, plan: Plan, commit: str, result: ExperimentResult) -> None:
    """Write the figures as JSON, with the commit, the arguments and the machine of the run."""
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
    """Add a command-line option for each field of the plan."""
    default = Plan()
    for field in reversed(fields(Plan)):
        option = OPTIONS[field.name]
        name = field.name.replace("_", "-")
        flag = f"--{name}/--no-{name}" if option.value_type is bool else f"--{name}"
        decorate = click.option(
            flag, field.name, type=option.value_type, help=option.help, default=getattr(default, field.name)
        )
        command = decorate(command)
    return command


@click.command(context_settings={"show_default": True})
@plan_options
@click.option(
    "--json",
    "path",
    type=click.Path(dir_okay=False, writable=True, path_type=Path),
    help="Also write the figures to this file, as JSON.",
)
def command(path: Path | None, **arguments: Any) -> None:  # noqa: ANN401 - click passes any option type
    """Measure what the endpoint list costs balancers, and how soon a change of it is in force."""
    plan = Plan(**arguments)
    plan.check()
    if path is not None and not path.parent.is_dir():
        raise PlanError(f"--json {path}: no such folder")
    commit = current_commit()  # before the run: the working tree may change during it
    result = asyncio.run(run_until_signal(plan))
    click.echo(report.format_table(result.rows, [*result.notes, NOTES]))
    if path is not None:
        write_figures(path, plan, commit, result)


def main() -> int:
    """Run the command and return its exit status; an error is printed as one line."""
    try:
        command(standalone_mode=False)
    except click.exceptions.Exit as error:
        return error.exit_code
    except click.ClickException as error:
        click.echo(f"scale: {error.format_message()}", err=True)
        return EXIT_ERROR
    except ScaleTestError as error:
        click.echo(f"scale: {error}", err=True)
        return EXIT_ERROR
    except (KeyboardInterrupt, asyncio.CancelledError, click.exceptions.Abort):
        click.echo("scale: stopped", err=True)
        return EXIT_INTERRUPTED
    return 0


if __name__ == "__main__":
    sys.exit(main())
