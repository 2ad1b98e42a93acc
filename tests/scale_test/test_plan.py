"""Plans: the ordinary rate of changes, and what the machine is asked for at most."""

from __future__ import annotations

import pytest

from scale_test.errors import PlanError
from scale_test.plan import Plan


def test_an_ordinary_day_is_about_two_changes_a_second_at_the_target() -> None:
    assert Plan(upstreams=160_000).changes_a_second == pytest.approx(2.34, abs=0.01)
    assert Plan(upstreams=1_600).changes_a_second == pytest.approx(0.0234, abs=0.0001)
    assert Plan(changes=7.0).changes_a_second == 7.0


def test_a_plan_may_take_half_of_the_memory_and_200_processes() -> None:
    Plan(real=194, hollow=4, upstreams=50).check()
    with pytest.raises(PlanError, match="201 processes"):
        Plan(real=195, hollow=4, upstreams=50).check()
