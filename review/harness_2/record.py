"""The record of a case, and its verdict."""

from __future__ import annotations

import os
import time
from pathlib import Path

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_COULD_NOT_RUN = 2


class CouldNotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start, to `record.txt` of the case."""

    def __init__(self, folder: Path) -> None:
        """Empty the record of an earlier run."""
        self._start_s = time.monotonic()
        self._file = (folder / "record.txt").open("w")
        self.breaks: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._start_s

    def write(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{self.now():9.4f} {text}\n")
        self._file.flush()

    def broken(self, text: str) -> None:
        """Record that the rule was broken."""
        self.breaks.append(text)
        self.write(f"BROKEN: {text}")

    def verdict(self) -> int:
        """Write the verdict, and return the exit status of the case."""
        held = not self.breaks
        text = "the rule held" if held else f"the rule was broken {len(self.breaks)} times"
        self.write(f"VERDICT: {text}")
        print(text)
        for line in self.breaks[:5]:
            print(f"  {line}")
        return EXIT_HELD if held else EXIT_BROKEN


def has_trouble() -> bool:
    """Return whether the disruption is to be played: not with `TROUBLE=0` in the environment."""
    return os.environ.get("TROUBLE", "1") != "0"
