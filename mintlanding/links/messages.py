"""Messages between instances over their links."""

import math
import zlib
from typing import Self, Union

import msgspec

from mintlanding.core.borders import ValueBounds, border
from mintlanding.core.bounds import (
    MAX_FINITE,
    MAX_STORE_NUMBER,
    Amount,
    SignedAmount,
    StoreNumber,
    Whole,
)
from mintlanding.core.exceptions import MemberDataInvalid, MessageUnexpected
from mintlanding.quarantine.messages import SuspectPart
from mintlanding.residency.messages import (
    AdmissionEnd,
    AdmissionReply,
    AdmissionRequest,
    WorkerDigest,
)
from mintlanding.streams.messages import (
    OriginNotice,
    OriginQuery,
    OriginReply,
)
from mintlanding.target_limits.messages import LimitReport

# Bytes of the largest frame of a link.
MAX_FRAME_BYTES = 1 << 20

# Version of the messages that this process understands. A member of a lower
# version closes its link when it receives a type that it does not know.
LINK_VERSION = 4
# First version with the messages about origins of streams.
ORIGINS_LINK_VERSION = 1
# First version whose readers leave out no change that a member may lack.
COMPLETE_UPDATES_LINK_VERSION = 2
# First version whose updates name the era of the store.
ERA_LINK_VERSION = 3
# First version that reads compressed updates.
COMPRESSION_LINK_VERSION = 4
# Speed matters more than size: a configuration shrinks to a tenth either way.
_COMPRESSION_LEVEL = 1


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """First message on a link; `proof` shows knowledge of the fleet's key.

    `incarnation` is a random id of the process.
    """

    instance: str
    incarnation: str
    proof: str


class Status(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Periodic status of an instance, sent to all members or to its hub.

    `sent_at` is a time of the sender's clock. A sender that cannot renew its
    lease sets `asks_consent`, to request the consent of the others to keeping
    its authority over workers. A `Consent` returns `sent_at`.
    `admitted` counts the tokens by workspace since the start, `levels` are the
    tokens left in the buckets of the quotas. `store_contact` is for how many
    seconds the sender has reached the store without interruption. `suspects`
    are parts of prompts under which engines crashed, `limits` what targets
    named as their limits to the sender, `requests` whole requests under which
    targets crashed, `brittle` how many refusals per second targets bear,
    `unreached` members from which the sender hears nothing. `store_era` is the
    era of the store, 0 if the sender knows of none, `era_age` for how many
    seconds it has lasted, 0 if the sender has not seen it change.
    """

    instance: str
    incarnation: str
    sent_at: Amount
    asks_consent: bool = False
    digests: tuple[WorkerDigest, ...] = ()
    admitted: dict[str, Amount] = {}
    levels: dict[str, SignedAmount] = {}
    is_leaving: bool = False
    store_contact: Amount = 0.0
    suspects: tuple[SuspectPart, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    requests: tuple[SuspectPart, ...] = ()
    leaving: tuple[tuple[str, Whole], ...] = ()
    brittle: tuple[LimitReport, ...] = ()
    unreached: tuple[str, ...] = ()
    store_era: StoreNumber = 0
    era_age: Amount = 0.0


class MemberStatus(msgspec.Struct, frozen=True, array_like=True):
    """The last status of a member that its hub has received."""

    instance: str
    incarnation: str
    sent_at: Amount
    asks_consent: bool = False


class ZoneStatus(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='ZoneWord',
):
    """Statuses of the members of a zone, aggregated by their hub.

    `admitted` is the sum over all processes that the zone ever had, `levels`
    the mean of the members, `store_contact` the longest of them, `suspects`,
    `limits`, `requests`, `leaving` and `brittle` what they report together.
    `unreached` names for members from which others they hear nothing.
    `store_era` and `era_age` are those of the hub, `asking_eras` the eras of
    the members that ask for consent.
    """

    zone: str
    hub: str
    hub_incarnation: str
    sent_at: Amount
    members: tuple[MemberStatus, ...] = ()
    digests: tuple[tuple[str, WorkerDigest], ...] = ()
    admitted: dict[str, Amount] = {}
    levels: dict[str, SignedAmount] = {}
    store_contact: Amount = 0.0
    suspects: tuple[SuspectPart, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    requests: tuple[SuspectPart, ...] = ()
    leaving: tuple[tuple[str, Whole], ...] = ()
    brittle: tuple[LimitReport, ...] = ()
    unreached: dict[str, tuple[str, ...]] = {}
    store_era: StoreNumber = 0
    era_age: Amount = 0.0
    asking_eras: dict[str, StoreNumber] = {}


class UseReport(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Workers and adapters that requests of an instance use.

    It lists only uses without a grant by the holder's current incarnation.
    """

    instance: str
    in_use: tuple[tuple[str, str], ...] = ()


class Consent(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Acknowledgement of the status sent at a time of the receiver's clock.

    It lets the receiver send orders to its workers for a while longer,
    although its lease cannot be renewed.
    """

    status_sent_at: Amount


class StoreChange(msgspec.Struct, frozen=True, array_like=True):
    """Write or removal of a key."""

    key: str
    revision: StoreNumber
    content: bytes = b''
    lease: StoreNumber = 0
    is_removed: bool = False


class StoreUpdate(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='StoreNews',
):
    """Changes of the store after one revision, up to and including another.

    Both are of one era, 0 if the sender knows of none.
    """

    after: StoreNumber
    as_of: StoreNumber
    changes: tuple[StoreChange, ...] = ()
    era: StoreNumber = 0


class CompressedUpdate(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A store update, encoded and compressed by zlib.

    The configuration of a fleet has hundreds of kilobytes; a reader of a zone
    sends it to each member over its own link to the network.
    """

    content: bytes

    @classmethod
    def of_update(cls, update: StoreUpdate) -> Self:
        """Compress an update."""
        encoded = msgspec.msgpack.encode(update)
        return cls(zlib.compress(encoded, _COMPRESSION_LEVEL))

    def update(self) -> StoreUpdate:
        """Return the update; raise MemberDataInvalid for any other content."""
        decompressor = zlib.decompressobj()
        try:
            encoded = decompressor.decompress(self.content, MAX_FRAME_BYTES)
        except zlib.error as exc:
            raise MemberDataInvalid(f'the update is not zlib: {exc}') from exc
        if not decompressor.eof:
            raise MemberDataInvalid(
                f'the update is cut or has over {MAX_FRAME_BYTES} bytes'
            )
        message = decode_message(encoded)
        if isinstance(message, StoreUpdate):
            return message
        raise MemberDataInvalid(f'{type(message).__name__} is not an update')


Message = Union[
    Hello,
    Status,
    ZoneStatus,
    UseReport,
    Consent,
    StoreUpdate,
    CompressedUpdate,
    AdmissionRequest,
    AdmissionReply,
    AdmissionEnd,
    OriginNotice,
    OriginQuery,
    OriginReply,
]

_DECODER = msgspec.msgpack.Decoder(Message)


@border(
    'message',
    MemberDataInvalid,
    # Waits may be infinite, and callers choose the ids of requests.
    ValueBounds(MAX_STORE_NUMBER, -MAX_FINITE, math.inf, MAX_FRAME_BYTES),
)
def decode_message(frame: bytes) -> Message:
    """Decode a message; raise MessageUnexpected for one of another version."""
    try:
        return _DECODER.decode(frame)
    except msgspec.ValidationError as exc:
        raise MessageUnexpected(str(exc)) from exc
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise MemberDataInvalid(f'the message is not msgpack: {exc}') from exc
