"""Messages between instances about the origins of streams."""

import msgspec

from mintlanding.core.borders import ValueBounds, border, decode_with
from mintlanding.core.bounds import MAX_RECORD_BYTES, Count, Whole
from mintlanding.core.exceptions import MemberDataInvalid


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """Service and build of the target that a stream's request was sent to.

    A later `attempt` of the same request replaces an earlier one.
    """

    request_id: str
    service: str
    build: str
    attempt: Count = 1


class OriginNotice(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Origin that the receiver keeps for other instances.

    Once the stream `has_begun`, no further attempt can replace the origin.
    """

    origin: StreamOrigin
    has_begun: bool = False


class OriginQuery(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Question for the origin of a stream; `number` returns in the reply."""

    number: Whole
    request_id: str


class OriginReply(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Reply to a query; without an origin the stream is not known."""

    number: Whole
    origin: StreamOrigin | None = None


_ORIGINS_DECODER = msgspec.msgpack.Decoder(tuple[StreamOrigin, ...])


@border('origins', MemberDataInvalid, ValueBounds(text_bytes=MAX_RECORD_BYTES))
def decode_origins(content: bytes) -> tuple[StreamOrigin, ...]:
    """Decode a record of origins; raise MemberDataInvalid."""
    return decode_with(_ORIGINS_DECODER.decode, content, MemberDataInvalid)
