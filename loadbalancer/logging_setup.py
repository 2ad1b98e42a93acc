"""Logging of the process: a line per record on standard error, with a rate limit."""

from __future__ import annotations

import logging
import time

MAX_LINES_PER_SECOND = 20


class LogRateLimiter(logging.Filter):
    """Passes `MAX_LINES_PER_SECOND` lines, and reports in the next second how many it dropped.

    A fault that logs a line per request must not use up the CPU.
    """

    def __init__(self) -> None:
        super().__init__()
        self._second = 0  # to which the counts belong, by the monotonic clock
        self._lines = 0
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write a record; the first of a second reports the count of dropped ones."""
        second = int(time.monotonic())
        if second != self._second:
            if self._dropped:
                record.msg = f"{record.getMessage()} ({self._dropped} lines left out)"
                record.args = ()
            self._second = second
            self._lines = 0
            self._dropped = 0
        self._lines += 1
        if self._lines <= MAX_LINES_PER_SECOND:
            return True
        self._dropped += 1
        return False


def configure_logging() -> None:
    """Write records from level INFO on to standard error, within the rate limit."""
    handler = logging.StreamHandler()
    handler.addFilter(LogRateLimiter())
    logging.basicConfig(
        level=logging.INFO, handlers=[handler], format="%(asctime)s %(levelname)s %(message)s"
    )
