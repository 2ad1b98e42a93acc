"""Reads the commands that build and run a balancer from the deploy file."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent


@dataclass(frozen=True)
class Deployment:
    """Shell commands, to be run in the project's root folder."""

    build: str
    run: str


def read_deployment() -> Deployment:
    """Read the `build` and `run` commands of the deploy file."""
    raw = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return Deployment(raw["build"], raw["run"])
