"""Receive into one buffer that all connections of the process share."""

import asyncio

# A protocol without a buffer of its own gets blocks of 256 KiB, of which each
# read keeps a part. With many connections the heap is fragmented by them.
_READ_BYTES = 64 << 10
_shared = memoryview(bytearray(_READ_BYTES))


class ReceivingProtocol(asyncio.BufferedProtocol):
    """Gets each read as bytes of its exact size.

    The event loop runs on one thread and fills the buffer right before it
    reports what was received.
    """

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _shared

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was received."""
        self.data_received(bytes(_shared[:nbytes]))

    def data_received(self, chunk: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError
