"""Calls to the key-value service for the lease of an agent's workers."""

from collections.abc import Callable, Iterable

import msgspec

from mintlanding.agent.context import AgentContext
from mintlanding.coordination.keyvalue import CREATE_ONLY
from mintlanding.core.exceptions import PlatformError
from mintlanding.core.logs import Logger
from mintlanding.core.results import Failed
from mintlanding.placement.leases import (
    ClaimWorker,
    DropRecord,
    LeaseAction,
    OpenLease,
    RenewLease,
    StewardLeases,
)

STEWARDS_PREFIX = 'stewards/'

_logger = Logger('placement')


class StewardRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Record of a worker's steward in the key-value service.

    It ends with `lease`; a record without one was written by an older build.
    `fencing` is a lower bound of the token: above all tokens known before.
    """

    instance: str
    incarnation: int
    lease: str = ''
    fencing: int = 0


class LeaseClient:
    """Execute the actions of the leases and report the results to them."""

    def __init__(
        self,
        context: AgentContext,
        leases: StewardLeases,
        on_actions: Callable[[Iterable[LeaseAction]], None],
        known_token: Callable[[str], int],
    ) -> None:
        """Pass actions that result from a reply to `on_actions`.

        `known_token` returns the highest known token of a worker, 0 if none.
        """
        self._context = context
        self._leases = leases
        self._on_actions = on_actions
        self._known_token = known_token

    async def execute(self, action: LeaseAction) -> None:
        match action:
            case OpenLease(seconds=seconds):
                await self._open_lease(seconds)
            case RenewLease(lease=lease):
                await self._renew_lease(lease)
            case ClaimWorker():
                await self._claim(action)
            case DropRecord():
                await self._drop(action)

    async def _open_lease(self, seconds: float) -> None:
        try:
            lease = await self._context.key_value.grant_lease(seconds)
        except PlatformError as exc:
            _logger.warning('Lease grant failed.', reason=str(exc))
            lease = ''
        self._leases.lease_opened(lease, self._context.now)

    async def _renew_lease(self, lease: str) -> None:
        try:
            is_kept = await self._context.key_value.renew_lease(lease)
        except PlatformError as exc:
            _logger.warning('Lease renewal failed.', reason=str(exc))
            self._leases.renewal_unanswered()
            return
        self._on_actions(self._leases.lease_renewed(lease, is_kept))

    async def _claim(self, action: ClaimWorker) -> None:
        try:
            fencing = await self._create_record(action)
        except PlatformError as exc:
            _logger.warning('Worker claim failed.', reason=str(exc))
            fencing = None
        if fencing is None:
            self._leases.claim_unanswered(action.worker, action.lease)
            return
        self._on_actions(
            self._leases.worker_claimed(action.worker, action.lease, fencing),
        )

    async def _create_record(self, action: ClaimWorker) -> int | None:
        """Return the fencing token, 0 if there is another steward.

        None means that the claim has to be repeated.
        """
        known = self._known_token(action.worker)
        record = self._record(action.lease, known + 1 if known else 0)
        outcome = await self._context.key_value.put(
            _key(action.worker),
            msgspec.json.encode(record),
            CREATE_ONLY,
            action.lease,
        )
        if not isinstance(outcome, Failed):
            return max(outcome.value, record.fencing)
        return await self._read_back(action) if action.may_be_own else 0

    async def _read_back(self, action: ClaimWorker) -> int | None:
        key_value = self._context.key_value
        entry = await key_value.get(_key(action.worker))
        if entry is None:
            return None
        record = msgspec.json.decode(entry.value, type=StewardRecord)
        own = self._record(record.lease, record.fencing)
        if record != own:
            return 0
        if record.lease == action.lease:
            return max(entry.index, record.fencing)
        await key_value.delete(entry.key, entry.index)
        return None

    async def _drop(self, action: DropRecord) -> None:
        is_done = True
        try:
            await self._delete_record(action)
        except PlatformError as exc:
            _logger.warning('Worker record not deleted.', reason=str(exc))
            is_done = False
        self._leases.record_dropped(action.worker, action.lease, is_done)

    async def _delete_record(self, action: DropRecord) -> None:
        key_value = self._context.key_value
        entry = await key_value.get(_key(action.worker))
        if entry is None:
            return
        record = msgspec.json.decode(entry.value, type=StewardRecord)
        if record == self._record(action.lease, record.fencing):
            await key_value.delete(entry.key, entry.index)

    def _record(self, lease: str, fencing: int) -> StewardRecord:
        own = self._context.own
        return StewardRecord(own.instance, own.incarnation, lease, fencing)

    async def revoke(self) -> None:
        lease = self._leases.lease
        if not lease:
            return
        try:
            await self._context.key_value.revoke_lease(lease)
        except PlatformError as exc:
            _logger.warning('Lease revocation failed.', reason=str(exc))


def _key(worker: str) -> str:
    return f'{STEWARDS_PREFIX}{worker}'
