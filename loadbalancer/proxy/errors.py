"""Errors raised for invalid addresses and endpoint lists."""

from __future__ import annotations


class AddressError(ValueError):
    """A text is not an IP address and port; the message quotes the text."""


class EndpointListError(ValueError):
    """An endpoint list or one of its entries is invalid; the message says what is wrong."""
