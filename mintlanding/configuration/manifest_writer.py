"""Write a planned commit: blobs first, then the swap of the manifest."""

import asyncio

from mintlanding.configuration.documents import MANIFEST_KEY
from mintlanding.configuration.layout import WritePlan
from mintlanding.configuration.models import Change
from mintlanding.coordination.keyvalue import KeyValueService
from mintlanding.core.exceptions import PlatformUnavailable
from mintlanding.core.results import Failed

CONCURRENT_CALLS = 4


class AnswerLost(PlatformUnavailable):
    """The swap of the manifest was sent and not answered."""

    def __init__(self, message: str, changes: tuple[Change, ...]) -> None:
        """Keep what the write would change."""
        super().__init__(message)
        self.revision = changes[0].revision
        self.changes = changes


class ManifestWriter:
    """Write to the key-value service; a lost answer of the swap is told."""

    def __init__(self, service: KeyValueService) -> None:
        """Write to a key-value service."""
        self._service = service

    async def put_blobs(self, plan: WritePlan) -> None:
        """Write the blobs; names are unique, so a repeated put is harmless."""
        limit = asyncio.Semaphore(CONCURRENT_CALLS)

        async def put(key: str, content: bytes) -> None:
            async with limit:
                await self._service.put(key, content)

        await asyncio.gather(*(put(*each) for each in plan.blobs.items()))

    async def swap(
        self,
        plan: WritePlan,
        changes: tuple[Change, ...],
        expected: int,
    ) -> int | None:
        """Return the new index, or nothing when another writer came first."""
        try:
            outcome = await self._service.put(
                MANIFEST_KEY,
                plan.content,
                expected=expected,
            )
        except PlatformUnavailable as exc:
            raise AnswerLost(str(exc), changes) from exc
        return None if isinstance(outcome, Failed) else outcome.value

    async def delete_retired(self, plan: WritePlan) -> None:
        """Delete what the new manifest no longer names.

        `collect_garbage` repairs.
        """
        try:
            for key in sorted(plan.retired):
                await self._service.delete(key)
        except PlatformUnavailable:
            return
