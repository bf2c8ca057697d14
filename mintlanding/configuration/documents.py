"""What the key-value service holds: one manifest and immutable blobs.

The manifest is the only value that changes, by compare-and-swap. Blobs are
written before the manifest that names them and are never changed. The name of
a blob begins with the revision that its writer started from: once the manifest
has moved past that revision without naming the blob, nothing ever will.
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
# Raise with each new field or kind of object: readers skip what they do not
# know, and a writer that would drop it does not write.
SCHEMA = 1
MAX_UNPACKED_BYTES = 64 << 20
_DIGEST_BYTES = 16
_COMPRESSION_LEVEL = 6

DocumentT = TypeVar('DocumentT')


class BlobRef(msgspec.Struct, frozen=True):
    """A blob by its key and the digest of its content."""

    key: str
    digest: str


class Edit(msgspec.Struct, frozen=True, omit_defaults=True):
    """One object that a commit created, updated or deleted."""

    kind: str
    name: str
    action: str
    version: int = 0


class Commit(msgspec.Struct, frozen=True):
    """Who changed what when; `at` is in wall-clock seconds.

    A large commit lists its first edits and counts the others.
    """

    revision: int
    write_id: str
    author: str
    at: float
    edits: tuple[Edit, ...]
    unlisted_edits: int = 0


class HistorySegment(msgspec.Struct, frozen=True):
    """A blob of older commits and the span that it covers."""

    blob: BlobRef
    first: int
    last: int
    since: float


class Manifest(msgspec.Struct, frozen=True):
    """The root of the configuration.

    Chunks hold the objects as of revision `folded`, one blob for each bucket.
    The tail holds all changes after `tail_base`, which is not above `folded`.
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
        """Return the keys of all blobs that this manifest names."""
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
    """Decode a document; raise StoredConfigurationError on anything else."""
    inflater = zlib.decompressobj()
    try:
        encoded = inflater.decompress(content, limit)
    except zlib.error as exc:
        raise StoredConfigurationError(f'not compressed data: {exc}') from exc
    if not inflater.eof:
        raise StoredConfigurationError('truncated or too large when unpacked')
    try:
        return msgspec.msgpack.decode(encoded, type=document_type)
    except msgspec.DecodeError as decode_exc:
        raise StoredConfigurationError(str(decode_exc)) from decode_exc


def unpack_manifest(content: bytes) -> Manifest:
    """Decode a manifest of this format."""
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
    """Name a blob that a writer at `revision` makes."""
    digest = fingerprint(content)
    return BlobRef(f'{BLOB_PREFIX}{revision:012d}/{nonce}/{part}', digest)


def blob_revision(key: str) -> int:
    """Return the revision that the writer of a blob started from."""
    return int(key.removeprefix(BLOB_PREFIX).partition('/')[0])


def fingerprint(content: bytes) -> str:
    """Return the digest that a blob is checked against."""
    return hashlib.blake2b(content, digest_size=_DIGEST_BYTES).hexdigest()


def bucket_of(ref: Ref, buckets: int) -> int:
    """Return the bucket of an object, the same in every process."""
    digest = hashlib.blake2b('/'.join(ref).encode(), digest_size=8).digest()
    return int.from_bytes(digest) % buckets


def size_of(document: object) -> int:
    """Return the encoded size of a document in bytes, uncompressed."""
    return len(msgspec.msgpack.encode(document))


def touched_buckets(changes: Iterable[Change], buckets: int) -> set[int]:
    """Return the buckets of the changed objects."""
    return {
        bucket_of((change.kind, change.name), buckets) for change in changes
    }
