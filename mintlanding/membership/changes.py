"""What of the own knowledge a peer has yet to learn."""

from dataclasses import dataclass, field
from enum import IntEnum

from mintlanding.membership.digests import DigestTable, load_of
from mintlanding.membership.journal import Entry, Journal
from mintlanding.membership.member_table import MemberTable
from mintlanding.membership.messages import MemberRecord, WorkerLoad
from mintlanding.membership.models import Member, MembershipOptions
from mintlanding.placement.messages import WorkerDigest

_FRAME_WEIGHT = 12


class Kind(IntEnum):
    """What a change in the journal is about."""

    member = 0
    frame = 1
    load = 2


Name = tuple[Kind, str]


@dataclass(slots=True)
class Batch:
    """The changes for one peer up to the journal's `number`."""

    number: int
    records: list[MemberRecord] = field(default_factory=list)
    digests: list[WorkerDigest] = field(default_factory=list)
    loads: list[WorkerLoad] = field(default_factory=list)

    @property
    def weight(self) -> int:
        """Return the size in units of one load."""
        frames = _FRAME_WEIGHT * len(self.digests)
        return frames + len(self.loads)


class ChangeLog:
    """The journal over members and digests, cut into batches for peers."""

    def __init__(
        self,
        book: MemberTable,
        digests: DigestTable,
        options: MembershipOptions,
    ) -> None:
        """Take the books whose changes are numbered."""
        self._book = book
        self._digests = digests
        self._options = options
        self._journal: Journal[Name] = Journal()

    def record(self, kind: Kind, name: str, source: str = '') -> None:
        """Number a change that `source` has told, or this instance itself."""
        self._journal.record((kind, name), source)

    def forget_member(self, instance: str) -> None:
        """Drop the changes of a member that is no longer known."""
        self._journal.forget((Kind.member, instance))

    def forget_worker(self, worker: str) -> None:
        """Drop the changes of a worker that is no longer known."""
        self._journal.forget((Kind.frame, worker))
        self._journal.forget((Kind.load, worker))

    def batch(self, peer: Member, after: int) -> Batch:
        """Gather what the peer lacks, oldest first, within the bounds."""
        batch = Batch(self._journal.number)
        framed: set[str] = set()
        for entry in self._journal.since(after):
            if self._is_full(batch):
                batch.number = entry.number - 1
                break
            if entry.source != source_of(peer):
                self._add(batch, entry, peer.region, framed)
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
        framed: set[str],
    ) -> None:
        kind, name = entry.name
        if kind == Kind.member:
            known = self._book.get(name)
            if known is not None:
                batch.records.append(known.record)
            return
        held = self._digests.get(name)
        if held is None or self._book.region_of(held.digest.zone) != region:
            return
        if kind == Kind.frame:
            framed.add(name)
            batch.digests.append(held.digest)
        elif name not in framed:
            batch.loads.append(load_of(held.digest, held.frame))


def source_of(member: Member) -> str:
    """Name one life of an instance; the next one has forgotten all."""
    return f'{member.instance} {member.incarnation}'
