"""Linear least-squares regression in which older samples lose weight exponentially."""

from __future__ import annotations

from typing import NamedTuple


class Moments(NamedTuple):
    """The moments of the weighted samples, from which a least-squares fit of y over x is computed."""

    mean_x: float
    mean_y: float
    variance_x: float
    covariance: float


class RunningRegression:
    """Maintains the sums of a least-squares fit of y over x.

    Each new sample multiplies the weights of all earlier samples by `decay`.
    """

    __slots__ = ("count", "decay", "sum_x", "sum_xx", "sum_xy", "sum_y")

    def __init__(self, decay: float) -> None:
        self.decay = decay
        self.count = 0.0  # sum of the weights of all samples
        self.sum_x = 0.0
        self.sum_y = 0.0
        self.sum_xx = 0.0
        self.sum_xy = 0.0

    def add(self, x: float, y: float) -> None:
        """Add a sample."""
        self.count = self.decay * self.count + 1.0
        self.sum_x = self.decay * self.sum_x + x
        self.sum_y = self.decay * self.sum_y + y
        self.sum_xx = self.decay * self.sum_xx + x * x
        self.sum_xy = self.decay * self.sum_xy + x * y

    def moments(self) -> Moments:
        """Return the means, the variance of x and the covariance.

        Raises:
            ZeroDivisionError: No sample has been added.
        """
        mean_x = self.sum_x / self.count
        mean_y = self.sum_y / self.count
        variance_x = self.sum_xx / self.count - mean_x**2
        covariance = self.sum_xy / self.count - mean_x * mean_y
        return Moments(mean_x=mean_x, mean_y=mean_y, variance_x=variance_x, covariance=covariance)
