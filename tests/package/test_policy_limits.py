"""The limits the users set for the module's text."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
POLICY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
TEXTS = {name: (ROOT / name).read_text().splitlines() for name in POLICY}
LINES = [line for text in TEXTS.values() for line in text]


def test_length() -> None:
    assert sum(bool(line.strip()) for line in LINES) <= 1200
    assert max(map(len, LINES)) <= 110


def test_names_its_interface_at_the_top() -> None:
    assert "loadbalancer/policy/balancer.py" in POLICY
    assert all("loadbalancer/messages.py" in " ".join(text[:3]) for text in TEXTS.values())


def test_reads_no_clock_and_no_unseeded_chance() -> None:
    text = "\n".join(LINES)
    assert "import time" not in text
    assert "from time" not in text
    assert not [
        line
        for line in LINES
        if "random." in line and "random.Random" not in line and "rng.random" not in line
    ]


def test_readme_example_runs() -> None:
    text = (ROOT / "README.md").read_text()
    code = text.split("```python\n")[1].split("```")[0]
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stderr
    assert done.stdout.startswith("send r1 to upstream ")


def test_no_name_of_the_old_package_is_left() -> None:
    old_names = ("cress" + "plank", "lane" + "mux")
    files = [
        *ROOT.glob("loadbalancer/**/*.py"),
        *ROOT.glob("deploy/*"),
        ROOT / "pyproject.toml",
        ROOT / "README.md",
    ]
    assert not [f for f in files if f.is_file() and any(name in f.read_text() for name in old_names)]
