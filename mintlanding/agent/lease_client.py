"""Calls to the key-value service for the lease of an agent's workers."""

from collections.abc import Callable, Iterable

import msgspec

from mintlanding.agent.context import AgentContext
from mintlanding.core.exceptions import PlatformError
from mintlanding.core.logs import Logger
from mintlanding.core.results import Failed
from mintlanding.placement.leases import (
    ClaimWorker,
    LeaseAction,
    OpenLease,
    RenewLease,
    StewardLeases,
)

STEWARDS_PREFIX = 'stewards/'

_logger = Logger('placement')


class StewardRecord(msgspec.Struct, frozen=True):
    """Record of a worker's steward in the key-value service."""

    instance: str
    incarnation: int


class LeaseClient:
    """Execute the actions of the leases and report the results to them."""

    def __init__(
        self,
        context: AgentContext,
        leases: StewardLeases,
        on_actions: Callable[[Iterable[LeaseAction]], None],
    ) -> None:
        """Pass actions that result from a reply to `on_actions`."""
        self._context = context
        self._leases = leases
        self._on_actions = on_actions

    async def execute(self, action: LeaseAction) -> None:
        match action:
            case OpenLease(seconds=seconds):
                await self._open_lease(seconds)
            case RenewLease(lease=lease):
                await self._renew_lease(lease)
            case ClaimWorker():
                await self._claim(action)

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
        own = self._context.own
        record = StewardRecord(own.instance, own.incarnation)
        fencing = 0
        try:
            outcome = await self._context.key_value.put(
                f'{STEWARDS_PREFIX}{action.worker}',
                msgspec.json.encode(record),
                0,
                action.lease,
            )
            if not isinstance(outcome, Failed):
                fencing = outcome.value
        except PlatformError as exc:
            _logger.warning('Worker claim failed.', reason=str(exc))
        self._on_actions(
            self._leases.worker_claimed(action.worker, action.lease, fencing),
        )

    async def revoke(self) -> None:
        lease = self._leases.lease
        if not lease:
            return
        try:
            await self._context.key_value.revoke_lease(lease)
        except PlatformError as exc:
            _logger.warning('Lease revocation failed.', reason=str(exc))
