"""Keep origins of streams in the store while a service runs several builds.

Members tell each other of origins, but all of them may be killed at once. Then
a stream can only be resumed at its build if the store tells which one that is.
"""

import asyncio

import msgspec

from mintlanding.coordination.transactional_store import (
    StoreBusy,
    Transaction,
    TransactionalStore,
    Write,
)
from mintlanding.core.exceptions import PlatformError
from mintlanding.core.logs import Logger
from mintlanding.node.clock import boot_seconds
from mintlanding.node.settings import NodeSettings
from mintlanding.node.stream_origins import StreamOrigins
from mintlanding.node.view import ORIGINS_PREFIX, FleetView

# Least seconds between writes while new streams begin; streams may last for a
# fraction of a second only.
_INTERVAL_SECONDS = 0.1
# Bytes per second of all writes; each one holds all origins.
_BYTES_PER_SECOND = 80_000
# Seconds after a failed write.
_BACKOFF_SECONDS = 2.0


class OriginRecords:
    """Write what the elected instance knows; restore it after a restart."""

    def __init__(
        self,
        cfg: NodeSettings,
        store: TransactionalStore,
        view: FleetView,
        origins: StreamOrigins,
    ) -> None:
        """Take the origins, which are recorded and restored."""
        self._store = store
        self._view = view
        self._origins = origins
        self._instance = cfg.facts.instance
        self._key = ORIGINS_PREFIX + self._instance
        # What the store has under the key, by this process.
        self._written = b''
        self._logger = Logger('streams')

    def restore(self) -> None:
        """Add the origins of the records to those known here."""
        for origins in self._view.stream_origins.values():
            self._origins.restore(origins)

    async def run(self) -> None:
        """Update the record until cancelled."""
        while True:
            pause = len(self._written) / _BYTES_PER_SECOND
            await asyncio.sleep(max(_INTERVAL_SECONDS, pause))
            try:
                await self._write()
            except (PlatformError, StoreBusy) as exc:
                self._logger.warning(
                    'Origins of streams not recorded.', reason=str(exc)
                )
                await asyncio.sleep(_BACKOFF_SECONDS)

    async def _write(self) -> None:
        origins = self._origins.to_record(boot_seconds())
        content = msgspec.msgpack.encode(origins) if origins else b''
        if not content:
            await self._delete()
            return
        is_recorder = self._origins.recorder() == self._instance
        if is_recorder and content != self._written:
            write = Write(self._key, content)
            await self._store.commit(Transaction({}, (write,)))
            self._written = content

    async def _delete(self) -> None:
        """Delete the record of this process or of one before it."""
        if self._written or self._key in self._view.stream_origins:
            await self._store.commit(Transaction({}, (), (self._key,)))
            self._written = b''
            self._view.stream_origins.pop(self._key, None)
