"""The newest digest of each worker of the region."""

import zlib
from dataclasses import dataclass

import msgspec

from mintlanding.membership.messages import WorkerLoad
from mintlanding.placement.messages import WorkerDigest

Version = tuple[int, int]


def version_of(digest: WorkerDigest) -> Version:
    """Return the key that orders the digests of a worker."""
    return (digest.fencing, digest.sequence)


def static_checksum(digest: WorkerDigest) -> int:
    """Return a checksum of the static part: all but sequence and load."""
    blank = WorkerLoad(digest.worker, digest.fencing, 0, 0)
    return zlib.crc32(msgspec.msgpack.encode(apply_load(digest, blank)))


def load_of(digest: WorkerDigest, checksum: int) -> WorkerLoad:
    """Return the part of a digest that changes with each request."""
    return WorkerLoad(
        worker=digest.worker,
        fencing=digest.fencing,
        sequence=digest.sequence,
        checksum=checksum,
        queued=digest.queued,
        queued_tokens=round(digest.queued_tokens),
        running=digest.running,
    )


def apply_load(digest: WorkerDigest, load: WorkerLoad) -> WorkerDigest:
    """Return the digest with the sequence and load replaced."""
    return msgspec.structs.replace(
        digest,
        sequence=load.sequence,
        queued=load.queued,
        queued_tokens=load.queued_tokens,
        running=load.running,
    )


@dataclass(slots=True)
class HeldDigest:
    """The newest digest of a worker and the checksum of its static part."""

    digest: WorkerDigest
    checksum: int


class DigestTable:
    """The newest digest of each worker; older ones are ignored."""

    def __init__(self) -> None:
        """Start without digests."""
        self._held: dict[str, HeldDigest] = {}

    def __len__(self) -> int:
        """Return the number of workers."""
        return len(self._held)

    def view(self) -> dict[str, WorkerDigest]:
        """Return the newest digest of each worker by the worker's name."""
        return {name: held.digest for name, held in self._held.items()}

    def get(self, worker: str) -> HeldDigest | None:
        """Return the digest of a worker and its checksum, or None."""
        return self._held.get(worker)

    def accept(self, digest: WorkerDigest) -> bool:
        """Store a digest if it is newer; return whether it is."""
        held = self._held.get(digest.worker)
        if held is not None and version_of(digest) <= version_of(held.digest):
            return False
        self._held[digest.worker] = HeldDigest(digest, static_checksum(digest))
        return True

    def accept_load(self, load: WorkerLoad) -> WorkerDigest | None:
        """Apply a later load to the digest with the same static part.

        Return the new digest, or None if there is no such digest.
        """
        held = self._held.get(load.worker)
        if held is None or not _fits(held, load):
            return None
        held.digest = apply_load(held.digest, load)
        return held.digest

    def forget(self, worker: str) -> None:
        """Remove a worker that is no longer configured."""
        self._held.pop(worker, None)


def _fits(held: HeldDigest, load: WorkerLoad) -> bool:
    return (
        load.fencing == held.digest.fencing
        and load.checksum == held.checksum
        and load.sequence > held.digest.sequence
    )
