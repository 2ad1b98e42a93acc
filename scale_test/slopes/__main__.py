"""Slopes: what one more upstream, tenant, route, service, request or connection costs a balancer.

    python -m scale_test.slopes [SUBJECT ...] [--json FILE]

Each subject is measured at several sizes. The figures are processor time (names end in _s; wall-clock time
where they contain `wall`), bytes (_b) and counts. The subjects before `process` run the policy and the list
reader alone, in this process; `process` and those after it start a real balancer by the deploy file's `run`
command, with fakes of its upstreams and of discovery on loopback.
"""

from __future__ import annotations

import subprocess
from collections.abc import Sequence
from pathlib import Path

import click
import orjson

from scale_test.deployment import ROOT
from scale_test.slopes.fit import format_table
from scale_test.slopes.inputs import Json
from scale_test.slopes.subjects import SUBJECTS, measure


def last_commit(*paths: str) -> str:
    """Return the abbreviated hash of the last commit that changed these paths."""
    done = subprocess.run(
        ["git", "log", "-1", "--format=%h", "--", *paths], cwd=ROOT, capture_output=True, check=False
    )
    return done.stdout.decode().strip()


def add_to_file(path: Path, name: str, result: Json) -> None:
    """Add or replace a subject's result in the file, and keep those of other subjects."""
    content = orjson.loads(path.read_bytes()) if path.exists() else {"subjects": {}}
    content["balancer"] = last_commit("loadbalancer", "requirements.txt")
    content["tool"] = last_commit("scale_test/slopes")
    content["subjects"][name] = result
    path.write_bytes(orjson.dumps(content, option=orjson.OPT_INDENT_2))


@click.command(help=__doc__)
@click.argument("subjects", nargs=-1, type=click.Choice(list(SUBJECTS)))
@click.option("--sizes", default="", help="sizes instead of the usual ones, as 10,100,1000")
@click.option("--json", "path", type=click.Path(path_type=Path), help="add the results to this file")
def main(subjects: Sequence[str], sizes: str, path: Path | None) -> None:
    """Measure the given subjects, or all if none is given."""
    for name in subjects or SUBJECTS:
        result = measure(name, [int(size) for size in sizes.split(",") if size])
        click.echo(format_table(name, result) + "\n")
        if path is not None:
            add_to_file(path, name, result)


if __name__ == "__main__":
    main()
