"""Logging of the process: one line per record on standard error, with a rate limit."""

from __future__ import annotations

import logging
import time

MAX_LINES_PER_SECOND = 20


class LogRateLimiter(logging.Filter):
    """Passes at most `MAX_LINES_PER_SECOND` lines in each second and drops the others.

    The first line of a later second reports how many were dropped. The limit keeps a fault that logs a line
    for each request from using up the CPU.
    """

    def __init__(self) -> None:
        super().__init__()
        self._second = 0  # the second of the monotonic clock to which the counts belong
        self._lines = 0
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write a record; append the count of dropped ones to the first of a second."""
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
    """Write records of level INFO and above to standard error, within the rate limit."""
    handler = logging.StreamHandler()
    handler.addFilter(LogRateLimiter())
    logging.basicConfig(
        level=logging.INFO, handlers=[handler], format="%(asctime)s %(levelname)s %(message)s"
    )
