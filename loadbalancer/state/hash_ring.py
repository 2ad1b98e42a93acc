"""Keys of a hash ring: fixed hashes of endpoint ids, and runs of keys."""

from __future__ import annotations

from sortedcontainers import SortedList

WORD = 1 << 64
SPREAD, STIR, STEP, START = 0x9E3779B97F4A7C15, 0xBF58476D1CE4E5B9, 0xD1B54A32D192ED03, 0x632BE59BD9B4E019
UNSPREAD, UNSTIR = pow(SPREAD, -1, WORD), pow(STIR, -1, WORD)
Key = int  # an upstream's place on a ring: its id, scrambled


def mixed(number: int, salt: int) -> int:
    """A fixed scramble of an id below 2^64: the same on every proxy, whatever the hash seed."""
    x = (number * SPREAD + salt * STEP + START) % WORD
    x = (x ^ (x >> 29)) * STIR % WORD
    return x ^ (x >> 32)


def unmixed(key: Key) -> int:
    """The id of which `mixed` makes this with salt 0."""
    x = (key ^ (key >> 32)) * UNSTIR % WORD
    x = x ^ (x >> 29) ^ (x >> 58)
    return (x - START) * UNSPREAD % WORD


def stretch(ring: SortedList[Key] | list[Key], first: int, count: int) -> list[Key]:
    """So many keys of a ring from a rank on, over its end to its start; none twice."""
    n = len(ring)
    if not n:
        return []
    first, count = first % n, min(count, n)
    if isinstance(ring, SortedList):
        return [*ring.islice(first, first + count), *ring.islice(0, max(0, first + count - n))]
    return [*ring[first : first + count], *ring[: max(0, first + count - n)]]
