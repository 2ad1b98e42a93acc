"""Fits a line to the measured points of a figure, and formats a subject's results as a table."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from scale_test.slopes.inputs import Json

MILLISECOND_FROM_S = 1e-4  # shorter times are shown in microseconds
WHOLE_NUMBER_FROM = 100  # smaller values are shown with three significant digits
NAME_WIDTH = 20
FIGURE_WIDTH = 11


@dataclass(frozen=True)
class Point:
    """The value of a figure at one size."""

    size: float
    value: float


@dataclass(frozen=True)
class Slope:
    """How a figure grows with the size: the fitted line is `base + each * size`."""

    base: float
    each: float  # cost of one more, in the unit of the figure
    power: float  # exponent p: between the last two points, the figure grows as size**p


def fit(points: Sequence[Point]) -> Slope:
    """Fit a line by least squares; an error counts relative to the size of its point (weight 1 / size**2)."""
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
    """Return the slope between the last two points on log-log axes; 0 where it is undefined."""
    if len(points) == 1:
        return 0.0
    before, last = points[-2:]
    if before.size == last.size or before.value <= 0 or last.value <= 0:
        return 0.0
    return math.log(last.value / before.value) / math.log(last.size / before.size)


def format_figure(value: float, name: str) -> str:
    """Format a figure: times with their unit, by the `_s` suffix of the name, others as plain numbers."""
    if name.endswith("_s"):
        if abs(value) >= MILLISECOND_FROM_S:
            return f"{value * 1e3:.3g} ms"
        return f"{value * 1e6:.3g} us"
    return f"{value:,.0f}" if abs(value) >= WHOLE_NUMBER_FROM else f"{value:.3g}"


def format_table(name: str, result: Json) -> str:
    """Format a subject's figures as a table: the value at each size, then `each` and `power` of the slope."""
    points = result["points"]
    lines = [[name, *(f"{point['size']:,}" for point in points), "each", "power"]]
    for key, slope in result["slopes"].items():
        values = [format_figure(point[key], key) for point in points]
        lines.append([key, *values, format_figure(slope["each"], key), f"{slope['power']:.2f}"])
    return "\n".join(format_line(line) for line in lines)


def format_line(cells: Sequence[str]) -> str:
    """Format one line of a table with right-aligned cells."""
    first, *others = cells
    return " ".join([f"{first:>{NAME_WIDTH}}", *(f"{cell:>{FIGURE_WIDTH}}" for cell in others)])
