"""Messages that open a path to a target through a member."""

import hashlib
import hmac

import msgspec

from mintlanding.core.bounds import Amount, Whole

# Keeps the proof of one protocol from being used in another.
_PURPOSE = b'path:'


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


def path_proof(fleet_key: bytes, instance: str) -> str:
    """Return the proof that an instance knows the fleet's key."""
    message = _PURPOSE + instance.encode()
    return hmac.digest(fleet_key, message, hashlib.sha256).hex()
