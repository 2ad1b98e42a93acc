"""The ids of endpoints inside the process, unique even if the hashes of two host names collide.

An id is a hash of the host name, so that all proxies give an endpoint the same id, in whatever order they
read their lists. If another host holds that id, the next free one is assigned; only then does the id
depend on the order.
"""

from __future__ import annotations

import hashlib
from array import array
from bisect import bisect_left
from collections.abc import Container

ID_BITS = 64
ID_SPACE = 1 << ID_BITS
ID_BYTES = 8
SEGMENT_BITS = 8
SEGMENTS = 1 << SEGMENT_BITS  # enough that an insertion into a segment and a sweep of one are cheap
FINGERPRINT_PERSON = b"fingerprint"  # makes the second hash of a name independent of the first


def preferred_id(host: str) -> int:
    """Return the id below 2^64 that a host prefers, the same in every process.

    Two hosts very rarely prefer the same id; `EndpointIdRegistry` then gives one of them another id.
    """
    return int.from_bytes(hashlib.blake2b(host.encode(), digest_size=ID_BYTES).digest(), "big")


def host_fingerprint(host: str) -> int:
    """Return a second hash of a host name, which distinguishes hosts that prefer the same id."""
    digest = hashlib.blake2b(host.encode(), digest_size=ID_BYTES, person=FINGERPRINT_PERSON).digest()
    return int.from_bytes(digest, "big")


class Segment:
    """The ids of one part of the id space, sorted, each with the fingerprint of the host that holds it."""

    __slots__ = ("fingerprints", "ids")

    def __init__(self) -> None:
        self.ids = array("Q")
        self.fingerprints = array("Q")

    def holder(self, endpoint_id: int) -> int | None:
        """Return the fingerprint of the host that holds an id; None if the id is free."""
        index = bisect_left(self.ids, endpoint_id)
        if index < len(self.ids) and self.ids[index] == endpoint_id:
            return self.fingerprints[index]
        return None

    def claim(self, endpoint_id: int, fingerprint: int) -> int:
        """Assign an id to a host by its fingerprint, if the id is free; return the holder's fingerprint."""
        index = bisect_left(self.ids, endpoint_id)
        if index < len(self.ids) and self.ids[index] == endpoint_id:
            return self.fingerprints[index]
        self.ids.insert(index, endpoint_id)
        self.fingerprints.insert(index, fingerprint)
        return fingerprint

    def delete(self, index: int) -> None:
        """Free the id at an index."""
        del self.ids[index]
        del self.fingerprints[index]


class EndpointIdRegistry:
    """Assigns an id to each host: the one it prefers or, if another host holds that, the next free one.

    A host is identified by two independent hashes of its name: the id that it prefers and its fingerprint.
    It holds its id until `sweep` finds that the id is no longer in use.
    """

    def __init__(self) -> None:
        self._segments = [Segment() for _ in range(SEGMENTS)]
        self._displaced: dict[int, int] = {}  # ids by fingerprint, of hosts without their preferred id
        self._next_swept_segment = 0

    def __len__(self) -> int:
        return sum(len(segment.ids) for segment in self._segments)

    def assign(self, preferred: int, fingerprint: int) -> int:
        """Return the id of a host, which is assigned if the host has none yet."""
        if fingerprint in self._displaced:
            return self._displaced[fingerprint]
        endpoint_id = preferred
        while self._segment(endpoint_id).claim(endpoint_id, fingerprint) != fingerprint:
            endpoint_id = (endpoint_id + 1) % ID_SPACE
        if endpoint_id != preferred:
            self._displaced[fingerprint] = endpoint_id
        return endpoint_id

    def find(self, preferred: int, fingerprint: int) -> int | None:
        """Return the id that a host holds, else its preferred id; None if that is another host's id."""
        if fingerprint in self._displaced:
            return self._displaced[fingerprint]
        holder = self._segment(preferred).holder(preferred)
        return preferred if holder in (None, fingerprint) else None

    def sweep(self, in_use: Container[int], segments: int = SEGMENTS) -> None:
        """Free the unused ids of the next `segments` segments; each call continues after the last one."""
        for _ in range(segments):
            self._sweep_segment(self._segments[self._next_swept_segment], in_use)
            self._next_swept_segment = (self._next_swept_segment + 1) % SEGMENTS

    def _segment(self, endpoint_id: int) -> Segment:
        return self._segments[endpoint_id >> (ID_BITS - SEGMENT_BITS)]

    def _sweep_segment(self, segment: Segment, in_use: Container[int]) -> None:
        unused = [index for index, endpoint_id in enumerate(segment.ids) if endpoint_id not in in_use]
        for index in reversed(unused):
            fingerprint = segment.fingerprints[index]
            if self._displaced.get(fingerprint) == segment.ids[index]:
                del self._displaced[fingerprint]
            segment.delete(index)
