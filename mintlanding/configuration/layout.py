"""Plan the next manifest and its blobs, without I/O.

Changes are appended to the tail of the manifest. A full tail is compacted: the
buckets of the changed objects are written as new chunks. The newer half of the
tail is kept, so that a reader a few revisions behind can still read a delta.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

import msgspec

from mintlanding.configuration.directory import Directory
from mintlanding.configuration.documents import (
    SCHEMA,
    BlobRef,
    Commit,
    HistorySegment,
    Manifest,
    blob_ref,
    bucket_of,
    encoded_size,
    pack,
    touched_buckets,
)
from mintlanding.configuration.exceptions import ConfigurationTooLarge
from mintlanding.configuration.models import AnyObject, Change, Ref
from mintlanding.coordination.keyvalue import MAX_VALUE_BYTES

MAX_TAIL_CHANGES = 256
MAX_TAIL_BYTES = 96 << 10
OBJECTS_PER_CHUNK = 4096
MAX_BUCKETS = 4096
MAX_INLINE_COMMITS = 256
MAX_SEGMENTS = 32


@dataclass(frozen=True, slots=True)
class LayoutLimits:
    """Limits at which the tail is compacted and commits become segments."""

    tail_changes: int = MAX_TAIL_CHANGES
    tail_bytes: int = MAX_TAIL_BYTES
    objects_per_chunk: int = OBJECTS_PER_CHUNK
    inline_commits: int = MAX_INLINE_COMMITS
    segments: int = MAX_SEGMENTS


@dataclass(frozen=True, slots=True)
class NextState:
    """A directory with the changes of the next revision applied on top."""

    directory: Directory
    changes: tuple[Change, ...]

    @property
    def revision(self) -> int:
        """Return the next revision."""
        return self.directory.revision + 1

    def objects(self) -> Iterator[tuple[Ref, AnyObject]]:
        """Iterate over the objects of the next revision."""
        replaced = {(each.kind, each.name) for each in self.changes}
        for ref, body in self.directory.objects():
            if ref not in replaced:
                yield ref, body
        for change in self.changes:
            if change.body is not None:
                yield (change.kind, change.name), change.body


@dataclass(slots=True)
class WritePlan:
    """The writes of one commit: blobs first, then the manifest.

    Blobs in `retired` may be deleted afterwards.
    """

    manifest: Manifest
    blobs: dict[str, bytes] = field(default_factory=dict)
    retired: set[str] = field(default_factory=set)
    content: bytes = b''


class LayoutPlanner:
    """Plan the writes of one commit on top of a manifest."""

    def __init__(
        self,
        manifest: Manifest,
        nonce: str,
        limits: LayoutLimits | None = None,
    ) -> None:
        """Start from the current manifest; `nonce` makes blob keys unique."""
        self._before = manifest
        self._nonce = nonce
        self._limits = limits or LayoutLimits()
        self._blobs: dict[str, bytes] = {}

    def plan(self, after: NextState, commit: Commit) -> WritePlan:
        """Return the writes that make `after` the current configuration."""
        manifest = self._with_tail(after)
        manifest = self._with_commit(manifest, commit)
        content = pack(manifest)
        if len(content) > MAX_VALUE_BYTES:
            raise ConfigurationTooLarge(
                f'the manifest would take {len(content)} bytes',
            )
        retired = self._before.blob_keys() - manifest.blob_keys()
        return WritePlan(manifest, self._blobs, retired, content)

    def _with_tail(self, after: NextState) -> Manifest:
        tail = (*self._before.tail, *after.changes)
        is_full = (
            len(tail) > self._limits.tail_changes
            or encoded_size(tail) > self._limits.tail_bytes
        )
        if not is_full:
            return msgspec.structs.replace(
                self._before,
                schema=SCHEMA,
                revision=after.revision,
                tail=tail,
            )
        tail_base, kept = self._newer_half(tail, after.revision)
        return msgspec.structs.replace(
            self._before,
            schema=SCHEMA,
            revision=after.revision,
            folded=after.revision,
            chunks=self._compact(after, tail),
            tail_base=tail_base,
            tail=kept,
        )

    def _newer_half(
        self,
        tail: Sequence[Change],
        revision: int,
    ) -> tuple[int, tuple[Change, ...]]:
        """Return the latest whole revisions, up to half of the tail limits.

        The first element of the result is the new `tail_base`.
        """
        kept: list[Change] = []
        base = revision
        size = 0
        for change in reversed(tail):
            size += encoded_size(change)
            is_over = size > self._limits.tail_bytes // 2
            if is_over or len(kept) >= self._limits.tail_changes // 2:
                base = change.revision
                break
            kept.append(change)
        else:
            base = self._before.tail_base
        whole = [each for each in kept if each.revision > base]
        return base, tuple(reversed(whole))

    def _compact(
        self,
        after: NextState,
        tail: Sequence[Change],
    ) -> tuple[BlobRef, ...]:
        buckets = self._bucket_count(after)
        while buckets <= MAX_BUCKETS:
            chunks = self._write_chunks(after, tail, buckets)
            if chunks is not None:
                return chunks
            buckets *= 2
        raise ConfigurationTooLarge('an object does not fit in one chunk')

    def _write_chunks(
        self,
        after: NextState,
        tail: Sequence[Change],
        buckets: int,
    ) -> tuple[BlobRef, ...] | None:
        """Encode the changed buckets; return None if a chunk is too large."""
        chunks: dict[int, BlobRef] = {}
        touched = set(range(buckets))
        if buckets == len(self._before.chunks):
            chunks.update(enumerate(self._before.chunks))
            touched = touched_buckets(self._uncompacted(tail), buckets)
        written: dict[str, bytes] = {}
        for bucket, bodies in _bodies_by_bucket(after, buckets, touched):
            content = pack(bodies)
            if len(content) > MAX_VALUE_BYTES:
                return None
            part = f'chunk-{buckets}-{bucket}'
            revision = self._before.revision
            chunks[bucket] = blob_ref(revision, self._nonce, part, content)
            written[chunks[bucket].key] = content
        self._blobs.update(written)
        return tuple(chunks[number] for number in range(buckets))

    def _uncompacted(self, tail: Sequence[Change]) -> list[Change]:
        folded = self._before.folded
        return [change for change in tail if change.revision > folded]

    def _bucket_count(self, after: NextState) -> int:
        """Return the number of buckets, a power of two that never shrinks."""
        total = sum(1 for _ in after.objects())
        buckets = max(1, len(self._before.chunks))
        while buckets * self._limits.objects_per_chunk < total:
            buckets *= 2
        return buckets

    def _with_commit(self, manifest: Manifest, commit: Commit) -> Manifest:
        commits = (*manifest.commits, commit)
        if len(commits) <= self._limits.inline_commits:
            return msgspec.structs.replace(manifest, commits=commits)
        sealed = commits[: len(commits) // 2]
        content = pack(sealed)
        revision = self._before.revision
        segment = HistorySegment(
            blob_ref(revision, self._nonce, 'history', content),
            sealed[0].revision,
            sealed[-1].revision,
            sealed[0].at,
        )
        self._blobs[segment.blob.key] = content
        segments = (*manifest.segments, segment)
        return msgspec.structs.replace(
            manifest,
            commits=commits[len(sealed) :],
            segments=segments[-self._limits.segments :],
        )


def _bodies_by_bucket(
    state: NextState,
    buckets: int,
    touched: set[int],
) -> list[tuple[int, list[AnyObject]]]:
    found: dict[int, list[AnyObject]] = {bucket: [] for bucket in touched}
    for ref, body in state.objects():
        bucket = bucket_of(ref, buckets)
        if bucket in found:
            found[bucket].append(body)
    return sorted(found.items())
