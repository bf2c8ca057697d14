"""Wait for new revisions in the key-value service by long polling."""

from mintlanding.configuration.documents import MANIFEST_KEY
from mintlanding.configuration.models import Delta
from mintlanding.configuration.reader import ConfigurationReader
from mintlanding.coordination.keyvalue import KeyValueService


class ManifestWatch:
    """Long-poll the manifest, whose tail contains the recent changes."""

    def __init__(self, service: KeyValueService) -> None:
        """Start before the first revision."""
        self._service = service
        self._reader = ConfigurationReader(service)
        self._index = 0

    async def next_delta(self, revision: int, seconds: float) -> Delta:
        """Return the changes after a revision, waiting up to `seconds`.

        An empty delta has the revision of the service. The index advances only
        after the changes were read, so that a failed read is repeated.
        """
        listing = await self._service.wait(MANIFEST_KEY, self._index, seconds)
        entry = listing.entries[0] if listing.entries else None
        delta = await self._reader.delta_of(entry, revision)
        self._index = listing.index
        return delta
