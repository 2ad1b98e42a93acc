"""The budget of what connections hold: limits, and the choice of the holder that is reclaimed."""

from __future__ import annotations

import pytest

from loadbalancer.proxy.memory_budget import (
    DEFAULT_CONNECTION_MEMORY_BYTES,
    MIN_CONNECTION_MEMORY_BYTES,
    MemoryAccount,
    MemoryBudget,
    MemoryUse,
    connection_memory_bytes,
    resident_memory_bytes,
)

MEBIBYTE = 1024 * 1024


class Holder:
    """Records whether its memory was reclaimed."""

    def __init__(self, budget: MemoryBudget, use: MemoryUse = MemoryUse.PARTIAL_REQUEST) -> None:
        self.account: MemoryAccount = budget.open_account(self)
        self.reclaimed = False
        self._use = use

    def hold(self, size_bytes: int) -> None:
        self.account.hold(size_bytes, self._use)

    def reclaim_memory(self) -> None:
        self.reclaimed = True


def test_the_largest_holder_is_reclaimed_first() -> None:
    budget = MemoryBudget(1000)
    small, large, last = (Holder(budget) for _ in range(3))
    small.hold(100)
    large.hold(800)
    last.hold(200)
    assert [small.reclaimed, large.reclaimed, last.reclaimed] == [False, True, False]
    assert budget.held_bytes == 300


def test_a_holder_that_exceeds_the_budget_alone_is_reclaimed_itself() -> None:
    budget = MemoryBudget(1000)
    small, large = Holder(budget), Holder(budget)
    small.hold(100)
    large.hold(1001)
    assert [small.reclaimed, large.reclaimed] == [False, True]
    assert budget.held_bytes == 100


@pytest.mark.parametrize("first_use", [MemoryUse.ATTEMPT, MemoryUse.UNSENT_RESPONSE, MemoryUse.DISCOVERY])
def test_a_partial_request_is_reclaimed_before_others_of_its_size(first_use: MemoryUse) -> None:
    budget = MemoryBudget(1000)
    other, request, last = Holder(budget, first_use), Holder(budget), Holder(budget)
    other.hold(400)
    request.hold(400)
    last.hold(300)
    assert [other.reclaimed, request.reclaimed, last.reclaimed] == [False, True, False]


def test_an_endpoint_list_is_reclaimed_only_if_nothing_else_is_left() -> None:
    budget = MemoryBudget(1000)
    discovery, request = Holder(budget, MemoryUse.DISCOVERY), Holder(budget)
    request.hold(10)
    discovery.hold(995)
    assert [discovery.reclaimed, request.reclaimed] == [False, True]
    discovery.hold(1001)
    assert discovery.reclaimed
    assert budget.held_bytes == 0


def test_complete_requests_are_kept_up_to_their_part_of_the_budget() -> None:
    budget = MemoryBudget(1000)
    first, second, partial = (Holder(budget) for _ in range(3))
    assert first.account.try_pin(500)
    assert not second.account.try_pin(1)
    partial.hold(501)  # over the limit; the complete request stays
    assert [first.reclaimed, partial.reclaimed] == [False, True]
    first.account.release()
    assert (budget.held_bytes, budget.pinned_bytes) == (0, 0)
    assert second.account.try_pin(500)


def test_memory_that_is_freed_while_another_is_reclaimed_is_counted() -> None:
    budget = MemoryBudget(1000)

    class Retrying(Holder):
        """Lets another holder start when its own memory is reclaimed."""

        def reclaim_memory(self) -> None:
            super().reclaim_memory()
            other.hold(50)

    retrying, other, last = Retrying(budget), Holder(budget), Holder(budget)
    retrying.hold(900)
    last.hold(200)
    assert retrying.reclaimed
    assert budget.held_bytes == 250


def test_the_budget_depends_on_the_settings_of_the_process() -> None:
    def budget_bytes(memory_mb: int, max_connections: int = 992) -> int:
        return connection_memory_bytes(memory_mb * MEBIBYTE, 24 * MEBIBYTE, max_connections)

    assert MIN_CONNECTION_MEMORY_BYTES < budget_bytes(32) < 4 * MEBIBYTE
    assert 8 * MEBIBYTE < budget_bytes(192) < 84 * MEBIBYTE
    assert budget_bytes(32, max_connections=224) > budget_bytes(32)
    assert budget_bytes(8) == MIN_CONNECTION_MEMORY_BYTES
    assert budget_bytes(0) == DEFAULT_CONNECTION_MEMORY_BYTES


def test_the_resident_memory_of_this_process_is_known() -> None:
    assert resident_memory_bytes() > MEBIBYTE
