"""Import rules between the parts of the package; imports for type annotations count as well."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
PACKAGE = "loadbalancer"
ALLOWED_BY_PART = {
    "state": {"state", "messages", "settings", "units"},
    "policy": {"policy", "state", "messages", "settings", "units"},
    "proxy": {"proxy", "state", "messages", "settings", "units"},
}


def module_name(path: Path) -> str:
    """Return the dotted name of a file of the package."""
    return ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")


SOURCES = {module_name(path): path.read_text() for path in ROOT.glob(f"{PACKAGE}/**/*.py")}


def imported_names(module: str) -> set[str]:
    """Return what a module imports as dotted names, also inside functions and under TYPE_CHECKING."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(SOURCES[module])):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{module} has a relative import"
            names |= {f"{node.module}.{alias.name}" for alias in node.names}
    return names


def imported_modules(module: str) -> set[str]:
    """Return the modules of the package that a module imports, or imports names from."""
    modules = set()
    for name in imported_names(module):
        if name.split(".")[0] == PACKAGE:
            modules.add(name if name in SOURCES else name.rpartition(".")[0])
    return modules


def part_of(module: str) -> str:
    """Return the package or module directly below `loadbalancer`; empty for `loadbalancer` itself."""
    return module.removeprefix(PACKAGE).removeprefix(".").split(".")[0]


@pytest.mark.parametrize("part", sorted(ALLOWED_BY_PART))
def test_a_part_imports_only_what_lies_below_it(part: str) -> None:
    forbidden = {
        f"{module} imports {imported}"
        for module in SOURCES
        if part_of(module) == part
        for imported in imported_modules(module)
        if part_of(imported) not in ALLOWED_BY_PART[part]
    }
    assert not forbidden


def test_state_policy_and_proxy_use_no_dynamic_imports() -> None:
    for module, source in SOURCES.items():
        if part_of(module) in ALLOWED_BY_PART:
            assert "importlib" not in source, module
            assert "__import__" not in source, module


def test_there_are_no_import_cycles() -> None:
    graph = {
        module: imported_modules(module) & set(SOURCES)
        for module in SOURCES
        if part_of(module) in ALLOWED_BY_PART
    }
    TopologicalSorter(graph).prepare()  # raises CycleError with the modules of a cycle
