"""Remembers the ids of requests that may have run and must not run again."""

from __future__ import annotations

from loadbalancer.units import NANOSECONDS_PER_SECOND

# A client that has left sends a request again within this time, if it does so at all.
REPEAT_WINDOW_NS = 10 * NANOSECONDS_PER_SECOND


class RecentRequestIds:
    """The ids of requests that ended in the last `REPEAT_WINDOW_NS`; times are on the monotonic clock.

    Only the hash of an id is kept, since clients choose the length of their ids.
    """

    def __init__(self) -> None:
        self._expires_at_ns: dict[int, int] = {}  # by hash, in the order of their expiry

    def __len__(self) -> int:
        return len(self._expires_at_ns)

    def add(self, request_id: bytes, now_ns: int) -> None:
        """Remember an id from now on."""
        self._forget_expired(now_ns)
        key = hash(request_id)
        self._expires_at_ns.pop(key, None)
        self._expires_at_ns[key] = now_ns + REPEAT_WINDOW_NS

    def contains(self, request_id: bytes, now_ns: int) -> bool:
        """Return whether an id is remembered."""
        self._forget_expired(now_ns)
        return hash(request_id) in self._expires_at_ns

    def _forget_expired(self, now_ns: int) -> None:
        while self._expires_at_ns:
            oldest = next(iter(self._expires_at_ns))
            if self._expires_at_ns[oldest] > now_ns:
                return
            del self._expires_at_ns[oldest]
