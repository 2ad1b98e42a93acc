"""Remembers the ids of requests that may have run and must not run again."""

from __future__ import annotations

from loadbalancer.units import NANOSECONDS_PER_SECOND

# A client that has left sends a request again within this time, if it does so at all.
REPEAT_WINDOW_NS = 5 * NANOSECONDS_PER_SECOND

# Limits the memory for ids. With more in one window, the oldest ones are forgotten earlier.
MAX_IDS_PER_WINDOW = 8192


class RecentRequestIds:
    """The ids of requests that ended in the last one to two windows; times are on the monotonic clock.

    Only the hash of an id is kept, since clients choose the length of their ids.
    """

    def __init__(self) -> None:
        self._current: set[int] = set()
        self._previous: set[int] = set()
        self._current_since_ns = 0

    def __len__(self) -> int:
        return len(self._current) + len(self._previous)

    def add(self, request_id: bytes, now_ns: int) -> None:
        """Remember an id from now on."""
        self._start_window_if_due(now_ns)
        self._current.add(hash(request_id))

    def contains(self, request_id: bytes, now_ns: int) -> bool:
        """Return whether an id is remembered."""
        self._start_window_if_due(now_ns)
        key = hash(request_id)
        return key in self._current or key in self._previous

    def _start_window_if_due(self, now_ns: int) -> None:
        age_ns = now_ns - self._current_since_ns
        if age_ns < REPEAT_WINDOW_NS and len(self._current) < MAX_IDS_PER_WINDOW:
            return
        self._previous = self._current if age_ns < 2 * REPEAT_WINDOW_NS else set()
        self._current = set()
        self._current_since_ns = now_ns
