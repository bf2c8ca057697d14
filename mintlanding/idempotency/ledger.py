"""Claim orders in the key-value service, and record how they ended."""

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
    Own,
    examine,
    keep_answer,
    unavailable,
)
from mintlanding.idempotency.models import (
    Claim,
    IdempotencyOptions,
    IdempotencyRecord,
    IdempotencyState,
    IdempotentRequest,
    Replay,
    StoredAnswer,
)


@dataclass(frozen=True, slots=True)
class _Ending:
    """A claim and the record to write in its place; none deletes it."""

    claim: Claim
    record: IdempotencyRecord | None


class IdempotencyLedger:
    """One process's hold on the orders that it sends.

    A claim is written before the order is sent and is never taken by anybody
    else, so that an order is sent at most once whatever becomes of the
    claimant. Only the claimant itself knows that it has not sent and may
    delete its claim.
    """

    def __init__(
        self,
        service: KeyValueService,
        clock: Clock,
        options: IdempotencyOptions,
    ) -> None:
        """Begin with no claim."""
        self._service = service
        self._clock = clock
        self._options = options
        self._abandoned: OrderedDict[str, None] = OrderedDict()
        self._unsettled: OrderedDict[str, _Ending] = OrderedDict()
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
    def unsettled(self) -> int:
        """Return how many ends are still to be recorded."""
        return len(self._unsettled)

    async def claim(self, req: IdempotentRequest) -> Outcome[Claim | Replay]:
        """Claim an order before it is sent.

        A Claim is to be sent at once, and ended by `finish`, `release` or
        `mark_unknown`. A Replay is the answer of an earlier request. A failure
        says truly whether the order ran.
        """
        record = self._new_record(req)
        try:
            return await self._try_claim(req, record)
        except PlatformUnavailable as exc:
            self._abandon(record.claim_id)
            return unavailable(self._options, str(exc))

    async def finish(self, claim: Claim, answer: StoredAnswer) -> None:
        """Record the target's answer, for callers that ask again."""
        kept = keep_answer(answer, self._options.longest_body)
        await self._end(claim, _ended(claim, IdempotencyState.done, kept))

    async def mark_unknown(self, claim: Claim) -> None:
        """Record that the order was sent and its outcome is unknown."""
        await self._end(claim, _ended(claim, IdempotencyState.unknown, None))

    async def release(self, claim: Claim) -> None:
        """Give back a claim whose order has provably not run."""
        self._abandon(claim.record.claim_id)
        await self._end(claim, None)

    async def settle(self) -> None:
        """Try again to record the ends that the service did not take."""
        for _ in tuple(self._unsettled):
            await self._settle_one()

    async def _try_claim(
        self,
        req: IdempotentRequest,
        record: IdempotencyRecord,
    ) -> Outcome[Claim | Replay]:
        expected = CREATE_ONLY
        for _ in range(self._options.tries):
            lease = await self._current_lease()
            index = await self._put(req.storage_key, record, expected, lease)
            if index is not None:
                return Done(self._hold(req, record, index))
            entry = await self._service.get(req.storage_key)
            if entry is None:
                self._lease = ''
                expected = CREATE_ONLY
                continue
            finding = self._examine(entry, record)
            if isinstance(finding, Own):
                return Done(self._hold(req, record, entry.index))
            if not isinstance(finding, Abandoned):
                return _as_outcome(finding)
            expected = entry.index
        self._abandon(record.claim_id)
        return unavailable(self._options, 'the claim could not be settled')

    async def _put(
        self,
        key: str,
        record: IdempotencyRecord,
        expected: int,
        lease: str,
    ) -> int | None:
        """Return the new index; none asks the caller to read back."""
        packed = msgspec.msgpack.encode(record)
        try:
            outcome = await self._service.put(key, packed, expected, lease)
        except PlatformUnavailable:
            return None
        return outcome.value if isinstance(outcome, Done) else None

    async def _current_lease(self) -> str:
        now = self._clock.monotonic()
        if not self._lease or now >= self._lease_ends:
            life = self._options.keep + self._options.lease_use
            self._lease = await self._service.grant_lease(life)
            self._lease_ends = now + self._options.lease_use
        return self._lease

    async def _end(
        self, claim: Claim, record: IdempotencyRecord | None
    ) -> None:
        claim_id = claim.record.claim_id
        try:
            outcome = await self._write_end(claim, record)
        except PlatformUnavailable:
            self._unsettled[claim_id] = _Ending(claim, record)
            _trim(self._unsettled, self._options.unsettled)
            return
        if isinstance(outcome, Failed):
            self._lease = ''
        self._unsettled.pop(claim_id, None)
        await self._settle_one()

    async def _settle_one(self) -> None:
        """Record one more end while the service answers."""
        if not self._unsettled:
            return
        _, ending = self._unsettled.popitem(last=False)
        try:
            await self._write_end(ending.claim, ending.record)
        except PlatformUnavailable:
            self._unsettled[ending.claim.record.claim_id] = ending

    async def _write_end(
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
            return Failed.of(ResultCode.outcome_unknown, 'unreadable record')
        return examine(found, record, self._abandoned, self._clock.wall())

    def _hold(
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
            until=self._clock.wall() + self._options.claim_life,
        )

    def _abandon(self, claim_id: str) -> None:
        self._abandoned[claim_id] = None
        _trim(self._abandoned, self._options.abandoned)


def _ended(
    claim: Claim,
    state: IdempotencyState,
    answer: StoredAnswer | None,
) -> IdempotencyRecord:
    return msgspec.structs.replace(claim.record, state=state, answer=answer)


def _trim(ids: OrderedDict[str, Any], longest: int) -> None:
    while len(ids) > longest:
        ids.popitem(last=False)


def _as_outcome(finding: Replay | Failed) -> Outcome[Claim | Replay]:
    if isinstance(finding, Replay):
        return Done(finding)
    return finding
