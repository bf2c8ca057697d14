"""Receive messages of bounded size.

grpclib accepts any length up to 4 GB from the frame header and buffers the
message, so the length is checked here before the message is read.
"""

import struct
from typing import Any

import msgspec

from mintlanding.peers.messages import EncodedMessage

_FRAME_HEADER = struct.Struct('>?I')


async def receive_encoded(stream: Any, limit: int) -> EncodedMessage | None:
    """Return the next message undecoded, or None at the end of the stream.

    Raises msgspec.DecodeError for a message that is too large, compressed or
    truncated.
    """
    raw = stream._stream  # noqa: SLF001, WPS437
    try:
        header = await raw.recv_data(_FRAME_HEADER.size)
    except AssertionError as exc:
        raise msgspec.DecodeError('the message is truncated') from exc
    if not header:
        return None
    is_compressed, size = _FRAME_HEADER.unpack(header)
    if is_compressed or size > limit:
        raise msgspec.DecodeError(
            f'a message of {size} bytes is too large or compressed',
        )
    try:
        return EncodedMessage(await raw.recv_data(size))
    except AssertionError as cut:
        raise msgspec.DecodeError('the message is truncated') from cut
