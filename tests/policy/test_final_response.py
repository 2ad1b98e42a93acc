"""The final response of a request that is not served."""

from __future__ import annotations

import random

import pytest

from loadbalancer.messages import AttemptResult, Fail, Reject
from loadbalancer.policy.final_response import final_response, retry_after_ns
from loadbalancer.settings import Limits, RequestClass
from loadbalancer.units import NANOSECONDS_PER_SECOND
from tests.support.policy_harness import CELL_DEDUPLICATED, FULLY_DEDUPLICATED, PAY, READ
from tests.support.requests import add_attempt, make_request, make_state


@pytest.mark.parametrize(
    ("request_class", "may_have_run", "expected"),
    [
        (READ, True, Reject),
        (FULLY_DEDUPLICATED, True, Reject),
        (CELL_DEDUPLICATED, True, Fail),
        (PAY, True, Fail),
        (CELL_DEDUPLICATED, False, Reject),
        (PAY, False, Reject),
    ],
)
def test_a_request_is_rejected_only_if_a_retry_is_harmless(
    request_class: RequestClass, may_have_run: bool, expected: type
) -> None:
    request = make_request(request_class)
    add_attempt(request, make_state(), AttemptResult.RESET, may_have_run)
    assert isinstance(final_response(request, Limits(), random.Random(1)), expected)


def test_the_retry_after_is_jittered_and_no_longer_than_a_second() -> None:
    rng = random.Random(1)
    limits = Limits(retry_after=True, max_retry_after_ns=5 * NANOSECONDS_PER_SECOND)
    delays = [retry_after_ns(limits, rng) for _ in range(100)]
    assert min(delays) >= NANOSECONDS_PER_SECOND // 4
    assert max(delays) <= NANOSECONDS_PER_SECOND
    assert len(set(delays)) > 90


def test_the_retry_after_is_no_longer_than_clients_respect() -> None:
    rng = random.Random(1)
    assert all(
        retry_after_ns(Limits(retry_after=True, max_retry_after_ns=100), rng) <= 100 for _ in range(20)
    )


def test_a_random_number_is_drawn_whether_or_not_a_retry_after_is_sent() -> None:
    sent, not_sent = random.Random(1), random.Random(1)
    assert retry_after_ns(Limits(retry_after=True), sent) > 0
    assert retry_after_ns(Limits(retry_after=False), not_sent) == 0
    assert sent.getstate() == not_sent.getstate()
