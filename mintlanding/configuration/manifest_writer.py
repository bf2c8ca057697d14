"""Write a planned commit: blobs first, then swap the manifest."""

import asyncio

from mintlanding.configuration.documents import MANIFEST_KEY
from mintlanding.configuration.layout import WritePlan
from mintlanding.configuration.models import Change
from mintlanding.coordination.keyvalue import KeyValueService
from mintlanding.core.exceptions import PlatformUnavailable
from mintlanding.core.results import Failed

CONCURRENT_CALLS = 4


class SwapUnconfirmed(PlatformUnavailable):
    """The swap of the manifest was sent, but no response arrived."""

    def __init__(self, message: str, changes: tuple[Change, ...]) -> None:
        """Keep the changes of the write."""
        super().__init__(message)
        self.revision = changes[0].revision
        self.changes = changes


class ManifestWriter:
    """Write blobs and manifests to the key-value service."""

    def __init__(self, service: KeyValueService) -> None:
        """Use the given key-value service."""
        self._service = service

    async def put_blobs(self, plan: WritePlan) -> None:
        """Write the blobs; keys are unique, so a repeated put is harmless."""
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
        """Replace the manifest if its index is still `expected`.

        Return the new index, or None if another writer came first.
        """
        try:
            outcome = await self._service.put(
                MANIFEST_KEY,
                plan.content,
                expected=expected,
            )
        except PlatformUnavailable as exc:
            raise SwapUnconfirmed(str(exc), changes) from exc
        return None if isinstance(outcome, Failed) else outcome.value

    async def delete_retired(self, plan: WritePlan) -> None:
        """Delete blobs that the new manifest no longer references.

        Blobs left by a failure are deleted by `collect_garbage`.
        """
        try:
            for key in sorted(plan.retired):
                await self._service.delete(key)
        except PlatformUnavailable:
            return
