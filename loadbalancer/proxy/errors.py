"""Errors in what discovery or the configuration says."""

from __future__ import annotations


class AddressError(ValueError):
    """A text is not an IP address and a port."""


class EndpointListError(ValueError):
    """An endpoint list can't be read."""
