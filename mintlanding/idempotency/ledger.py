"""Claim idempotency keys in the key-value service and record results."""

import uuid
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any, Self

import msgspec

from mintlanding.coordination.keyvalue import (
    CREATE_ONLY,
    Entry,
    KeyValueService,
)
from mintlanding.core.clock import Clock
from mintlanding.core.exceptions import PlatformUnavailable
from mintlanding.core.results import Done, Failed, Outcome, ResultCode
from mintlanding.idempotency.decisions import (
    Abandoned,
    Finding,
    OwnRecord,
    examine,
    limit_body,
    unavailable,
)
from mintlanding.idempotency.models import (
    Claim,
    IdempotencyOptions,
    IdempotencyRecord,
    IdempotencyState,
    IdempotentRequest,
    Replay,
    StoredResponse,
)


@dataclass(frozen=True, slots=True)
class _PendingWrite:
    """A claim and the record that replaces it; None deletes the claim."""

    claim: Claim
    record: IdempotencyRecord | None


class IdempotencyLedger:
    """The claims and results of one process.

    A claim is written before the request is sent and is never taken over, so
    that the request is sent at most once even if the claimant crashes. Only the
    claimant knows that it has not sent the request and may delete its claim.
    """

    def __init__(
        self,
        service: KeyValueService,
        clock: Clock,
        options: IdempotencyOptions,
    ) -> None:
        """Start without claims."""
        self._service = service
        self._clock = clock
        self._options = options
        self._abandoned: OrderedDict[str, None] = OrderedDict()
        self._pending_writes: OrderedDict[str, _PendingWrite] = OrderedDict()
        self._lease = ''
        self._lease_ends = 0.0

    @classmethod
    def from_config(
        cls,
        service: KeyValueService,
        clock: Clock,
        options: IdempotencyOptions | None = None,
    ) -> Self:
        """Build the ledger of a process."""
        return cls(service, clock, options or IdempotencyOptions())

    @property
    def pending_writes(self) -> int:
        """Return how many results are still to be recorded."""
        return len(self._pending_writes)

    async def claim(self, req: IdempotentRequest) -> Outcome[Claim | Replay]:
        """Claim a request's key before the request is sent.

        The request of a Claim is to be sent at once, and its result recorded by
        `finish`, `release` or `mark_unknown`. A Replay is the response to an
        earlier request. The `ran` of a failure is reliable.
        """
        record = self._new_record(req)
        try:
            return await self._try_claim(req, record)
        except PlatformUnavailable as exc:
            self._abandon(record.claim_id)
            return unavailable(self._options, str(exc))

    async def finish(self, claim: Claim, answer: StoredResponse) -> None:
        """Record the target's response, for repeated requests."""
        kept = limit_body(answer, self._options.max_body_bytes)
        await self._record_result(
            claim, _with_result(claim, IdempotencyState.done, kept)
        )

    async def mark_unknown(self, claim: Claim) -> None:
        """Record that the request was sent and its outcome is unknown."""
        await self._record_result(
            claim, _with_result(claim, IdempotencyState.unknown, None)
        )

    async def release(self, claim: Claim) -> None:
        """Delete a claim whose request has provably not run."""
        self._abandon(claim.record.claim_id)
        await self._record_result(claim, None)

    async def retry_pending_writes(self) -> None:
        """Retry the writes of results that the service did not take."""
        for _ in tuple(self._pending_writes):
            await self._retry_one_write()

    async def _try_claim(
        self,
        req: IdempotentRequest,
        record: IdempotencyRecord,
    ) -> Outcome[Claim | Replay]:
        expected = CREATE_ONLY
        for _ in range(self._options.max_attempts):
            lease = await self._current_lease()
            index = await self._put(req.storage_key, record, expected, lease)
            if index is not None:
                return Done(self._make_claim(req, record, index))
            entry = await self._service.get(req.storage_key)
            if entry is None:
                self._lease = ''
                expected = CREATE_ONLY
                continue
            finding = self._examine(entry, record)
            if isinstance(finding, OwnRecord):
                return Done(self._make_claim(req, record, entry.index))
            if not isinstance(finding, Abandoned):
                return _as_outcome(finding)
            expected = entry.index
        self._abandon(record.claim_id)
        return unavailable(self._options, 'the claim could not be written')

    async def _put(
        self,
        key: str,
        record: IdempotencyRecord,
        expected: int,
        lease: str,
    ) -> int | None:
        """Return the new index; with None the record must be read back."""
        packed = msgspec.msgpack.encode(record)
        try:
            outcome = await self._service.put(key, packed, expected, lease)
        except PlatformUnavailable:
            return None
        return outcome.value if isinstance(outcome, Done) else None

    async def _current_lease(self) -> str:
        now = self._clock.monotonic()
        if not self._lease or now >= self._lease_ends:
            lifetime = self._options.retention + self._options.lease_reuse_time
            self._lease = await self._service.grant_lease(lifetime)
            self._lease_ends = now + self._options.lease_reuse_time
        return self._lease

    async def _record_result(
        self, claim: Claim, record: IdempotencyRecord | None
    ) -> None:
        claim_id = claim.record.claim_id
        try:
            outcome = await self._write_result(claim, record)
        except PlatformUnavailable:
            self._pending_writes[claim_id] = _PendingWrite(claim, record)
            _trim(self._pending_writes, self._options.max_pending_writes)
            return
        if isinstance(outcome, Failed):
            self._lease = ''
        self._pending_writes.pop(claim_id, None)
        await self._retry_one_write()

    async def _retry_one_write(self) -> None:
        """Retry one write, as long as the service responds."""
        if not self._pending_writes:
            return
        _, write = self._pending_writes.popitem(last=False)
        try:
            await self._write_result(write.claim, write.record)
        except PlatformUnavailable:
            self._pending_writes[write.claim.record.claim_id] = write

    async def _write_result(
        self,
        claim: Claim,
        record: IdempotencyRecord | None,
    ) -> Outcome[int]:
        if record is None:
            return await self._service.delete(claim.key, claim.index)
        lease = await self._current_lease()
        packed = msgspec.msgpack.encode(record)
        return await self._service.put(claim.key, packed, claim.index, lease)

    def _examine(self, entry: Entry, record: IdempotencyRecord) -> Finding:
        try:
            found = msgspec.msgpack.decode(entry.value, type=IdempotencyRecord)
        except msgspec.DecodeError:
            return Failed.of(
                ResultCode.outcome_unknown, 'the stored record is unreadable'
            )
        return examine(found, record, self._abandoned, self._clock.wall())

    def _make_claim(
        self,
        req: IdempotentRequest,
        record: IdempotencyRecord,
        index: int,
    ) -> Claim:
        send_by = self._clock.monotonic() + self._options.send_within
        return Claim(req.storage_key, index, record, send_by)

    def _new_record(self, req: IdempotentRequest) -> IdempotencyRecord:
        return IdempotencyRecord(
            claim_id=uuid.uuid4().hex,
            fingerprint=req.fingerprint,
            state=IdempotencyState.claimed,
            until=self._clock.wall() + self._options.claim_timeout,
        )

    def _abandon(self, claim_id: str) -> None:
        self._abandoned[claim_id] = None
        _trim(self._abandoned, self._options.max_abandoned)


def _with_result(
    claim: Claim,
    state: IdempotencyState,
    answer: StoredResponse | None,
) -> IdempotencyRecord:
    return msgspec.structs.replace(claim.record, state=state, answer=answer)


def _trim(ids: OrderedDict[str, Any], max_length: int) -> None:
    while len(ids) > max_length:
        ids.popitem(last=False)


def _as_outcome(finding: Replay | Failed) -> Outcome[Claim | Replay]:
    if isinstance(finding, Replay):
        return Done(finding)
    return finding
