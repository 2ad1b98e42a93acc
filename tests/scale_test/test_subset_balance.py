"""The figures of how evenly the subsets cover the upstreams."""

from __future__ import annotations

import pytest

from scale_test import subset_balance


@pytest.mark.parametrize("zoned", [False, True])
def test_the_figures_count_all_subsets(zoned: bool) -> None:
    figures = subset_balance.balance_figures(2000, 600, zoned=zoned)
    assert figures["smallest subset"] <= figures["largest subset"] <= 64
    assert not figures["upstreams in no subset"]
    assert figures["memberships"] == round(figures["balancers an upstream, mean"] * 2000)
    assert 0 < figures["moved by one upstream gone"] < figures["memberships"] / 10
