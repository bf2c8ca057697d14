"""Read the stored configuration: manifest, tail, chunks, history."""

from dataclasses import dataclass

from mintlanding.configuration.documents import (
    MANIFEST_KEY,
    BlobRef,
    Commit,
    Manifest,
    fingerprint,
    unpack_commits,
    unpack_manifest,
    unpack_objects,
)
from mintlanding.configuration.exceptions import StoredConfigurationError
from mintlanding.configuration.models import Change, Delta
from mintlanding.coordination.keyvalue import Entry, KeyValueService

MAX_READ_ATTEMPTS = 5
MAX_CACHED_SEGMENTS = 64


@dataclass(frozen=True, slots=True)
class Reading:
    """The changes that were read and the manifest that they lead to."""

    delta: Delta
    manifest: Manifest
    index: int


class ConfigurationReader:
    """Read the configuration from the key-value service."""

    def __init__(self, service: KeyValueService) -> None:
        """Use the given key-value service."""
        self._service = service
        self._segments: dict[str, tuple[Commit, ...]] = {}

    async def latest(self) -> Entry | None:
        """Return the entry of the current manifest."""
        return await self._service.get(MANIFEST_KEY)

    async def delta_of(self, entry: Entry | None, revision: int) -> Delta:
        """Return the changes after a revision from a manifest just read.

        If there are none, return an empty delta with the revision of the
        service, which is lower than `revision` if the service has lost data.
        """
        if entry is None:
            return Delta(base=0, revision=0)
        return (await self.read(entry, revision)).delta

    async def read(self, entry: Entry, revision: int) -> Reading:
        """Read the changes after a revision, from a newer manifest if needed.

        A chunk is deleted only after a newer manifest has replaced the one that
        references it, so a missing chunk means that the entry is outdated.
        """
        for _ in range(MAX_READ_ATTEMPTS):
            manifest = unpack_manifest(entry.value)
            delta = await self._read_delta(manifest, revision)
            if delta is not None:
                return Reading(delta, manifest, entry.index)
            newer = await self.latest()
            entry = newer or entry
        raise StoredConfigurationError('chunks of the manifest are missing')

    async def commits(self, manifest: Manifest, limit: int) -> list[Commit]:
        """Return the latest commits, newest first, as far as retained."""
        found = list(reversed(manifest.commits))
        for segment in reversed(manifest.segments):
            if len(found) >= limit:
                break
            found.extend(reversed(await self.segment(segment.blob)))
        return found[:limit]

    async def segment(self, ref: BlobRef) -> tuple[Commit, ...]:
        """Return the commits of a history segment; none if it was deleted.

        Segments never change, so they are cached.
        """
        cached = self._segments.get(ref.key)
        if cached is not None:
            return cached
        content = await self._read_blob(ref)
        if content is None:
            return ()
        if len(self._segments) >= MAX_CACHED_SEGMENTS:
            self._segments.clear()
        found = unpack_commits(content)
        self._segments[ref.key] = found
        return found

    async def _read_delta(
        self,
        manifest: Manifest,
        revision: int,
    ) -> Delta | None:
        if manifest.revision <= revision:
            return Delta(base=manifest.revision, revision=manifest.revision)
        if revision and manifest.tail_base <= revision:
            changes = [
                change for change in manifest.tail if change.revision > revision
            ]
            return Delta(
                base=revision,
                revision=manifest.revision,
                changes=tuple(changes),
            )
        return await self._read_snapshot(manifest)

    async def _read_snapshot(self, manifest: Manifest) -> Delta | None:
        """Read the chunks and apply the tail; None if a chunk is missing."""
        bodies: dict[tuple[str, str], Change] = {}
        for ref in manifest.chunks:
            content = await self._read_blob(ref)
            if content is None:
                return None
            for body in unpack_objects(content):
                kind, name = body.ref
                bodies[body.ref] = Change(
                    revision=manifest.revision,
                    kind=kind,
                    name=name,
                    body=body,
                )
        for change in manifest.tail:
            bodies[(change.kind, change.name)] = change
        kept = [each for each in bodies.values() if each.body is not None]
        return Delta(base=0, revision=manifest.revision, changes=tuple(kept))

    async def _read_blob(self, ref: BlobRef) -> bytes | None:
        entry = await self._service.get(ref.key)
        if entry is None:
            return None
        if fingerprint(entry.value) != ref.digest:
            raise StoredConfigurationError(f'{ref.key} is damaged')
        return entry.value
