"""Frames of a path: a length of four bytes, then as many bytes.

A frame without bytes tells that the target has ended its connection in order.
"""

import struct

from mintlanding.core.borders import border

_LENGTH = struct.Struct('>I')
# Bytes of the largest frame; a target's bytes come in smaller pieces.
MAX_FRAME_BYTES = 1 << 20
END = _LENGTH.pack(0)


class FrameTooLarge(ValueError):
    """Raised for a frame over the limit."""


def frame(payload: bytes) -> bytes:
    """Return the frame of some bytes."""
    return _LENGTH.pack(len(payload)) + payload


class FrameBuffer:
    """Received bytes, up to the next whole frame."""

    def __init__(self) -> None:
        """Start empty."""
        self._buffer = bytearray()

    def feed(self, chunk: bytes) -> None:
        """Add received bytes."""
        self._buffer += chunk

    @border('path-frame', FrameTooLarge)
    def take(self) -> bytes | None:
        """Return the next whole frame, None until there is one."""
        if len(self._buffer) < _LENGTH.size:
            return None
        size = int(_LENGTH.unpack_from(self._buffer)[0])
        if size > MAX_FRAME_BYTES:
            raise FrameTooLarge(
                f'a frame of {size} bytes; at most {MAX_FRAME_BYTES} are read',
            )
        end = _LENGTH.size + size
        if len(self._buffer) < end:
            return None
        found = bytes(self._buffer[_LENGTH.size : end])
        del self._buffer[:end]
        return found

    def drain(self) -> bytes:
        """Return and remove everything after the last frame."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        return rest
