"""Start-up of the process: the delay before the proxy reports readiness, and garbage collection."""

from __future__ import annotations

import gc

# With a small CPU limit, it is better to serve slowly than not to serve.
MAX_READINESS_DELAY_S = 1.0
# How long the system may throttle a process that has exceeded its CPU limit.
THROTTLING_DELAY_S = 0.15


def readiness_delay_s(cpu_cores: float, cpu_time_s: float) -> float:
    """Return after how many seconds the CPU time that the start used is within the CPU limit.

    Until then the system may throttle the process, so it should not report readiness.

    Args:
        cpu_cores: The CPU limit, in cores; 0 if it is not known, for which the result is 0.
        cpu_time_s: The CPU time used so far, in seconds.
    """
    if cpu_cores <= 0:
        return 0.0
    return min(MAX_READINESS_DELAY_S, cpu_time_s / cpu_cores + THROTTLING_DELAY_S)


def freeze_heap() -> None:
    """Exempt all existing objects from garbage collection, which takes long with a long endpoint list."""
    gc.collect()
    gc.freeze()
