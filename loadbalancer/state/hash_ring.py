"""Keys of a hash ring: a fixed, invertible hash of endpoint ids, and ranges of consecutive keys.

All proxies compute the same keys from the same ids, so that their subsets fit together without any messages
between them. The hash is a 64-bit mixer like SplitMix64: multiplications by odd numbers and xors with shifted
values, each of which is invertible. A ring therefore stores only keys; an endpoint's id is computed from its
key.
"""

from __future__ import annotations

from sortedcontainers import SortedList

RingKey = int  # the hash of an endpoint's id: its position on a ring, from 0 to below KEY_SPACE

KEY_BITS = 64
KEY_SPACE = 1 << KEY_BITS
ID_MULTIPLIER = 0x9E3779B97F4A7C15  # 2^64 divided by the golden ratio
MIX_MULTIPLIER = 0xBF58476D1CE4E5B9
SALT_MULTIPLIER = 0xD1B54A32D192ED03
MIX_OFFSET = 0x632BE59BD9B4E019  # without it, id 0 with salt 0 would have key 0
FIRST_SHIFT = 29
SECOND_SHIFT = 32  # at least half of KEY_BITS, so that the same shift inverts it
INVERSE_ID_MULTIPLIER = pow(ID_MULTIPLIER, -1, KEY_SPACE)
INVERSE_MIX_MULTIPLIER = pow(MIX_MULTIPLIER, -1, KEY_SPACE)


def mix64(number: int, salt: int) -> int:
    """Return a 64-bit hash of an id below 2^64, the same in every process."""
    x = (number * ID_MULTIPLIER + salt * SALT_MULTIPLIER + MIX_OFFSET) % KEY_SPACE
    x = (x ^ (x >> FIRST_SHIFT)) * MIX_MULTIPLIER % KEY_SPACE
    return x ^ (x >> SECOND_SHIFT)


def unit_hash(number: int, salt: int) -> float:
    """Return a hash of an id below 2^64 as a number from 0 to 1."""
    return mix64(number, salt) / KEY_SPACE


def unmix64(key: RingKey) -> int:
    """Return the id of a key: the inverse of `mix64` with salt 0."""
    x = (key ^ (key >> SECOND_SHIFT)) * INVERSE_MIX_MULTIPLIER % KEY_SPACE
    x = x ^ (x >> FIRST_SHIFT) ^ (x >> 2 * FIRST_SHIFT)
    return (x - MIX_OFFSET) * INVERSE_ID_MULTIPLIER % KEY_SPACE


def ring_slice(ring: SortedList[RingKey] | list[RingKey], first: int, count: int) -> list[RingKey]:
    """Return `count` consecutive keys from rank `first` on, continuing at the start after the last key.

    Each key is returned at most once, so a shorter ring gives fewer. `first` is taken modulo its length.
    """
    length = len(ring)
    if not length:
        return []
    start = first % length
    end = start + min(count, length)
    wrapped_count = max(0, end - length)
    if isinstance(ring, SortedList):
        return [*ring.islice(start, end), *ring.islice(0, wrapped_count)]
    return [*ring[start:end], *ring[:wrapped_count]]


def segment_ranks(ring: SortedList[RingKey], segment: int, segments: int) -> tuple[int, int]:
    """Return the ranks at which one of `segments` equal segments of the key space begins and ends."""
    length = KEY_SPACE // segments
    return ring.bisect_left(length * segment), ring.bisect_left(length * (segment + 1))
