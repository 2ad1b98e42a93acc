"""The command `python -m tests.soak`: see `--help`."""

from __future__ import annotations

import re
import sys
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from pathlib import Path

import click
import orjson

from tests.soak.balancer_process import build_balancer
from tests.soak.run import SeedResult, run_seed

EXIT_RULE_BROKEN = 1
MAX_EVENTS_PRINTED = 40


class SeedRange(click.ParamType[list[int]]):
    """Seeds as `7`, `1-60` or `1-3,8`."""

    name = "seeds"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> list[int]:
        """Parse a list of seeds and of ranges of seeds."""
        text = str(value)
        if not re.fullmatch(r"\d+(-\d+)?(,\d+(-\d+)?)*", text):
            self.fail(f"{text!r} is not a list of seeds such as 1-60 or 1-3,8", param, ctx)
        seeds: list[int] = []
        for part in text.split(","):
            first, _, last = part.partition("-")
            seeds += range(int(first), int(last or first) + 1)
        return seeds


def run_seeds(seeds: list[int], jobs: int) -> Iterator[SeedResult]:
    """Run seeds in up to `jobs` processes; yield the results in the order of the seeds."""
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(run_seed, seeds)


def print_result(result: SeedResult) -> None:
    """Print a line for the seed, and each broken rule with the last events before it."""
    click.echo(
        f"seed {result.seed}: {result.requests} requests, {result.served} served, "
        f"{result.attempts} attempts, ready in {result.ready_s:.2f} s, "
        f"event loop lag up to {result.max_lag_s:.3f} s, {len(result.broken)} rules broken"
    )
    for broken in result.broken:
        click.echo(f"  {broken.rule}: request {broken.request_id} at {broken.at_s:.3f} s: {broken.text}")
        for event in broken.events[-MAX_EVENTS_PRINTED:]:
            click.echo(f"    {event}")


@click.command(context_settings={"show_default": True})
@click.option("--seeds", type=SeedRange(), default="1-60", help="Seeds to run, such as 1-60 or 1-3,8.")
@click.option("--jobs", type=click.IntRange(1, 64), default=3, help="Seeds to run in parallel.")
@click.option(
    "--json",
    "path",
    type=click.Path(dir_okay=False, writable=True, path_type=Path),
    help="Also write all results to this file.",
)
def command(seeds: list[int], jobs: int, path: Path | None) -> None:
    """Inject seeded faults into runs of real balancer processes, and check the service rules."""
    build_balancer()
    results = []
    for result in run_seeds(seeds, jobs):
        print_result(result)
        results.append(result)
    breaks = Counter(broken.rule for result in results for broken in result.broken)
    requests = sum(result.requests for result in results)
    failed = [result.seed for result in results if result.broken]
    click.echo(f"{len(results)} seeds, {requests} requests, seeds with a broken rule: {failed or 'none'}")
    for rule, count in breaks.most_common():
        click.echo(f"  {rule}: {count}")
    if path is not None:
        content = {"seeds": [asdict(result) for result in results], "breaks": breaks}
        path.write_bytes(orjson.dumps(content, option=orjson.OPT_INDENT_2))
    if failed:
        sys.exit(EXIT_RULE_BROKEN)


if __name__ == "__main__":
    command()
