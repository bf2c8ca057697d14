"""Records of what a stand-in received, for assertions of tests."""

import os
from collections import deque
from typing import Any

import msgspec

_MAX_RECORDS = 100_000
_JOURNAL_FILE_MODE = 0o600


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event: a call, a run, an order, a load, an eviction.

    `headers` and `query` hold names only, so that tests can check that no key
    arrived while no record contains one.
    """

    event: str
    request_id: str = ''
    adapter: str = ''
    version: str = ''
    workspace: str = ''
    method: str = ''
    path: str = ''
    headers: tuple[str, ...] = ()
    query: tuple[str, ...] = ()
    body: str = ''
    fencing: int = 0
    detail: str = ''


class Records:
    """The latest records in order, and counts of all events.

    With a journal, each record is also written to a file at once, so that
    tests can read it after they have killed the process.
    """

    def __init__(self, journal: str = '') -> None:
        """Create empty records; `journal` is the path of a log file, if any."""
        self._records: deque[Record] = deque(maxlen=_MAX_RECORDS)
        self._journal = _open_journal(journal) if journal else None
        self.counts: dict[str, int] = {}

    def add(self, record: Record) -> None:
        """Add a record and count its event."""
        self._records.append(record)
        if self._journal is not None:
            os.write(self._journal, msgspec.json.encode(record) + b'\n')
        count = self.counts.get(record.event, 0)
        self.counts[record.event] = count + 1

    def count(self, event: str) -> None:
        """Count an event without a record."""
        self.counts[event] = self.counts.get(event, 0) + 1

    def list(self, event: str = '') -> list[Record]:
        """Return the records of one event, or all."""
        return [
            each for each in self._records if not event or each.event == event
        ]

    def as_document(self, event: str = '') -> dict[str, Any]:
        """Return counts and records, as the side port sends them."""
        return {'counts': self.counts, 'records': self.list(event)}


def _open_journal(path: str) -> int:
    return os.open(
        path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, _JOURNAL_FILE_MODE
    )
