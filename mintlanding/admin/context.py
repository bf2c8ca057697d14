"""What the operations share: storage, keys, the fleet, and the clock."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Self

from mintlanding.admin.errors import Refusal, refuse_checks
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
        """Build a context; without a fleet nothing is known of daemons."""
        return cls(
            storage,
            hasher,
            clock or SystemClock(),
            fleet or NoFleet(),
        )

    async def read(self) -> Directory | Refusal:
        """Return the newest configuration, or an older one marked stale."""
        try:
            directory = await self.storage.load()
        except PlatformError as exc:
            _logger.warning('The platform did not answer.', reason=str(exc))
            self.is_stale = True
            if self.storage.directory.revision:
                return self.storage.directory
            return Refusal(_unavailable(exc))
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
        """Check the proposals and commit them, or tell what they would do."""
        directory = await self.read()
        if isinstance(directory, Refusal):
            return directory
        shown = diff(directory, proposals)
        if dry_run:
            return self._rehearse(directory, proposals, shown)
        now = self.clock.wall()
        written_as = write_id or new_write_id(now)
        authorship = Authorship(operator, written_as, now)
        try:
            outcome = await self.storage.commit(proposals, authorship)
        except PlatformError as exc:
            return Refusal(_unavailable(exc), write_id=written_as)
        if isinstance(outcome, Failed):
            return self._refuse(outcome, proposals, written_as)
        return self._accept(outcome.value, shown, operator)

    def _rehearse(
        self,
        directory: Directory,
        proposals: Sequence[Proposal],
        shown: Sequence[ObjectDiff],
    ) -> ChangeAnswer | Refusal:
        numbered = number_changes(directory, proposals)
        if isinstance(numbered, Failed):
            return self._refuse(numbered, proposals, None)
        messages = check_proposals(directory, proposals)
        if messages:
            return refuse_checks(messages)
        return _answer(directory.revision, shown, dry_run=True)

    def _accept(
        self,
        committed: Committed,
        shown: Sequence[ObjectDiff],
        operator: str,
    ) -> ChangeAnswer:
        self.progress.accepted(committed.revision, self.clock.monotonic())
        _logger.info(
            'A change was accepted.',
            revision=committed.revision,
            operator=operator,
            objects=len(committed.changes),
        )
        return _answer(
            committed.revision,
            () if committed.repeated else shown,
            repeated=committed.repeated,
            write_id=committed.write_id,
        )

    def _refuse(
        self,
        failure: Failed,
        proposals: Sequence[Proposal],
        write_id: str | None,
    ) -> Refusal:
        directory = self.storage.directory
        if failure.code in {ResultCode.object_invalid, ResultCode.in_use}:
            messages = check_proposals(directory, proposals)
            return refuse_checks(messages) if messages else Refusal(failure)
        if failure.code is not ResultCode.conflict:
            return Refusal(failure, write_id=write_id)
        return Refusal(failure, current=_current(directory, proposals))


def present(body: AnyObject) -> ObjectSchema:
    """Return an object as operators see it."""
    return SCHEMAS[body.ref[0]].from_struct(body)


def outcome_failed(outcome: Outcome[object]) -> Refusal | None:
    """Turn a failed outcome into a refusal."""
    return Refusal(outcome) if isinstance(outcome, Failed) else None


def _current(
    directory: Directory,
    proposals: Sequence[Proposal],
) -> ObjectSchema | None:
    """Return what is there instead of the version that was expected."""
    for each in proposals:
        if find_conflict(directory, (each,)) is not None:
            body = directory.get(*each.ref)
            return None if body is None else present(body)
    return None


def _answer(
    revision: int,
    shown: Sequence[ObjectDiff],
    **fields: Any,
) -> ChangeAnswer:
    changed = [
        each for each in shown if each.action is not ChangeAction.unchanged
    ]
    listed = changed[:MAX_LISTED_CHANGES]
    return ChangeAnswer(
        revision=revision,
        changes=tuple(_present_change(each) for each in listed),
        unlisted_changes=len(changed) - len(listed),
        **fields,
    )


def _present_change(shown: ObjectDiff) -> ObjectChange:
    return ObjectChange(
        kind=shown.kind,
        name=shown.name,
        action=shown.action,
        fields=tuple(
            FieldChange(field=each.field, before=each.before, after=each.after)
            for each in shown.fields
            if each.field != 'digest'
        ),
    )


def _unavailable(exc: PlatformError) -> Failed:
    if isinstance(exc, PlatformUnavailable):
        return Failed(
            ResultCode.platform_unavailable,
            str(exc),
            retry_after=RETRY_AFTER_SECONDS,
        )
    return Failed.of(ResultCode.platform_unavailable, str(exc))
