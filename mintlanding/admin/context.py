"""State that the operations share: storage, keys, fleet and clock."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Self

from mintlanding.admin.errors import Refusal, build_check_refusal
from mintlanding.admin.messages import (
    ChangeAnswer,
    FieldChange,
    ObjectChange,
)
from mintlanding.admin.ports import FleetPort, NoFleet
from mintlanding.admin.progress import InForceProgress
from mintlanding.admin.schemas import SCHEMAS, ObjectSchema
from mintlanding.configuration.checks import check_proposals
from mintlanding.configuration.directory import Directory
from mintlanding.configuration.keys import KeyHasher
from mintlanding.configuration.models import AnyObject
from mintlanding.configuration.proposals import (
    ChangeAction,
    ObjectDiff,
    Proposal,
    diff,
    find_conflict,
    number_changes,
)
from mintlanding.configuration.storage import ConfigurationStorage
from mintlanding.configuration.write_ids import (
    Authorship,
    Committed,
    new_write_id,
)
from mintlanding.core.clock import Clock, SystemClock
from mintlanding.core.exceptions import PlatformError, PlatformUnavailable
from mintlanding.core.logs import Logger
from mintlanding.core.results import Failed, Outcome, ResultCode

RETRY_AFTER_SECONDS = 2
MAX_LISTED_CHANGES = 1000

_logger = Logger('admin')


@dataclass(slots=True)
class AdminContext:
    """State of the administration process."""

    storage: ConfigurationStorage
    hasher: KeyHasher
    clock: Clock = field(default_factory=SystemClock)
    fleet: FleetPort = field(default_factory=NoFleet)
    progress: InForceProgress = field(default_factory=InForceProgress)
    is_stale: bool = False

    @classmethod
    def from_parts(
        cls,
        storage: ConfigurationStorage,
        hasher: KeyHasher,
        clock: Clock | None = None,
        fleet: FleetPort | None = None,
    ) -> Self:
        """Build a context; without a fleet, fleet operations are refused."""
        return cls(
            storage,
            hasher,
            clock or SystemClock(),
            fleet or NoFleet(),
        )

    async def read(self) -> Directory | Refusal:
        """Return the newest configuration; set `is_stale` if it may be old."""
        try:
            directory = await self.storage.load()
        except PlatformError as exc:
            _logger.warning('Platform did not respond.', reason=str(exc))
            self.is_stale = True
            if self.storage.directory.revision:
                return self.storage.directory
            return Refusal(_to_failure(exc))
        self.is_stale = False
        return directory

    async def change(
        self,
        proposals: Sequence[Proposal],
        operator: str,
        *,
        dry_run: bool = False,
        write_id: str = '',
    ) -> ChangeAnswer | Refusal:
        """Check and commit the proposals; with `dry_run`, only check them."""
        directory = await self.read()
        if isinstance(directory, Refusal):
            return directory
        diffs = diff(directory, proposals)
        if dry_run:
            return self._dry_run(directory, proposals, diffs)
        now = self.clock.wall()
        used_write_id = write_id or new_write_id(now)
        authorship = Authorship(operator, used_write_id, now)
        try:
            outcome = await self.storage.commit(proposals, authorship)
        except PlatformError as exc:
            return Refusal(_to_failure(exc), write_id=used_write_id)
        if isinstance(outcome, Failed):
            return self._build_refusal(outcome, proposals, used_write_id)
        return self._record_accepted(outcome.value, diffs, operator)

    def _dry_run(
        self,
        directory: Directory,
        proposals: Sequence[Proposal],
        diffs: Sequence[ObjectDiff],
    ) -> ChangeAnswer | Refusal:
        numbered = number_changes(directory, proposals)
        if isinstance(numbered, Failed):
            return self._build_refusal(numbered, proposals, None)
        messages = check_proposals(directory, proposals)
        if messages:
            return build_check_refusal(messages)
        return _build_change_answer(directory.revision, diffs, dry_run=True)

    def _record_accepted(
        self,
        committed: Committed,
        diffs: Sequence[ObjectDiff],
        operator: str,
    ) -> ChangeAnswer:
        self.progress.note_accepted(committed.revision, self.clock.monotonic())
        _logger.info(
            'Change accepted.',
            revision=committed.revision,
            operator=operator,
            objects=len(committed.changes),
        )
        return _build_change_answer(
            committed.revision,
            () if committed.repeated else diffs,
            repeated=committed.repeated,
            write_id=committed.write_id,
        )

    def _build_refusal(
        self,
        failure: Failed,
        proposals: Sequence[Proposal],
        write_id: str | None,
    ) -> Refusal:
        directory = self.storage.directory
        if failure.code in {ResultCode.object_invalid, ResultCode.in_use}:
            messages = check_proposals(directory, proposals)
            return (
                build_check_refusal(messages) if messages else Refusal(failure)
            )
        if failure.code is not ResultCode.conflict:
            return Refusal(failure, write_id=write_id)
        return Refusal(failure, current=_find_current(directory, proposals))


def build_schema(body: AnyObject) -> ObjectSchema:
    """Return the API schema of an object."""
    return SCHEMAS[body.ref[0]].from_struct(body)


def refusal_of(outcome: Outcome[object]) -> Refusal | None:
    """Return the refusal for a failed outcome, None for a good one."""
    return Refusal(outcome) if isinstance(outcome, Failed) else None


def _find_current(
    directory: Directory,
    proposals: Sequence[Proposal],
) -> ObjectSchema | None:
    """Return the current object of the first version conflict, if any."""
    for each in proposals:
        if find_conflict(directory, (each,)) is not None:
            body = directory.get(*each.ref)
            return None if body is None else build_schema(body)
    return None


def _build_change_answer(
    revision: int,
    diffs: Sequence[ObjectDiff],
    **fields: Any,
) -> ChangeAnswer:
    changed = [
        each for each in diffs if each.action is not ChangeAction.unchanged
    ]
    listed = changed[:MAX_LISTED_CHANGES]
    return ChangeAnswer(
        revision=revision,
        changes=tuple(_to_object_change(each) for each in listed),
        unlisted_changes=len(changed) - len(listed),
        **fields,
    )


def _to_object_change(change: ObjectDiff) -> ObjectChange:
    return ObjectChange(
        kind=change.kind,
        name=change.name,
        action=change.action,
        fields=tuple(
            FieldChange(field=each.field, before=each.before, after=each.after)
            for each in change.fields
            if each.field != 'digest'
        ),
    )


def _to_failure(exc: PlatformError) -> Failed:
    if isinstance(exc, PlatformUnavailable):
        return Failed(
            ResultCode.platform_unavailable,
            str(exc),
            retry_after=RETRY_AFTER_SECONDS,
        )
    return Failed.of(ResultCode.platform_unavailable, str(exc))
