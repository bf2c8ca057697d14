"""Idempotent requests, their stored records, and the options."""

import hashlib
from dataclasses import dataclass
from enum import StrEnum

import msgspec

KEY_PREFIX = 'orders/'
MAX_KEY_CHARACTERS = 255


class IdempotencyState(StrEnum):
    """What is known of a request whose key was claimed."""

    claimed = 'claimed'
    done = 'done'
    unknown = 'unknown'


class StoredResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """A response, stored to be returned to a repeated request.

    `is_cut` means that the body was too large to store.
    """

    status: int
    content_type: str = ''
    body: bytes = b''
    is_cut: bool = False


class IdempotencyRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """The stored value of an idempotency key; `until` is in wall-clock seconds.

    A claim without a recorded result counts as unknown after `until`.
    """

    claim_id: str
    fingerprint: str
    state: IdempotencyState
    until: float
    answer: StoredResponse | None = None


@dataclass(frozen=True, slots=True)
class IdempotencyOptions:
    """Times in seconds, sizes in bytes.

    A claimed request may be sent for `send_within`, and its result is awaited
    for `claim_timeout`. Records are kept for at least `retention`.
    `lease_reuse_time` is how long new records are put under one lease.
    `max_attempts` bounds the writes of one claim, `max_pending_writes` the
    results that wait for the service, `max_abandoned` the remembered claims
    whose requests were never sent.
    """

    send_within: float = 10
    claim_timeout: float = 120
    retention: float = 86400
    lease_reuse_time: float = 3600
    retry_after: float = 1
    max_body_bytes: int = 65536
    max_attempts: int = 3
    max_pending_writes: int = 200
    max_abandoned: int = 10000


@dataclass(frozen=True, slots=True)
class IdempotentRequest:
    """A call that must run at most once, with its caller's idempotency key."""

    workspace: str
    idempotency_key: str
    method: str
    path: str
    body: bytes = b''

    @property
    def storage_key(self) -> str:
        """Return the key of the record in the key-value service."""
        name = _digest(self.workspace.encode(), self.idempotency_key.encode())
        return f'{KEY_PREFIX}{name}'

    @property
    def fingerprint(self) -> str:
        """Return a hash to detect another request under the same key."""
        return _digest(
            self.workspace.encode(),
            self.method.encode(),
            self.path.encode(),
            self.body,
        )


@dataclass(frozen=True, slots=True)
class Claim:
    """The right to send a request once, until `send_by` (monotonic)."""

    key: str
    index: int
    record: IdempotencyRecord
    send_by: float

    def may_send(self, now: float) -> bool:
        """Return whether sending may still start."""
        return now < self.send_by


@dataclass(frozen=True, slots=True)
class Replay:
    """The response that an earlier request under the same key got."""

    answer: StoredResponse


def _digest(*parts: bytes) -> str:
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
