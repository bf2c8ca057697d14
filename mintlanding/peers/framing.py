"""Receive messages of bounded size.

The library takes any length up to 4 GB from the frame and keeps what arrives,
so the length is checked here before the rest is read.
"""

import struct
from typing import Any

import msgspec

from mintlanding.peers.messages import Packed

_HEAD = struct.Struct('>?I')


async def receive_packed(stream: Any, limit: int) -> Packed | None:
    """Return the next message undecoded, or nothing at the stream's end.

    Raises msgspec.DecodeError for one that is too large, compressed or cut
    off.
    """
    raw = stream._stream  # noqa: SLF001, WPS437
    try:
        head = await raw.recv_data(_HEAD.size)
    except AssertionError as exc:
        raise msgspec.DecodeError('the message is cut off') from exc
    if not head:
        return None
    is_compressed, size = _HEAD.unpack(head)
    if is_compressed or size > limit:
        raise msgspec.DecodeError(f'a message of {size} bytes is refused')
    try:
        return Packed(await raw.recv_data(size))
    except AssertionError as cut:
        raise msgspec.DecodeError('the message is cut off') from cut
