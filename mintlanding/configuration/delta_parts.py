"""Split a delta into parts of bounded size, to limit memory on transfer."""

from collections.abc import Iterator, Sequence

import msgspec

from mintlanding.configuration.directory import Directory
from mintlanding.configuration.documents import encoded_size, pack, unpack
from mintlanding.configuration.exceptions import StoredConfigurationError
from mintlanding.configuration.messages import DeltaPart
from mintlanding.configuration.models import Change, Delta

CHANGES_PER_PART = 1000
PART_BYTES = 1 << 20
MAX_PART_BYTES = 8 << 20
MAX_PARTS = 10_000


def split_delta(delta: Delta) -> Iterator[DeltaPart]:
    """Yield the parts of a delta; there is at least one."""
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
    """Reassemble a delta from its parts, which must arrive in order."""

    def __init__(self, directory: Directory) -> None:
        """Start without parts; reuse equal objects of the directory."""
        self._directory = directory
        self._first: DeltaPart | None = None
        self._next = 0
        self._changes: list[Change] = []

    def add(self, part: DeltaPart) -> Delta | None:
        """Add a part; return the delta once it is complete.

        Raises StoredConfigurationError for a part that does not continue the
        previous ones.
        """
        first = self._first or part
        if not self._is_next(first, part):
            raise StoredConfigurationError(
                'the part does not continue the previous parts of the delta',
            )
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

    def _is_next(self, first: DeltaPart, part: DeltaPart) -> bool:
        expected = msgspec.structs.replace(
            first,
            number=self._next,
            content=part.content,
        )
        return part == expected and self._next < part.total <= MAX_PARTS


def _group_changes(changes: Sequence[Change]) -> Iterator[list[Change]]:
    """Group changes into parts bounded in number of changes and bytes."""
    group: list[Change] = []
    size = 0
    for change in changes:
        added = encoded_size(change)
        is_full = len(group) == CHANGES_PER_PART or size + added > PART_BYTES
        if group and is_full:
            yield group
            group = []
            size = 0
        group.append(change)
        size += added
    yield group
