"""Parsing of IP addresses with ports, and a compact form in which many of them are stored."""

from __future__ import annotations

import socket

from loadbalancer.proxy.errors import AddressError

Address = tuple[str, int]
"""Host and port, as asyncio takes them."""

CompactAddress = int | Address
"""An IPv4 address and port as one integer, under a third of the size; an IPv6 address as an `Address`."""

NO_ADDRESS: Address = ("", 0)  # stored for an endpoint that was removed
PORT_BITS = 16
MAX_PORT = (1 << PORT_BITS) - 1
IPV4_BYTES = 4
MAX_QUOTED_CHARACTERS = 80  # how much of an invalid address is quoted in the error


def parse_address(text: str) -> Address:
    """Parse an IP address and a port.

    Host names are not accepted: resolving them would block, and there is no DNS.

    Raises:
        AddressError: The text is not an IP address and a port.
    """
    return expand_address(parse_compact_address(text))


def parse_compact_address(text: str) -> CompactAddress:
    """Parse an IP address and a port into the compact form.

    Raises:
        AddressError: The text is not an IP address and a port.
    """
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    is_ipv6 = ":" in host
    try:
        packed_host = socket.inet_pton(socket.AF_INET6 if is_ipv6 else socket.AF_INET, host)
    except (OSError, ValueError) as error:
        raise _address_error(text) from error
    if not (port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        raise _address_error(text)
    if is_ipv6:
        return host, int(port)
    return int.from_bytes(packed_host, "big") << PORT_BITS | int(port)


def _address_error(text: str) -> AddressError:
    return AddressError(f"not an IP address and port: {text!r:.{MAX_QUOTED_CHARACTERS}}")


def expand_address(address: CompactAddress) -> Address:
    """Convert an address from the compact form to host and port."""
    if isinstance(address, int):
        host = socket.inet_ntoa((address >> PORT_BITS).to_bytes(IPV4_BYTES, "big"))
        return host, address & MAX_PORT
    return address
