"""Plans: the rate of list changes, and the limit on processes."""

from __future__ import annotations

import pytest

from scale_test.errors import PlanError
from scale_test.plan import Plan


def test_160000_upstreams_make_about_two_list_changes_per_second() -> None:
    assert Plan(upstreams=160_000).changes_a_second == pytest.approx(2.34, abs=0.01)
    assert Plan(upstreams=1_600).changes_a_second == pytest.approx(0.0234, abs=0.0001)
    assert Plan(changes=7.0).changes_a_second == 7.0


def test_a_plan_of_more_than_200_processes_is_rejected() -> None:
    Plan(real=194, hollow=4, upstreams=50).check()
    with pytest.raises(PlanError, match="201 processes"):
        Plan(real=195, hollow=4, upstreams=50).check()
