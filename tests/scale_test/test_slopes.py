"""The slopes tool: the fitted lines, and the figures of small runs.

Counts and sizes are checked, but not times, because they vary from run to run.
"""

from __future__ import annotations

import subprocess
from pathlib import Path

import orjson
import pytest
from click.testing import CliRunner

from scale_test.deployment import ROOT, read_deployment
from scale_test.slopes import process_subjects
from scale_test.slopes.__main__ import main
from scale_test.slopes.fit import Point, Slope, fit
from scale_test.slopes.inputs import endpoint_list, endpoint_row
from scale_test.slopes.subjects import SUBJECTS, measure


def test_fit_returns_the_line_and_the_power_of_growth() -> None:
    line = fit([Point(x, 3 + 2 * x) for x in (1, 10, 100, 1000)])
    assert line.base == pytest.approx(3)
    assert line.each == pytest.approx(2)
    assert fit([Point(x, x * x) for x in (1, 10, 100)]).power == pytest.approx(2)


def test_the_power_is_zero_for_zero_values_or_a_single_size() -> None:
    assert fit([Point(1, 0.0), Point(10, 0.0)]) == Slope(0, 0, 0)
    assert fit([Point(10, 5.0)]) == Slope(5, 0, 0)


@pytest.mark.parametrize(
    ("name", "expected"),
    [
        ("upstreams", {"list_b", "change_b", "memory_b", "objects", "change_s", "zone_s", "look_s"}),
        ("services", {"list_b", "change_b", "memory_b", "objects", "change_s", "zone_s", "look_s"}),
        ("tenants", {"config_b", "memory_b", "objects", "start_s", "look_s", "request_s"}),
        ("routes", {"config_b", "memory_b", "objects", "start_s", "look_s", "request_s"}),
        ("requests", {"open", "memory_b", "objects", "arrive_s", "end_s", "stall_s"}),
    ],
)
def test_a_small_run_has_every_size_and_figure(name: str, expected: set[str]) -> None:
    result = measure(name, (1, 2, 4))
    assert [point["size"] for point in result["points"]] == [1, 2, 4]
    assert expected <= set(result["slopes"])
    assert all(set(point) == {"size", *result["slopes"]} for point in result["points"])


def test_each_subject_has_four_sizes_that_span_a_factor_of_100() -> None:
    for subject in SUBJECTS.values():
        assert len(subject.sizes) >= 4
        assert subject.sizes[-1] >= 100 * subject.sizes[0]


def test_list_bytes_and_open_requests_match_the_inputs() -> None:
    points = measure("upstreams", (50, 100))["points"]
    row_bytes = [len(orjson.dumps(endpoint_row(i))) + 1 for i in range(100)]  # and the comma or bracket
    envelope_bytes = len(orjson.dumps(endpoint_list([]))) - 1
    assert [point["list_b"] for point in points] == [
        envelope_bytes + sum(row_bytes[:50]),
        envelope_bytes + sum(row_bytes),
    ]
    assert [point["open"] for point in measure("requests", (3, 30))["points"]] == [3, 30]


def test_results_are_added_to_the_file(tmp_path: Path) -> None:
    file = tmp_path / "slopes.json"
    for name in ("tenants", "requests"):
        result = CliRunner().invoke(main, [name, "--sizes", "2,4", "--json", str(file)])
        assert result.exit_code == 0, result.output
        assert result.output.split()[0] == name
    content = orjson.loads(file.read_bytes())
    assert set(content["subjects"]) == {"tenants", "requests"}
    assert content["balancer"]
    assert "tool" in content


@pytest.fixture(scope="module")
def built() -> None:
    subprocess.run(["/bin/sh", "-c", read_deployment().build], cwd=ROOT, check=True, timeout=600)


@pytest.mark.usefixtures("built")
def test_a_real_balancer_accepts_a_list_and_its_changes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(process_subjects, "QUIET_S", 0.4)
    figures = process_subjects.process(8)
    assert figures["taken"] == 1
    assert figures["list_b"] > 8 * 100
    assert figures["change_b"] > 100


@pytest.mark.usefixtures("built")
def test_a_real_balancer_holds_concurrent_requests_open() -> None:
    figures = process_subjects.connections(3)
    assert (figures["upstream_connections"], figures["served"]) == (3, 3)
