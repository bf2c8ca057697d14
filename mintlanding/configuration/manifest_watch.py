"""Wait for new revisions in the key-value service with one waiting call."""

from mintlanding.configuration.documents import MANIFEST_KEY
from mintlanding.configuration.models import Delta
from mintlanding.configuration.reader import ConfigurationReader
from mintlanding.coordination.keyvalue import KeyValueService


class ManifestWatch:
    """Long-poll the manifest; its answer carries the recent changes."""

    def __init__(self, service: KeyValueService) -> None:
        """Start before the first change."""
        self._service = service
        self._reader = ConfigurationReader(service)
        self._index = 0

    async def next_delta(self, revision: int, seconds: float) -> Delta:
        """Return what changed after a revision, at the latest in `seconds`.

        An empty delta tells the revision of the service. The index moves only
        once the changes were read, so that a failed read is repeated.
        """
        listing = await self._service.wait(MANIFEST_KEY, self._index, seconds)
        entry = listing.entries[0] if listing.entries else None
        delta = await self._reader.delta_of(entry, revision)
        self._index = listing.index
        return delta
