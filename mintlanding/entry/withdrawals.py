"""Cancel the requests of keys that are withdrawn or deleted."""

from collections.abc import Sequence

from mintlanding.configuration.models import Change
from mintlanding.core.results import Failed, ResultCode
from mintlanding.entry.open_requests import OpenRequests
from mintlanding.entry.view import EntryView


class Withdrawals:
    """Cancel open requests when their key is withdrawn or deleted."""

    def __init__(self, view: EntryView, requests: OpenRequests) -> None:
        """Subscribe to changes of `view`."""
        self._view = view
        self._requests = requests
        view.on_change(self._on_changes)

    def _on_changes(self, changes: Sequence[Change]) -> None:
        for change in changes:
            if change.kind != 'key':
                continue
            key = self._view.directory.find_key(change.name)
            if key is None or key.withdrawn:
                self._requests.end_key(
                    change.name,
                    Failed.of(ResultCode.key_withdrawn),
                )
