"""The buffer into which the data of all connections is received."""

from __future__ import annotations

import asyncio

# What is read of one connection in an event loop turn: it bounds the time for which a peer that sends at full
# speed delays the others.
RECEIVE_BUFFER_BYTES = 32 * 1024

_buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """A protocol that receives into the shared buffer, and must not keep a reference to it.

    asyncio would allocate 256 KB for each read of a connection otherwise.
    """

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - asyncio's signature
        """Return the buffer for the next read."""
        return _buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what has been read."""
        self.data_received(_buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Handle data; its memory is overwritten after the return."""
        raise NotImplementedError
