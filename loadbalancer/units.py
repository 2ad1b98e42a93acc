"""Factors between units of time. The policy uses nanoseconds (`_ns`), the proxy also seconds (`_s`)."""

from __future__ import annotations

MILLISECONDS_PER_SECOND = 1_000
NANOSECONDS_PER_MICROSECOND = 1_000
NANOSECONDS_PER_MILLISECOND = 1_000_000
NANOSECONDS_PER_SECOND = 1_000_000_000
