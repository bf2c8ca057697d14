"""Messages that open a path to a target through a member."""

import hashlib
import hmac

import msgspec

from mintlanding.core.borders import ValueBounds, border, decode_with
from mintlanding.core.bounds import MAX_FINITE, MAX_WHOLE, Amount, Whole
from mintlanding.core.exceptions import MemberDataInvalid
from mintlanding.paths.frames import MAX_FRAME_BYTES

# Keeps the proof of one protocol from being used in another.
_PURPOSE = b'path:'
# Callers choose the ids of requests.
_BOUNDS = ValueBounds(MAX_WHOLE, 0, MAX_FINITE, MAX_FRAME_BYTES)


class OpenPath(msgspec.Struct, frozen=True, array_like=True):
    """Request for a path to one run of a target.

    `seconds` is the time after which the path is of no use; `proof` shows
    knowledge of the fleet's key. `request_id` is that of the caller's request,
    for the logs.
    """

    instance: str
    proof: str
    target: str
    incarnation: Whole
    seconds: Amount
    request_id: str = ''


class PathReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to it; without a reason the path is open."""

    reason: str = ''


_REQUEST_DECODER = msgspec.msgpack.Decoder(OpenPath)
_REPLY_DECODER = msgspec.msgpack.Decoder(PathReply)


@border('path-request', MemberDataInvalid, _BOUNDS)
def decode_request(payload: bytes) -> OpenPath:
    """Decode the request for a path; raise MemberDataInvalid."""
    return decode_with(_REQUEST_DECODER.decode, payload, MemberDataInvalid)


@border('path-reply', MemberDataInvalid, _BOUNDS)
def decode_reply(payload: bytes) -> PathReply:
    """Decode the reply to it; raise MemberDataInvalid."""
    return decode_with(_REPLY_DECODER.decode, payload, MemberDataInvalid)


def path_proof(fleet_key: bytes, instance: str) -> str:
    """Return the proof that an instance knows the fleet's key."""
    message = _PURPOSE + instance.encode()
    return hmac.digest(fleet_key, message, hashlib.sha256).hex()
