"""Proposed changes: compare with what is there, number versions, diff."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec

from mintlanding.configuration.directory import Directory
from mintlanding.configuration.models import AnyObject, Change, Ref
from mintlanding.core.results import Done, Failed, Outcome, ResultCode

MUST_NOT_EXIST = 0


class ChangeAction(StrEnum):
    """What a change does to its object."""

    create = 'create'
    update = 'update'
    delete = 'delete'
    unchanged = 'unchanged'


@dataclass(frozen=True, slots=True)
class Proposal:
    """Put `body`, or delete when there is none.

    `expected` is the version that the operator saw: 0 for an object that must
    not exist, nothing for any version.
    """

    kind: str
    name: str
    body: AnyObject | None
    expected: int | None = None

    @classmethod
    def put(cls, body: AnyObject, expected: int | None = None) -> 'Proposal':
        """Propose an object."""
        kind, name = body.ref
        return cls(kind, name, body, expected)

    @classmethod
    def delete(
        cls,
        kind: str,
        name: str,
        expected: int | None = None,
    ) -> 'Proposal':
        """Propose to delete an object."""
        return cls(kind, name, None, expected)

    @property
    def ref(self) -> Ref:
        """Return kind and name."""
        return (self.kind, self.name)


@dataclass(frozen=True, slots=True)
class FieldDiff:
    """A field before and after."""

    field: str
    before: Any
    after: Any


@dataclass(frozen=True, slots=True)
class ObjectDiff:
    """What a proposal would do to one object."""

    kind: str
    name: str
    action: ChangeAction
    fields: tuple[FieldDiff, ...] = ()


def version_of(directory: Directory, ref: Ref) -> int:
    """Return the version of an object; 0 when there is none."""
    held = directory.get(*ref)
    return 0 if held is None else held.version


def find_conflict(
    directory: Directory,
    proposals: Iterable[Proposal],
) -> Failed | None:
    """Return the first conflict, with what is there."""
    for each in proposals:
        if each.expected is None:
            continue
        current = version_of(directory, each.ref)
        if current != each.expected:
            return _conflict(directory, each, current)
    return None


def number_changes(
    directory: Directory,
    proposals: Sequence[Proposal],
) -> Outcome[tuple[Change, ...]]:
    """Return the changes of the next revision, without what changes nothing."""
    failure = find_conflict(directory, proposals)
    if failure is not None:
        return failure
    changes: list[Change] = []
    for each in proposals:
        held = directory.get(*each.ref)
        if each.body is None and held is None:
            return Failed.of(
                ResultCode.object_unknown,
                f'{each.kind} {each.name!r}',
            )
        body = _numbered(each.body, held)
        if body is None or body != held:
            changes.append(
                Change(
                    revision=directory.revision + 1,
                    kind=each.kind,
                    name=each.name,
                    body=body,
                ),
            )
    return Done(tuple(changes))


def diff(
    directory: Directory,
    proposals: Iterable[Proposal],
) -> tuple[ObjectDiff, ...]:
    """Describe what the proposals would change."""
    return tuple(_diff_one(directory, each) for each in proposals)


def action_of(
    before: AnyObject | None, after: AnyObject | None
) -> ChangeAction:
    """Name the step between two states of an object."""
    if before == after:
        return ChangeAction.unchanged
    if before is None:
        return ChangeAction.create
    return ChangeAction.delete if after is None else ChangeAction.update


def _numbered(
    body: AnyObject | None,
    held: AnyObject | None,
) -> AnyObject | None:
    """Give the version that follows; equal content keeps its version."""
    if body is None:
        return None
    current = 0 if held is None else held.version
    same_version = msgspec.structs.replace(body, version=current)
    if same_version == held:
        return held
    return msgspec.structs.replace(body, version=current + 1)


def _diff_one(directory: Directory, proposal: Proposal) -> ObjectDiff:
    held = directory.get(*proposal.ref)
    body = _numbered(proposal.body, held)
    action = action_of(held, body)
    before, after = _fields(held), _fields(body)
    fields = tuple(
        FieldDiff(name, before.get(name), after.get(name))
        for name in sorted(before.keys() | after.keys())
        if before.get(name) != after.get(name)
    )
    return ObjectDiff(proposal.kind, proposal.name, action, fields)


def _fields(body: AnyObject | None) -> dict[str, Any]:
    if body is None:
        return {}
    fields: dict[str, Any] = msgspec.to_builtins(body)
    return {
        name: held
        for name, held in fields.items()
        if name not in {'kind', 'name', 'version'}
    }


def _conflict(
    directory: Directory,
    proposal: Proposal,
    current: int,
) -> Failed:
    there = 'it does not exist'
    if current:
        held = directory.get(*proposal.ref)
        there = (
            f'it is at version {current}: {msgspec.json.encode(held).decode()}'
        )
    return Failed.of(
        ResultCode.conflict,
        f'{proposal.kind} {proposal.name!r}: expected version '
        f'{proposal.expected}, but {there}',
    )
