"""What a stand-in itself has seen, for the verdicts of tests."""

import os
from collections import deque
from typing import Any

import msgspec

_KEPT = 100_000
_JOURNAL_MODE = 0o600


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event: a call, a run, an order, a load, an eviction.

    `headers` holds names only and `query` names only, so that tests see
    that no key arrived without the records holding one.
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
    """The latest records in order, and a count of every event.

    With a journal each record is also written to a file at once, so that
    tests can read it after they have killed the process.
    """

    def __init__(self, journal: str = '') -> None:
        """Start empty; `journal` is the path of a file to append to."""
        self._kept: deque[Record] = deque(maxlen=_KEPT)
        self._journal = _open_journal(journal) if journal else None
        self.counts: dict[str, int] = {}

    def add(self, record: Record) -> None:
        """Keep a record."""
        self._kept.append(record)
        if self._journal is not None:
            os.write(self._journal, msgspec.json.encode(record) + b'\n')
        count = self.counts.get(record.event, 0)
        self.counts[record.event] = count + 1

    def count(self, event: str) -> None:
        """Count an event without a record."""
        self.counts[event] = self.counts.get(event, 0) + 1

    def list(self, event: str = '') -> list[Record]:
        """List the records of one kind, or all."""
        return [each for each in self._kept if not event or each.event == event]

    def as_document(self, event: str = '') -> dict[str, Any]:
        """Return counts and records for the side port."""
        return {'counts': self.counts, 'records': self.list(event)}


def _open_journal(path: str) -> int:
    return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, _JOURNAL_MODE)
