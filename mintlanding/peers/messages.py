"""Remote methods with typed request and reply messages."""

from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import msgspec

RequestT = TypeVar('RequestT')
ReplyT = TypeVar('ReplyT')

MAX_MESSAGE_BYTES = 8 << 20


@dataclass(frozen=True, slots=True)
class Method(Generic[RequestT, ReplyT]):
    """A method that other processes can call; messages are msgspec structs.

    Unknown fields are skipped and new fields must have defaults, so that
    instances of two releases can communicate.
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
    """A message without fields."""


class EncodedMessage(bytes):  # noqa: WPS600
    """An encoded message."""


class MessagePackCodec:
    """Codec for grpclib: MessagePack, validated against the message type."""

    __content_subtype__ = 'msgpack'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message unless it is encoded already."""
        if isinstance(message, EncodedMessage):
            return message
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode and validate; raise msgspec.DecodeError for invalid data."""
        try:
            return msgspec.msgpack.decode(data, type=message_type)
        except RecursionError as exc:
            raise msgspec.DecodeError(
                'the message is nested too deeply',
            ) from exc
