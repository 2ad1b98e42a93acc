"""The documentation names only modules, constants and rules that exist."""

from __future__ import annotations

import importlib
import re
from functools import reduce
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
PAGES = ["docs/ARCHITECTURE.md", "docs/GLOSSARY.md", "docs/findings/rules.md"]
MODULE = re.compile(r"`((?:policy|state|proxy|scale_test)/[a-z_]+)(?:\.py)?`")
CONSTANT = re.compile(r"`([A-Z]+(?:_[A-Z0-9]+)+)`")
RULE = re.compile(r"`([a-z_]+)\.([A-Za-z_]+(?:\.[a-z_]+)?)`")
ENVIRONMENT_VARIABLES = {"RELAY_CONFIG"}


@pytest.mark.parametrize("page", PAGES)
def test_the_modules_that_a_page_names_exist(page: str) -> None:
    names = MODULE.findall((ROOT / page).read_text())
    assert names
    folders = (ROOT, ROOT / "loadbalancer")
    assert [name for name in names if not any((folder / f"{name}.py").is_file() for folder in folders)] == []


def test_the_constants_that_the_architecture_names_exist() -> None:
    code = "\n".join(path.read_text() for path in ROOT.glob("loadbalancer/**/*.py"))
    defined = set(re.findall(r"^([A-Z][A-Z0-9_]+)(?:: [^=]+)? =", code, re.MULTILINE))
    named = set(CONSTANT.findall((ROOT / "docs/ARCHITECTURE.md").read_text()))
    assert named - defined - ENVIRONMENT_VARIABLES == set()


def test_the_rules_that_the_architecture_names_exist() -> None:
    rules = RULE.findall((ROOT / "docs/ARCHITECTURE.md").read_text())
    policy_modules = {path.stem for path in ROOT.glob("loadbalancer/policy/*.py")}
    named = [(module, attributes) for module, attributes in rules if module in policy_modules]
    assert named
    for module, attributes in named:
        reduce(getattr, attributes.split("."), importlib.import_module(f"loadbalancer.policy.{module}"))
