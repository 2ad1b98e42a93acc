"""Start-up of the process: the delay before the proxy reports readiness, and garbage collection."""

from __future__ import annotations

import gc

# Limits the delay if the CPU limit is small: it is better to serve slowly than not to serve.
MAX_READINESS_DELAY_S = 1.0
# How long the system may throttle a process that has exceeded its CPU limit.
THROTTLING_DELAY_S = 0.15


def readiness_delay_s(cpu_cores: float, cpu_time_s: float) -> float:
    """Return how many seconds to delay readiness after a start that used this much CPU time.

    Until its average use is within the CPU limit again, the system may throttle the process, so it should not
    report readiness. The delay is at most `MAX_READINESS_DELAY_S`.

    Args:
        cpu_cores: The CPU limit, in cores. If it is 0, it is not known, and the delay is 0.
        cpu_time_s: The CPU time used so far, in seconds.
    """
    if cpu_cores <= 0:
        return 0.0
    return min(MAX_READINESS_DELAY_S, cpu_time_s / cpu_cores + THROTTLING_DELAY_S)


def freeze_heap() -> None:
    """Collect garbage once, then exempt all remaining objects from collection.

    With a long endpoint list, each collection that includes them takes long.
    """
    gc.collect()
    gc.freeze()
