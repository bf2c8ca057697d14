"""Digests of a worker, numbered so that stale ones are known."""

from typing import Any, Self

import msgspec

from mintlanding.placement.messages import WorkerDigest
from mintlanding.placement.models import WorkerSpec


class DigestBuilder:
    """Raise the sequence number only when something has changed."""

    def __init__(self, digest: WorkerDigest) -> None:
        """Start from a digest without content."""
        self._digest = digest

    @classmethod
    def from_config(
        cls,
        spec: WorkerSpec,
        steward: str,
        address: str,
    ) -> Self:
        """Start from what the configuration says of the worker."""
        return cls(
            WorkerDigest(
                worker=spec.worker,
                zone=spec.zone,
                steward=steward,
                steward_address=address,
                fencing=0,
                sequence=0,
                slots=spec.slots,
                batch_limit=spec.batch_limit,
            ),
        )

    def build(self, **fields: Any) -> WorkerDigest:
        """Return the digest with these fields."""
        digest = msgspec.structs.replace(self._digest, **fields)
        if digest != self._digest:
            sequence = self._digest.sequence + 1
            self._digest = msgspec.structs.replace(digest, sequence=sequence)
        return self._digest
