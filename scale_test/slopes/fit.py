"""The line through a figure's measured points, and the table of a subject."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from scale_test.slopes.inputs import Json

MILLISECOND_FROM_S = 1e-4  # shorter times are shown in microseconds
WHOLE_NUMBER_FROM = 100
NAME_WIDTH = 20
FIGURE_WIDTH = 11


@dataclass(frozen=True)
class Point:
    """A figure at a size."""

    size: float
    value: float


@dataclass(frozen=True)
class Slope:
    """How a figure grows: `base + each * size`, and its power of the size over the last two points."""

    base: float
    each: float
    power: float


def fit(points: Sequence[Point]) -> Slope:
    """Fit a line by least squares of the error relative to the size."""
    weights = [1 / point.size**2 for point in points]
    total = sum(weights)
    weighted = list(zip(weights, points, strict=True))
    mean_size = sum(weight * point.size for weight, point in weighted) / total
    mean_value = sum(weight * point.value for weight, point in weighted) / total
    variance = sum(weight * (point.size - mean_size) ** 2 for weight, point in weighted)
    covariance = sum(
        weight * (point.size - mean_size) * (point.value - mean_value) for weight, point in weighted
    )
    each = covariance / variance if variance else 0.0
    return Slope(mean_value - each * mean_size, each, growth_power(points))


def growth_power(points: Sequence[Point]) -> float:
    """The slope between the last two points on log-log axes; 0 where there is none."""
    if len(points) == 1:
        return 0.0
    before, last = points[-2:]
    if before.size == last.size or before.value <= 0 or last.value <= 0:
        return 0.0
    return math.log(last.value / before.value) / math.log(last.size / before.size)


def format_figure(value: float, name: str) -> str:
    """A figure with its unit, by the suffix of its name."""
    if name.endswith("_s"):
        if abs(value) >= MILLISECOND_FROM_S:
            return f"{value * 1e3:.3g} ms"
        return f"{value * 1e6:.3g} us"
    return f"{value:,.0f}" if abs(value) >= WHOLE_NUMBER_FROM else f"{value:.3g}"


def format_table(name: str, result: Json) -> str:
    """A subject's figures by size, each with its slope."""
    points = result["points"]
    lines = [[name, *(f"{point['size']:,}" for point in points), "each", "power"]]
    for key, slope in result["slopes"].items():
        values = [format_figure(point[key], key) for point in points]
        lines.append([key, *values, format_figure(slope["each"], key), f"{slope['power']:.2f}"])
    return "\n".join(format_line(line) for line in lines)


def format_line(cells: Sequence[str]) -> str:
    """One line of a table, its cells aligned to the right."""
    first, *others = cells
    return " ".join([f"{first:>{NAME_WIDTH}}", *(f"{cell:>{FIGURE_WIDTH}}" for cell in others)])
