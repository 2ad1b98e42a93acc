"""Logging of the process: one line a record on standard error, limited in rate."""

from __future__ import annotations

import logging
import time

MAX_LINES_PER_SECOND = 20


class LogRateLimiter(logging.Filter):
    """Lets `MAX_LINES_PER_SECOND` lines through, and says in the next second how many it dropped.

    Guards against a fault that logs a line a request and takes up the processor with it.
    """

    def __init__(self) -> None:
        super().__init__()
        self._second = 0  # that the counts are of, by the monotonic clock
        self._lines = 0
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write a record; the first of a second carries the count of dropped ones."""
        second = int(time.monotonic())
        if second != self._second:
            if self._dropped:
                record.msg = f"{record.getMessage()} ({self._dropped} lines left out)"
                record.args = ()
            self._second, self._lines, self._dropped = second, 0, 0
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
