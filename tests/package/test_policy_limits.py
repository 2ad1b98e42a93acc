"""The operators' limits on the policy's source, the example in the README, and former package names."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
POLICY_FILES = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
LINES_BY_FILE = {name: (ROOT / name).read_text().splitlines() for name in POLICY_FILES}
LINES = [line for text in LINES_BY_FILE.values() for line in text]


MAX_LINES_PER_MODULE = 200


def test_policy_modules_keep_within_200_lines_and_110_columns() -> None:
    too_long = {name for name, lines in LINES_BY_FILE.items() if len(lines) > MAX_LINES_PER_MODULE}
    assert not too_long
    assert max(map(len, LINES)) <= 110


def test_each_policy_file_names_its_interface_in_the_first_lines() -> None:
    assert "loadbalancer/policy/balancer.py" in POLICY_FILES
    assert all("loadbalancer/messages.py" in " ".join(text[:3]) for text in LINES_BY_FILE.values())


def test_the_policy_reads_no_clock_and_draws_from_seeded_generators_only() -> None:
    text = "\n".join(LINES)
    assert "import time" not in text
    assert "from time" not in text
    assert not [
        line
        for line in LINES
        if "random." in line and "random.Random" not in line and "rng.random" not in line
    ]


def test_the_readme_example_runs() -> None:
    text = (ROOT / "README.md").read_text()
    code = text.split("```python\n")[1].split("```")[0]
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stderr
    assert done.stdout.startswith("send r1 to endpoint ")


def test_former_package_names_do_not_appear() -> None:
    former_names = ("cress" + "plank", "lane" + "mux")
    files = [
        *ROOT.glob("loadbalancer/**/*.py"),
        *ROOT.glob("deploy/*"),
        ROOT / "pyproject.toml",
        ROOT / "README.md",
    ]
    assert not [f for f in files if f.is_file() and any(name in f.read_text() for name in former_names)]
