"""Addresses: reading them, and holding them compactly."""

from __future__ import annotations

import socket

from loadbalancer.proxy.errors import EndpointListError

Address = tuple[str, int]
NOWHERE: Address = ("", 0)
Packed = int | Address  # an IPv4 address and port in one number: a third of what they take apart


def read_address(text: str) -> Address:
    """An IP address and a port. A name is none: looking it up would block, and there is no DNS."""
    return unpack_address(pack_address(text))


def pack_address(text: str) -> Packed:
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    six = ":" in host
    try:
        number = socket.inet_pton(socket.AF_INET6 if six else socket.AF_INET, host)
    except (OSError, ValueError):
        port = ""
    if not (port.isascii() and port.isdigit() and int(port) <= 65535):
        raise EndpointListError(f"no address: {text!r:.80}")
    return (host, int(port)) if six else int.from_bytes(number, "big") << 16 | int(port)


def unpack_address(packed: Packed) -> Address:
    if isinstance(packed, int):
        return socket.inet_ntoa((packed >> 16).to_bytes(4, "big")), packed & 0xFFFF
    return packed
