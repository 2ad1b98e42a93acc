"""Errors in endpoint lists and configurations."""

from __future__ import annotations


class AddressError(ValueError):
    """A text is not an IP address and a port; the message quotes it."""


class EndpointListError(ValueError):
    """An endpoint list is not valid; the message names the member and its value."""
