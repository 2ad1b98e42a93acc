"""Gossip: datagrams between the proxies, which may be lost and are not acknowledged."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import cast

from loadbalancer.proxy.addresses import Address

log = logging.getLogger(__name__)

# Longer messages are dropped, both sent and received ones.
MAX_MESSAGE_BYTES = 256

# Recipient that stands for all peers.
ALL_PEERS = -1


class Gossip(asyncio.DatagramProtocol):
    """Sends messages to peers by index, and reports the messages received from the addresses of peers."""

    def __init__(
        self,
        peers: Sequence[Address],
        all_peers: Address | None,
        proxy_index: int,
        on_message: Callable[[int, bytes], None],
    ) -> None:
        """Set up gossip; nothing is sent until the socket is open.

        Args:
            peers: The addresses of all proxies, by index.
            all_peers: The address that reaches all peers at once; None if there is none.
            proxy_index: This proxy's own index; messages from its address are dropped.
            on_message: Called with the sender's index and the message.
        """
        self._peers = peers
        self._all_peers = all_peers
        self._index_by_address = {
            address: index for index, address in enumerate(peers) if index != proxy_index
        }
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for sending."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str | object, int]) -> None:
        """Report a message from a peer; drop messages from other addresses and those that are too long."""
        sender = self._index_by_address.get(cast(Address, address[:2]))
        if sender is not None and len(data) <= MAX_MESSAGE_BYTES:
            self._on_message(sender, data)

    def error_received(self, error: Exception) -> None:
        """Log that a message was not delivered; the peer may be down."""
        log.info("gossip: message to a peer not delivered: %s", error)

    def send(self, data: bytes, recipient: int) -> None:
        """Send a message to the peer with that index or to `ALL_PEERS`; drop it if it can't be sent."""
        address = self._address_of(recipient)
        if self._transport is not None and address is not None and len(data) <= MAX_MESSAGE_BYTES:
            self._transport.sendto(data, address)

    def _address_of(self, recipient: int) -> Address | None:
        if recipient <= ALL_PEERS:
            return self._all_peers
        return self._peers[recipient] if recipient < len(self._peers) else None

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
