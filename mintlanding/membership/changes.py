"""Changes of members and digests that a peer has not acknowledged."""

from dataclasses import dataclass, field
from enum import IntEnum

from mintlanding.membership.digests import DigestTable, load_of
from mintlanding.membership.journal import Entry, Journal
from mintlanding.membership.member_table import MemberTable
from mintlanding.membership.messages import MemberRecord, WorkerLoad
from mintlanding.membership.models import Member, MembershipOptions
from mintlanding.placement.messages import WorkerDigest

_DIGEST_WEIGHT = 12


class ChangeKind(IntEnum):
    """What a change in the journal refers to.

    `digest` is a change of a digest's static part, `load` one of its load.
    """

    member = 0
    digest = 1
    load = 2


Name = tuple[ChangeKind, str]


@dataclass(slots=True)
class Batch:
    """Changes for one peer up to `number` of the journal."""

    number: int
    records: list[MemberRecord] = field(default_factory=list)
    digests: list[WorkerDigest] = field(default_factory=list)
    loads: list[WorkerLoad] = field(default_factory=list)

    @property
    def weight(self) -> int:
        """Return the size, in units of one load."""
        digests = _DIGEST_WEIGHT * len(self.digests)
        return digests + len(self.loads)


class ChangeLog:
    """Journal of members and digests, divided into batches for peers."""

    def __init__(
        self,
        table: MemberTable,
        digests: DigestTable,
        options: MembershipOptions,
    ) -> None:
        """Start a journal for the members and digests of the tables."""
        self._table = table
        self._digests = digests
        self._options = options
        self._journal: Journal[Name] = Journal()

    def record(self, kind: ChangeKind, name: str, source: str = '') -> None:
        """Record a change received from `source`; '' for a local change."""
        self._journal.record((kind, name), source)

    def forget_member(self, instance: str) -> None:
        """Drop the changes of a member that is no longer known."""
        self._journal.forget((ChangeKind.member, instance))

    def forget_worker(self, worker: str) -> None:
        """Drop the changes of a worker that is no longer known."""
        self._journal.forget((ChangeKind.digest, worker))
        self._journal.forget((ChangeKind.load, worker))

    def batch(self, peer: Member, after: int) -> Batch:
        """Return changes after number `after`, oldest first, up to a limit."""
        batch = Batch(self._journal.number)
        sent_workers: set[str] = set()
        for entry in self._journal.since(after):
            if self._is_full(batch):
                batch.number = entry.number - 1
                break
            if entry.source != incarnation_key(peer):
                self._add(batch, entry, peer.region, sent_workers)
        return batch

    def _is_full(self, batch: Batch) -> bool:
        if len(batch.records) >= self._options.record_limit:
            return True
        return batch.weight >= self._options.loads_in_message

    def _add(
        self,
        batch: Batch,
        entry: Entry[Name],
        region: str,
        sent_workers: set[str],
    ) -> None:
        kind, name = entry.name
        if kind == ChangeKind.member:
            known = self._table.get(name)
            if known is not None:
                batch.records.append(known.record)
            return
        held = self._digests.get(name)
        if held is None or self._table.region_of(held.digest.zone) != region:
            return
        if kind == ChangeKind.digest:
            sent_workers.add(name)
            batch.digests.append(held.digest)
        elif name not in sent_workers:
            batch.loads.append(load_of(held.digest, held.checksum))


def incarnation_key(member: Member) -> str:
    """Return a key of one incarnation; the next one has lost all changes."""
    return f'{member.instance} {member.incarnation}'
