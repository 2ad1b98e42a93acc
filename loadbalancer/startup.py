"""What a start settles before the proxy is ready: processor time and garbage collection."""

from __future__ import annotations

import gc

MAX_CPU_DEBT_S = 1.0  # with a small share of a processor, serving slowly beats not serving
THROTTLING_DELAY_S = 0.15  # the system may stop an overspent process this long after it spent the time


def cpu_debt_s(cpu_cores: float, cpu_time_s: float) -> float:
    """Return the seconds until the processor time of the start is paid for out of the share of it.

    Guards against readiness on credit: the system stops a process that has overspent its share until it is
    even, and the first clients would wait out that stop. Harm: a restarted proxy is back some tenths of a
    second later; clients that come all the same are served.

    Args:
        cpu_cores: the share of the processor, in cores; 0 if it is not known, which owes nothing.
        cpu_time_s: the processor time used so far.
    """
    if cpu_cores <= 0:
        return 0.0
    return min(MAX_CPU_DEBT_S, cpu_time_s / cpu_cores + THROTTLING_DELAY_S)


def freeze_heap() -> None:
    """Exempt all objects that exist now from garbage collection.

    Guards against pauses: a list of 160,000 endpoints would otherwise hold up all requests for some
    milliseconds at each full collection. Harm: cycles among these objects are never freed.
    """
    gc.collect()
    gc.freeze()
