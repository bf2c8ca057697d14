"""Report this entry's reservations to each new steward of a worker."""

import asyncio

from mintlanding.agent.messages import REPORT_PINS
from mintlanding.core.exceptions import PeerError
from mintlanding.core.logs import Logger
from mintlanding.entry.context import EntryContext
from mintlanding.entry.pins import Pins
from mintlanding.placement.messages import WorkerDigest

TIMEOUT_SECONDS = 1
RETRY_SECONDS = 0.3
ATTEMPTS = 10

_logger = Logger('entry')


class PinReporter:
    """Report pins when the fencing token of a worker rises."""

    def __init__(self, context: EntryContext, pins: Pins) -> None:
        """Subscribe to the digests of the entry's view."""
        self._pins = pins
        self._client = context.peers
        self._background = context.background
        self._instance = context.cfg.instance
        self._fencing: dict[str, int] = {}
        context.view.on_digest(self._on_digest)

    def _on_digest(self, digest: WorkerDigest) -> None:
        known = self._fencing.get(digest.worker, 0)
        if digest.fencing > known:
            self._fencing[digest.worker] = digest.fencing
            self._background.spawn(self._report(digest))

    async def _report(self, digest: WorkerDigest) -> None:
        for _ in range(ATTEMPTS):
            if self._fencing[digest.worker] != digest.fencing:
                return
            try:
                await self._client.call(
                    digest.steward_address,
                    REPORT_PINS,
                    self._pins.report(
                        digest.worker, self._instance, digest.fencing
                    ),
                    TIMEOUT_SECONDS,
                )
            except PeerError as exc:
                _logger.warning('Reporting pins failed.', reason=str(exc))
                await asyncio.sleep(RETRY_SECONDS)
            else:
                return
