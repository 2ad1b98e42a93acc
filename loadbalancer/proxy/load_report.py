"""Load reports: the figures on its load that an endpoint sends with answers or health checks."""

from __future__ import annotations

import json

# A larger figure in a load report has no meaning, and is ignored.
MAX_LOAD_FIGURE = 1e12


def parse_load_report(text: bytes | bytearray) -> dict[str, float] | None:
    """Return the numbers of a JSON object that a load can be, by their names.

    Values of other types, booleans, negative numbers and numbers without meaning are left out.

    Returns:
        The figures, or None if the text is no JSON object.
    """
    try:
        value = _parse_json(text)
    except ValueError:
        return None
    if not isinstance(value, dict):
        return None
    return {name: float(figure) for name, figure in value.items() if _is_load_figure(figure)}


def _parse_json(text: bytes | bytearray) -> object:
    """Return what a JSON text says.

    Raises:
        ValueError: It is no JSON, or nested too deep to be read.
    """
    try:
        return json.loads(text)
    except RecursionError:
        raise ValueError("nested too deep") from None


def _is_load_figure(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return 0 <= value <= MAX_LOAD_FIGURE  # which NaN is not, either
