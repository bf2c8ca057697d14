"""Orders, their records in the key-value service, and the terms."""

import hashlib
from dataclasses import dataclass
from enum import StrEnum

import msgspec

KEY_PREFIX = 'orders/'
MAX_KEY_CHARACTERS = 255


class IdempotencyState(StrEnum):
    """What is known of an order that was claimed."""

    claimed = 'claimed'
    done = 'done'
    unknown = 'unknown'


class StoredAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """An answer as it is given again to a repeated request.

    `is_cut` tells that the body was too large to keep.
    """

    status: int
    content_type: str = ''
    body: bytes = b''
    is_cut: bool = False


class IdempotencyRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """The value under an order's key; `until` is in wall-clock seconds.

    After `until` a claim whose end nobody has recorded counts as unknown.
    """

    claim_id: str
    fingerprint: str
    state: IdempotencyState
    until: float
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class IdempotencyOptions:
    """Periods in seconds, sizes in bytes.

    A claimed order may be sent for `send_within`, and its end is awaited for
    `claim_life`. Records stay for at least `keep`. `lease_use` is how long
    one lease takes new records. `tries` bounds the calls of one step,
    `unsettled` the ends that wait for the service, `abandoned` the remembered
    claims that were never sent.
    """

    send_within: float = 10
    claim_life: float = 120
    keep: float = 86400
    lease_use: float = 3600
    come_back: float = 1
    longest_body: int = 65536
    tries: int = 3
    unsettled: int = 200
    abandoned: int = 10000


@dataclass(frozen=True, slots=True)
class IdempotentRequest:
    """A call that must run once, with its caller's idempotency key."""

    workspace: str
    idempotency_key: str
    method: str
    path: str
    body: bytes = b''

    @property
    def storage_key(self) -> str:
        """Return where the order's record stands."""
        name = _digest(self.workspace.encode(), self.idempotency_key.encode())
        return f'{KEY_PREFIX}{name}'

    @property
    def fingerprint(self) -> str:
        """Return what tells this request from others under the same key."""
        return _digest(
            self.workspace.encode(),
            self.method.encode(),
            self.path.encode(),
            self.body,
        )


@dataclass(frozen=True, slots=True)
class Claim:
    """The right to send an order once, until `send_by` (monotonic)."""

    key: str
    index: int
    record: IdempotencyRecord
    send_by: float

    def may_send(self, now: float) -> bool:
        """Tell whether the first byte may still leave."""
        return now < self.send_by


@dataclass(frozen=True, slots=True)
class Replay:
    """The answer that an earlier request with the same key got."""

    answer: StoredAnswer


def _digest(*parts: bytes) -> str:
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
