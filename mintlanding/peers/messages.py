"""Typed methods: a name and the messages that go in and out."""

from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import msgspec

RequestT = TypeVar('RequestT')
ReplyT = TypeVar('ReplyT')

MAX_MESSAGE_BYTES = 8 << 20


@dataclass(frozen=True, slots=True)
class Method(Generic[RequestT, ReplyT]):
    """A call between processes; messages are msgspec structs.

    Fields that a reader does not know are skipped and new fields have
    defaults, so that instances of two releases understand each other.
    """

    service: str
    name: str
    request: type[RequestT]
    reply: type[ReplyT]
    streaming: bool = False
    max_bytes: int = MAX_MESSAGE_BYTES

    @property
    def path(self) -> str:
        """Return the gRPC path."""
        return f'/mintlanding.{self.service}/{self.name}'


class Empty(msgspec.Struct, frozen=True):
    """A message without content."""


class Packed(bytes):  # noqa: WPS600
    """A message that is encoded already, or not decoded yet."""


class PackCodec:
    """Grpclib codec: msgpack, checked against the type of the message."""

    __content_subtype__ = 'msgpack'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message."""
        if isinstance(message, Packed):
            return message
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode and check; raise msgspec.DecodeError on any fault."""
        try:
            return msgspec.msgpack.decode(data, type=message_type)
        except RecursionError as exc:
            raise msgspec.DecodeError('nested too deeply') from exc
