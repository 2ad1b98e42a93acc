"""How even all subsets are."""

from __future__ import annotations

import pytest

from scale_test import subset_balance


@pytest.mark.parametrize("zoned", [False, True])
def test_all_subsets_are_counted(zoned: bool) -> None:
    found = subset_balance.balance_figures(2000, 600, zoned=zoned)
    assert found["smallest subset"] <= found["largest subset"] <= 64
    assert not found["upstreams in no subset"]
    assert found["memberships"] == round(found["balancers an upstream, mean"] * 2000)
    assert 0 < found["moved by one upstream gone"] < found["memberships"] / 10
