"""Errors of what discovery or the configuration says."""

from __future__ import annotations


class EndpointListError(ValueError):
    """What discovery said can't be read."""
