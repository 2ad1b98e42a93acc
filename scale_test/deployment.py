"""The commands of the deploy file that build and run a balancer."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent


@dataclass(frozen=True)
class Deployment:
    """Shell commands, to be run in the project's folder."""

    build: str
    run: str


def read_deployment() -> Deployment:
    """Read the deploy file."""
    raw = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return Deployment(raw["build"], raw["run"])
