"""Send a delta in bounded parts, so that a snapshot needs little memory."""

from collections.abc import Iterator, Sequence

import msgspec

from mintlanding.configuration.directory import Directory
from mintlanding.configuration.documents import pack, size_of, unpack
from mintlanding.configuration.exceptions import StoredConfigurationError
from mintlanding.configuration.messages import DeltaPart
from mintlanding.configuration.models import Change, Delta

CHANGES_PER_PART = 1000
PART_BYTES = 1 << 20
MAX_PART_BYTES = 8 << 20
MAX_PARTS = 10_000


def split_delta(delta: Delta) -> Iterator[DeltaPart]:
    """Go through the parts of a delta; there is at least one."""
    groups = list(_group_changes(delta.changes))
    for number, group in enumerate(groups):
        yield DeltaPart(
            base=delta.base,
            revision=delta.revision,
            number=number,
            total=len(groups),
            content=pack(group),
        )


class DeltaAssembler:
    """Put parts together again; they must come in order and fit together."""

    def __init__(self, directory: Directory) -> None:
        """Share memory with what the directory holds already."""
        self._directory = directory
        self._first: DeltaPart | None = None
        self._next = 0
        self._changes: list[Change] = []

    def add(self, part: DeltaPart) -> Delta | None:
        """Take a part; return the delta when it is whole."""
        first = self._first or part
        if not self._fits(first, part):
            raise StoredConfigurationError('parts of a delta do not fit')
        self._first = first
        self._next += 1
        loaded = unpack(part.content, tuple[Change, ...], MAX_PART_BYTES)
        self._changes.extend(self._directory.share(each) for each in loaded)
        if self._next < part.total:
            return None
        return Delta(
            base=part.base,
            revision=part.revision,
            changes=tuple(self._changes),
        )

    def _fits(self, first: DeltaPart, part: DeltaPart) -> bool:
        expected = msgspec.structs.replace(
            first,
            number=self._next,
            content=part.content,
        )
        return part == expected and self._next < part.total <= MAX_PARTS


def _group_changes(changes: Sequence[Change]) -> Iterator[list[Change]]:
    """Group changes so that each part is bounded in number and bytes."""
    group: list[Change] = []
    size = 0
    for change in changes:
        added = size_of(change)
        is_full = len(group) == CHANGES_PER_PART or size + added > PART_BYTES
        if group and is_full:
            yield group
            group = []
            size = 0
        group.append(change)
        size += added
    yield group
