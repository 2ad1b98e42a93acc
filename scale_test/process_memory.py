"""Reads the memory use of a process from `/proc/<pid>/status`."""

from __future__ import annotations

from pathlib import Path

BYTES_PER_KB = 1024


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process now, in bytes."""
    return _status_bytes(pid, "VmRSS")


def peak_resident_bytes(pid: int) -> int:
    """Return the highest resident memory of a process so far, in bytes."""
    return _status_bytes(pid, "VmHWM")


def _status_bytes(pid: int, key: str) -> int:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    line = next(line for line in lines if line.startswith(f"{key}:"))
    return int(line.split()[1]) * BYTES_PER_KB
