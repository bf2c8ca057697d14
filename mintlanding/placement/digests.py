"""Digests of a worker with sequence numbers."""

from typing import Any, Self

import msgspec

from mintlanding.placement.messages import WorkerDigest
from mintlanding.placement.models import WorkerSpec


class DigestBuilder:
    """Build digests; the sequence number increases only with a change."""

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
        """Build a first digest from the worker's configuration."""
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
