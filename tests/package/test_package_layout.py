"""pyproject.toml and the deploy file name all packages and policy files, and only files that exist."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
PYPROJECT = tomllib.loads((ROOT / "pyproject.toml").read_text())


def test_the_distribution_has_all_packages() -> None:
    packages = {
        ".".join(path.parent.relative_to(ROOT).parts) for path in ROOT.glob("loadbalancer/**/__init__.py")
    }
    assert set(PYPROJECT["tool"]["setuptools"]["packages"]) == packages


def test_the_deploy_file_names_every_policy_file() -> None:
    files = {str(path.relative_to(ROOT)) for path in ROOT.glob("loadbalancer/policy/**/*.py")}
    assert set(DEPLOY["policy"]) == files - {"loadbalancer/policy/__init__.py"}


def test_the_files_that_the_deploy_file_names_exist() -> None:
    assert [name for name in DEPLOY["policy"] + DEPLOY["node"] if not (ROOT / name).exists()] == []
