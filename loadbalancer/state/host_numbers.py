"""The number that stands for each host inside the process, unique also where two hosts' hashes collide."""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Container

NUMBER_BITS = 64
SEGMENT_BITS = 8
SEGMENTS = 1 << SEGMENT_BITS  # some 600 hosts in each at 160,000: cheap to insert into and to sweep


class Segment:
    """The numbers of one part of the range, sorted, each with the fingerprint of the host that holds it."""

    __slots__ = ("fingerprints", "numbers")

    def __init__(self) -> None:
        self.numbers = array("Q")
        self.fingerprints = array("Q")

    def holder(self, number: int) -> int | None:
        """The fingerprint of the host that holds a number; None where it is free."""
        index = bisect_left(self.numbers, number)
        if index < len(self.numbers) and self.numbers[index] == number:
            return self.fingerprints[index]
        return None

    def claim(self, number: int, fingerprint: int) -> int:
        """The fingerprint of the number's holder: from now on the given one, where the number was free."""
        index = bisect_left(self.numbers, number)
        if index < len(self.numbers) and self.numbers[index] == number:
            return self.fingerprints[index]
        self.numbers.insert(index, number)
        self.fingerprints.insert(index, fingerprint)
        return fingerprint

    def delete(self, index: int) -> None:
        del self.numbers[index], self.fingerprints[index]


class HostNumbers:
    """Assigns each host its number: the one it prefers or, where another host holds that, the next free one.

    A host is known by two independent hashes of its name: the number that it prefers and its fingerprint. It
    keeps its number until `sweep` finds that the number is no longer in use.
    """

    def __init__(self) -> None:
        self._segments = [Segment() for _ in range(SEGMENTS)]
        self._displaced: dict[int, int] = {}  # fingerprint to number, of hosts without their preferred number
        self._next_sweep = 0  # the segment

    def __len__(self) -> int:
        return sum(len(segment.numbers) for segment in self._segments)

    def assign(self, preferred: int, fingerprint: int) -> int:
        """The number of a host, which holds it from now on."""
        if fingerprint in self._displaced:
            return self._displaced[fingerprint]
        number = preferred
        while self._segment(number).claim(number, fingerprint) != fingerprint:
            number = (number + 1) % (1 << NUMBER_BITS)
        if number != preferred:
            self._displaced[fingerprint] = number
        return number

    def find(self, preferred: int, fingerprint: int) -> int | None:
        """The number of a host, which is not made its holder; None where another host holds it."""
        if fingerprint in self._displaced:
            return self._displaced[fingerprint]
        holder = self._segment(preferred).holder(preferred)
        return preferred if holder in (None, fingerprint) else None

    def sweep(self, in_use: Container[int], segments: int = SEGMENTS) -> None:
        """Free the numbers that are not in use in the next so many segments."""
        for _ in range(segments):
            self._sweep_segment(self._segments[self._next_sweep], in_use)
            self._next_sweep = (self._next_sweep + 1) % SEGMENTS

    def _segment(self, number: int) -> Segment:
        return self._segments[number >> (NUMBER_BITS - SEGMENT_BITS)]

    def _sweep_segment(self, segment: Segment, in_use: Container[int]) -> None:
        unused = [index for index, number in enumerate(segment.numbers) if number not in in_use]
        for index in reversed(unused):
            fingerprint = segment.fingerprints[index]
            if self._displaced.get(fingerprint) == segment.numbers[index]:
                del self._displaced[fingerprint]
            segment.delete(index)
