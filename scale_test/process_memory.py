"""The memory of a process, as the kernel's status file has it."""

from __future__ import annotations

from pathlib import Path

BYTES_PER_KB = 1024


def resident_bytes(pid: int) -> int:
    """Resident bytes now."""
    return _status_bytes(pid, "VmRSS")


def peak_resident_bytes(pid: int) -> int:
    """Resident bytes at their peak so far."""
    return _status_bytes(pid, "VmHWM")


def _status_bytes(pid: int, key: str) -> int:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    line = next(line for line in lines if line.startswith(f"{key}:"))
    return int(line.split()[1]) * BYTES_PER_KB
