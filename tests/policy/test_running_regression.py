"""The moments of the least-squares regression, with and without decay."""

from __future__ import annotations

import pytest

from loadbalancer.state.running_regression import RunningRegression


def test_without_decay_all_samples_count_the_same() -> None:
    regression = RunningRegression(1.0)
    for x, y in ((1.0, 5.0), (2.0, 7.0), (3.0, 9.0)):
        regression.add(x, y)
    moments = regression.moments()
    assert (moments.mean_x, moments.mean_y) == (2.0, 7.0)
    assert moments.variance_x == pytest.approx(2 / 3)
    assert moments.covariance == pytest.approx(2 * moments.variance_x)  # y = 2 x + 3


def test_earlier_samples_decay() -> None:
    regression = RunningRegression(0.5)
    regression.add(0.0, 0.0)
    regression.add(3.0, 6.0)
    assert regression.count == 1.5
    assert regression.moments().mean_x == 2.0
    assert regression.moments().mean_y == 4.0
