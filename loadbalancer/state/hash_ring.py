"""Keys of a hash ring: a fixed, invertible hash of endpoint ids, and runs of consecutive keys.

All proxies compute the same keys from the same ids, so that each can tell the subsets of the others without
a message between them. The hash is a 64-bit mixer in the manner of SplitMix64: odd multiplications and
shifts, each of which can be undone. A ring therefore stores keys alone, and an endpoint's id is computed
from its key.
"""

from __future__ import annotations

from sortedcontainers import SortedList

RingKey = int  # an endpoint's place on a ring, from 0 to below KEY_SPACE: the hash of its id

KEY_SPACE = 1 << 64
ID_MULTIPLIER = 0x9E3779B97F4A7C15  # 2^64 divided by the golden ratio
MIX_MULTIPLIER = 0xBF58476D1CE4E5B9
SALT_MULTIPLIER = 0xD1B54A32D192ED03
OFFSET = 0x632BE59BD9B4E019  # so that id 0 with salt 0 doesn't have key 0
INVERSE_ID_MULTIPLIER = pow(ID_MULTIPLIER, -1, KEY_SPACE)
INVERSE_MIX_MULTIPLIER = pow(MIX_MULTIPLIER, -1, KEY_SPACE)


def mix64(number: int, salt: int) -> int:
    """Hash an id below 2^64 to 64 bits: the same on every proxy, whatever Python's own hash seed."""
    x = (number * ID_MULTIPLIER + salt * SALT_MULTIPLIER + OFFSET) % KEY_SPACE
    x = (x ^ (x >> 29)) * MIX_MULTIPLIER % KEY_SPACE
    return x ^ (x >> 32)


def unit_hash(number: int, salt: int) -> float:
    """Hash an id below 2^64 to a number from 0 to 1."""
    return mix64(number, salt) / KEY_SPACE


def unmix64(key: RingKey) -> int:
    """Return the id whose `mix64` with salt 0 is this key."""
    x = (key ^ (key >> 32)) * INVERSE_MIX_MULTIPLIER % KEY_SPACE
    x = x ^ (x >> 29) ^ (x >> 58)
    return (x - OFFSET) * INVERSE_ID_MULTIPLIER % KEY_SPACE


def ring_slice(ring: SortedList[RingKey] | list[RingKey], first: int, count: int) -> list[RingKey]:
    """Return `count` consecutive keys from rank `first` on, wrapping round the end of the ring.

    Each key is returned at most once, so there are fewer where the ring is shorter; `first` may be any
    number, and is taken modulo the length of the ring.
    """
    length = len(ring)
    if not length:
        return []
    first, count = first % length, min(count, length)
    wrapped = max(0, first + count - length)
    if isinstance(ring, SortedList):
        return [*ring.islice(first, first + count), *ring.islice(0, wrapped)]
    return [*ring[first : first + count], *ring[:wrapped]]


def segment_ranks(ring: SortedList[RingKey], segment: int, segments: int) -> tuple[int, int]:
    """Return the ranks at which one of so many equal segments of the key space begins and ends."""
    length = KEY_SPACE // segments
    return ring.bisect_left(length * segment), ring.bisect_left(length * (segment + 1))
