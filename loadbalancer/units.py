"""Units of time in nanoseconds: all times of the policy and most of the proxy are whole nanoseconds."""

from __future__ import annotations

MS = 1_000_000
SECOND = 1_000_000_000
