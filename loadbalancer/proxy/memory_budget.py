"""The memory that connections may hold together, and its reclaim from the largest holders.

Each connection reports what it holds: parts of a message, a complete request, and output that its peer has
not taken yet. The accounts are sorted into size classes by powers of two, so that a large holder is found
without a walk over all connections.
"""

from __future__ import annotations

import resource
from collections import defaultdict
from enum import IntEnum
from pathlib import Path
from typing import Protocol

# Part of the free memory that connections to clients and endpoints may hold. The rest is left to copies of
# large messages while they are passed on, the allocator's fragmentation, endpoint lists and the policy.
CONNECTION_MEMORY_FRACTION = 0.25

# Part of the free memory that endpoint lists may hold while they are received.
LIST_MEMORY_FRACTION = 0.5

# Memory that an open connection takes itself: its objects in the proxy and in the event loop.
CONNECTION_OVERHEAD_BYTES = 3 * 1024

# Lower bound of both, however small the memory limit of the process is.
MIN_MEMORY_BYTES = 1024 * 1024

# Assumed where the configuration gives no memory limit.
DEFAULT_FREE_MEMORY_BYTES = 256 * 1024 * 1024

# Part of the limit that complete requests, which can't be reclaimed, may hold: responses need memory too.
MAX_PINNED_FRACTION = 0.5

STATM_RESIDENT_FIELD = 1


class MemoryUse(IntEnum):
    """What the memory of an account is used for; among holders of a similar size, the greatest goes first."""

    UNSENT_RESPONSE = 0  # a response that a client does not read
    ATTEMPT = 1  # a request that an endpoint does not read, or part of a response
    PARTIAL_REQUEST = 2  # a request of which the rest is due; it may be refused
    DISCOVERY = 3  # an endpoint list; it has a budget of its own


class MemoryHolder(Protocol):
    """A connection that holds memory."""

    def reclaim_memory(self) -> None:
        """Free the memory at once, and give up what it was used for."""


class MemoryBudget:
    """The memory that connections hold, with a limit; over the limit, the largest holders are reclaimed."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        """What all accounts hold together."""
        self.pinned_bytes = 0
        """The part of it that complete requests hold."""
        self._accounts_by_rank: defaultdict[int, dict[MemoryAccount, None]] = defaultdict(dict)
        self._reclaiming = False

    def open_account(self, holder: MemoryHolder) -> MemoryAccount:
        """Return a new account that holds nothing."""
        return MemoryAccount(self, holder)

    def change(self, account: MemoryAccount, old_rank: int | None, new_rank: int | None, growth: int) -> None:
        """Record that an account has grown or shrunk; reclaim memory if the limit is exceeded."""
        self.held_bytes += growth
        if old_rank != new_rank:
            if old_rank is not None:
                self._accounts_by_rank[old_rank].pop(account, None)
            if new_rank is not None:
                self._accounts_by_rank[new_rank][account] = None
        if growth > 0 and not self._reclaiming:
            self._reclaim()

    def may_pin(self, size_bytes: int) -> bool:
        """Return whether a complete request of this size may be kept."""
        return self.pinned_bytes + size_bytes <= MAX_PINNED_FRACTION * self.limit_bytes

    def _reclaim(self) -> None:
        self._reclaiming = True
        try:
            while self.held_bytes > self.limit_bytes:
                account = self._largest_account()
                if account is None:
                    return
                account.reclaim()
        finally:
            self._reclaiming = False

    def _largest_account(self) -> MemoryAccount | None:
        """Return the account that has been longest in the highest rank; None if all is pinned."""
        rank = max((rank for rank, accounts in self._accounts_by_rank.items() if accounts), default=None)
        return None if rank is None else next(iter(self._accounts_by_rank[rank]))


class MemoryAccount:
    """What one connection holds of the budget."""

    __slots__ = ("_budget", "_holder", "_pinned", "_rank", "held_bytes")

    def __init__(self, budget: MemoryBudget, holder: MemoryHolder) -> None:
        self._budget = budget
        self._holder = holder
        self._rank: int | None = None
        self._pinned = False
        self.held_bytes = 0

    def hold(self, size_bytes: int, use: MemoryUse) -> None:
        """Record that the connection holds `size_bytes` in all.

        If that exceeds the budget, memory of any connection is reclaimed, also of this one.
        """
        self._unpin()
        self._update(size_bytes, _rank(size_bytes, use))

    def try_pin(self, size_bytes: int) -> bool:
        """Record that the connection holds a complete request, which is not reclaimed.

        Returns:
            Whether there is memory for it; if not, the account holds nothing.
        """
        self.release()
        if not self._budget.may_pin(size_bytes):
            return False
        self._pinned = True
        self._budget.pinned_bytes += size_bytes
        self._update(size_bytes, None)
        return True

    def release(self) -> None:
        """Record that the connection holds nothing."""
        self._unpin()
        self._update(0, None)

    def reclaim(self) -> None:
        """Let the holder free its memory."""
        self.release()
        self._holder.reclaim_memory()

    def _unpin(self) -> None:
        if self._pinned:
            self._pinned = False
            self._budget.pinned_bytes -= self.held_bytes

    def _update(self, size_bytes: int, rank: int | None) -> None:
        growth = size_bytes - self.held_bytes
        old_rank = self._rank
        self.held_bytes = size_bytes
        self._rank = rank
        self._budget.change(self, old_rank, rank, growth)


def _rank(size_bytes: int, use: MemoryUse) -> int | None:
    """Return the rank for a size: by size class, then by use."""
    if size_bytes == 0:
        return None
    return size_bytes.bit_length() * len(MemoryUse) + use


def free_memory_bytes(memory_limit_bytes: int, resident_bytes: int, max_connections: int) -> int:
    """Return the memory that is free beside the process and its connections themselves.

    Args:
        memory_limit_bytes: The memory limit of the process.
        resident_bytes: What the process uses before it has any connection.
        max_connections: The limit on open connections to clients and endpoints together.
    """
    return memory_limit_bytes - resident_bytes - max_connections * CONNECTION_OVERHEAD_BYTES


def connection_memory_bytes(free_bytes: int) -> int:
    """Return the limit of what connections to clients and endpoints may hold together."""
    return max(MIN_MEMORY_BYTES, int(free_bytes * CONNECTION_MEMORY_FRACTION))


def list_memory_bytes(free_bytes: int) -> int:
    """Return the limit of what endpoint lists may hold together while they are received."""
    return max(MIN_MEMORY_BYTES, int(free_bytes * LIST_MEMORY_FRACTION))


def resident_memory_bytes() -> int:
    """Return the resident memory of this process, mapped files included; 0 if the system doesn't tell."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[STATM_RESIDENT_FIELD])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * resource.getpagesize()
