"""Proposed changes: detect conflicts, assign versions, compute diffs."""

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
    """A proposal to put `body`, or to delete the object if it is None.

    `expected` is the version that the operator has seen: 0 if the object must
    not exist, None to accept any version.
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
        """Return the kind and the name of the object."""
        return (self.kind, self.name)


@dataclass(frozen=True, slots=True)
class FieldDiff:
    """The content of a field before and after a change."""

    field: str
    before: Any
    after: Any


@dataclass(frozen=True, slots=True)
class ObjectDiff:
    """The change that a proposal would make to one object."""

    kind: str
    name: str
    action: ChangeAction
    fields: tuple[FieldDiff, ...] = ()


def version_of(directory: Directory, ref: Ref) -> int:
    """Return the version of an object; 0 if it does not exist."""
    existing = directory.get(*ref)
    return 0 if existing is None else existing.version


def find_conflict(
    directory: Directory,
    proposals: Iterable[Proposal],
) -> Failed | None:
    """Return the first version conflict, showing the current object."""
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
    """Return the changes of the next revision, omitting no-op proposals."""
    failure = find_conflict(directory, proposals)
    if failure is not None:
        return failure
    changes: list[Change] = []
    for each in proposals:
        existing = directory.get(*each.ref)
        if each.body is None and existing is None:
            return Failed.of(
                ResultCode.object_unknown,
                f'{each.kind} {each.name!r}',
            )
        body = _with_version(each.body, existing)
        if body is None or body != existing:
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
    """Return the differences that the proposals would make."""
    return tuple(_diff_one(directory, each) for each in proposals)


def action_of(
    before: AnyObject | None, after: AnyObject | None
) -> ChangeAction:
    """Return the action that leads from one state of an object to another."""
    if before == after:
        return ChangeAction.unchanged
    if before is None:
        return ChangeAction.create
    return ChangeAction.delete if after is None else ChangeAction.update


def _with_version(
    body: AnyObject | None,
    existing: AnyObject | None,
) -> AnyObject | None:
    """Return the body with its next version; equal content keeps the same."""
    if body is None:
        return None
    current = 0 if existing is None else existing.version
    same_version = msgspec.structs.replace(body, version=current)
    if same_version == existing:
        return existing
    return msgspec.structs.replace(body, version=current + 1)


def _diff_one(directory: Directory, proposal: Proposal) -> ObjectDiff:
    existing = directory.get(*proposal.ref)
    body = _with_version(proposal.body, existing)
    action = action_of(existing, body)
    before, after = _fields(existing), _fields(body)
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
        name: field_value
        for name, field_value in fields.items()
        if name not in {'kind', 'name', 'version'}
    }


def _conflict(
    directory: Directory,
    proposal: Proposal,
    current: int,
) -> Failed:
    state = 'it does not exist'
    if current:
        existing = directory.get(*proposal.ref)
        state = (
            f'it is at version {current}: '
            f'{msgspec.json.encode(existing).decode()}'
        )
    return Failed.of(
        ResultCode.conflict,
        f'{proposal.kind} {proposal.name!r}: expected version '
        f'{proposal.expected}, but {state}',
    )
