"""Addresses: parsing them, and storing them compactly."""

from __future__ import annotations

import socket

from loadbalancer.proxy.errors import AddressError

Address = tuple[str, int]  # host and port, as asyncio takes them
NO_ADDRESS: Address = ("", 0)  # of an endpoint that was removed
PackedAddress = int | Address  # an IPv4 address and port in one number: a third of the memory
PORT_BITS = 16
MAX_PORT = (1 << PORT_BITS) - 1
IPV4_BYTES = 4


def read_address(text: str) -> Address:
    """Parse an IP address and a port.

    A host name is not accepted: looking it up would block, and there is no DNS.

    Raises:
        AddressError: if the text is anything else.
    """
    return unpack_address(pack_address(text))


def pack_address(text: str) -> PackedAddress:
    """Parse an IP address and a port into the form in which many of them are stored.

    Raises:
        AddressError: if the text is anything else.
    """
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    is_ipv6 = ":" in host
    try:
        number = socket.inet_pton(socket.AF_INET6 if is_ipv6 else socket.AF_INET, host)
    except (OSError, ValueError) as error:
        raise _address_error(text) from error
    if not (port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        raise _address_error(text)
    if is_ipv6:
        return host, int(port)
    return int.from_bytes(number, "big") << PORT_BITS | int(port)


def _address_error(text: str) -> AddressError:
    return AddressError(f"no address: {text!r:.80}")


def unpack_address(packed: PackedAddress) -> Address:
    """Return a stored address as host and port."""
    if isinstance(packed, int):
        host = socket.inet_ntoa((packed >> PORT_BITS).to_bytes(IPV4_BYTES, "big"))
        return host, packed & MAX_PORT
    return packed
