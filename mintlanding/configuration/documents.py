"""The stored form of the configuration: one manifest and immutable blobs.

The manifest is the only value that changes, by compare-and-swap. Blobs are
written before the manifest that references them and are never modified. The
key of a blob begins with the revision that its writer started from: once the
manifest is past that revision without a reference to the blob, no manifest
will ever reference it and it can be deleted.
"""

import hashlib
import zlib
from collections.abc import Iterable
from typing import Any, TypeVar

import msgspec

from mintlanding.configuration.exceptions import StoredConfigurationError
from mintlanding.configuration.models import AnyObject, Change, Ref

PREFIX = 'configuration/'
MANIFEST_KEY = f'{PREFIX}manifest'
BLOB_PREFIX = f'{PREFIX}blobs/'
FORMAT = 1
# Increase with each new field or kind of object. Readers skip unknown fields,
# and a writer of an older schema refuses to write, as it would drop them.
SCHEMA = 1
MAX_UNPACKED_BYTES = 64 << 20
_DIGEST_BYTES = 16
_COMPRESSION_LEVEL = 6

DocumentT = TypeVar('DocumentT')


class BlobRef(msgspec.Struct, frozen=True):
    """A reference to a blob: its key and the digest of its content."""

    key: str
    digest: str


class Edit(msgspec.Struct, frozen=True, omit_defaults=True):
    """One object that a commit created, updated or deleted."""

    kind: str
    name: str
    action: str
    version: int = 0


class Commit(msgspec.Struct, frozen=True):
    """Who changed what and when; `at` is in wall-clock seconds.

    A large commit lists its first edits and counts the others in
    `unlisted_edits`.
    """

    revision: int
    write_id: str
    author: str
    at: float
    edits: tuple[Edit, ...]
    unlisted_edits: int = 0


class HistorySegment(msgspec.Struct, frozen=True):
    """A blob of older commits and the revisions that it covers.

    `since` is the time of the first commit, in wall-clock seconds.
    """

    blob: BlobRef
    first: int
    last: int
    since: float


class Manifest(msgspec.Struct, frozen=True):
    """The root of the stored configuration.

    Chunks hold the objects as of the last compaction, at revision `folded`,
    with one blob per bucket. `tail` holds all changes after `tail_base`,
    which is at most `folded`.
    """

    format: int = FORMAT
    revision: int = 0
    folded: int = 0
    chunks: tuple[BlobRef, ...] = ()
    tail_base: int = 0
    tail: tuple[Change, ...] = ()
    commits: tuple[Commit, ...] = ()
    segments: tuple[HistorySegment, ...] = ()
    schema: int = SCHEMA

    def blob_keys(self) -> set[str]:
        """Return the keys of all blobs that this manifest references."""
        chunks = {chunk.key for chunk in self.chunks if chunk.key}
        return chunks | {segment.blob.key for segment in self.segments}


def pack(document: object) -> bytes:
    """Encode and compress a document."""
    encoded = msgspec.msgpack.encode(document)
    return zlib.compress(encoded, _COMPRESSION_LEVEL)


def unpack(
    content: bytes,
    document_type: type[DocumentT],
    limit: int = MAX_UNPACKED_BYTES,
) -> DocumentT:
    """Decompress and decode a document.

    Raises StoredConfigurationError for damaged data and for more than `limit`
    decompressed bytes.
    """
    inflater = zlib.decompressobj()
    try:
        encoded = inflater.decompress(content, limit)
    except zlib.error as exc:
        raise StoredConfigurationError(f'cannot decompress: {exc}') from exc
    if not inflater.eof:
        raise StoredConfigurationError('truncated, or too large uncompressed')
    try:
        return msgspec.msgpack.decode(encoded, type=document_type)
    except msgspec.DecodeError as decode_exc:
        raise StoredConfigurationError(str(decode_exc)) from decode_exc


def unpack_manifest(content: bytes) -> Manifest:
    """Decode a manifest; raise StoredConfigurationError for another format."""
    manifest = unpack(content, Manifest)
    if manifest.format != FORMAT:
        raise StoredConfigurationError(
            f'manifest format {manifest.format}, this release reads {FORMAT}',
        )
    return manifest


def unpack_objects(content: bytes) -> tuple[AnyObject, ...]:
    """Decode the objects of a chunk."""
    loaded: tuple[AnyObject, ...] = unpack(
        content,
        tuple[AnyObject, ...],
    )
    return loaded


def unpack_commits(content: bytes) -> tuple[Commit, ...]:
    """Decode the commits of a history segment."""
    loaded: Any = unpack(content, tuple[Commit, ...])
    return tuple(loaded)


def blob_ref(revision: int, nonce: str, part: str, content: bytes) -> BlobRef:
    """Return the reference of a blob that a writer at `revision` creates."""
    digest = fingerprint(content)
    return BlobRef(f'{BLOB_PREFIX}{revision:012d}/{nonce}/{part}', digest)


def blob_revision(key: str) -> int:
    """Return the revision that the writer of a blob started from."""
    return int(key.removeprefix(BLOB_PREFIX).partition('/')[0])


def fingerprint(content: bytes) -> str:
    """Return the digest by which damaged blobs are detected."""
    return hashlib.blake2b(content, digest_size=_DIGEST_BYTES).hexdigest()


def bucket_of(ref: Ref, buckets: int) -> int:
    """Return the bucket of an object; the same in every process."""
    digest = hashlib.blake2b('/'.join(ref).encode(), digest_size=8).digest()
    return int.from_bytes(digest) % buckets


def encoded_size(document: object) -> int:
    """Return the size of an encoded document in bytes, uncompressed."""
    return len(msgspec.msgpack.encode(document))


def touched_buckets(changes: Iterable[Change], buckets: int) -> set[int]:
    """Return the buckets of the changed objects."""
    return {
        bucket_of((change.kind, change.name), buckets) for change in changes
    }
