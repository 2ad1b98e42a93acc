"""Load reports: the figures that an endpoint sends in its responses to requests or to health checks."""

from __future__ import annotations

import json

# Larger figures are ignored.
MAX_LOAD_FIGURE = 1e12


def parse_load_report(text: bytes | bytearray) -> dict[str, float] | None:
    """Parse a load report.

    Returns:
        The numbers from 0 to `MAX_LOAD_FIGURE` by name, other values left out; None if the text is not a JSON
        object.
    """
    try:
        value = _parse_json(text)
    except ValueError:
        return None
    if not isinstance(value, dict):
        return None
    return {name: float(figure) for name, figure in value.items() if _is_load_figure(figure)}


def _parse_json(text: bytes | bytearray) -> object:
    """Parse JSON.

    Raises:
        ValueError: The text is not JSON, or nested too deeply.
    """
    try:
        return json.loads(text)
    except RecursionError:
        raise ValueError("nested too deeply") from None


def _is_load_figure(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return 0 <= value <= MAX_LOAD_FIGURE  # also False for NaN
