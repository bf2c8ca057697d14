"""The configuration in the platform's key-value service.

Every change is one compare-and-swap of the manifest. A write whose answer was
lost is settled by reading back its write id: the swap names the manifest it
replaces, so the same change cannot take effect twice.
"""

import asyncio
import secrets
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from mintlanding.configuration.checks import check_proposals
from mintlanding.configuration.commit_records import commit_record
from mintlanding.configuration.directory import Directory
from mintlanding.configuration.documents import (
    BLOB_PREFIX,
    SCHEMA,
    Commit,
    Manifest,
    blob_revision,
)
from mintlanding.configuration.exceptions import (
    ConfigurationTooLarge,
    StoredConfigurationError,
)
from mintlanding.configuration.layout import (
    LayoutLimits,
    LayoutPlanner,
    NextState,
)
from mintlanding.configuration.manifest_writer import AnswerLost, ManifestWriter
from mintlanding.configuration.models import Change, Delta
from mintlanding.configuration.proposals import (
    Proposal,
    number_changes,
)
from mintlanding.configuration.reader import ConfigurationReader
from mintlanding.configuration.write_ids import (
    Authorship,
    Committed,
    find_write,
    write_id_time,
)
from mintlanding.coordination.keyvalue import CREATE_ONLY, KeyValueService
from mintlanding.core.checks import CheckMessage
from mintlanding.core.exceptions import PlatformError
from mintlanding.core.results import Done, Failed, Outcome, Ran, ResultCode

MAX_ATTEMPTS = 16
RETRY_AFTER_SECONDS = 2
_NONCE_BYTES = 8


@dataclass(slots=True)
class StoredState:
    """What was last read: the manifest and its index in the service."""

    manifest: Manifest = field(default_factory=Manifest)
    index: int = CREATE_ONLY


class ConfigurationStorage:
    """Read and change the configuration; keeps a directory up to date."""

    def __init__(
        self,
        service: KeyValueService,
        limits: LayoutLimits | None = None,
    ) -> None:
        """Use a key-value service."""
        self.directory = Directory()
        self.reader = ConfigurationReader(service)
        self._service = service
        self._writer = ManifestWriter(service)
        self._limits = limits or LayoutLimits()
        self._stored = StoredState()
        self._lock = asyncio.Lock()

    async def load(self) -> Directory:
        """Bring the directory up to date and return it."""
        async with self._lock:
            await self._refresh()
        return self.directory

    async def changes_since(self, revision: int) -> Delta:
        """Read what changed after a revision, or else a snapshot."""
        return await self.reader.delta_of(await self.reader.latest(), revision)

    async def check(
        self,
        proposals: Sequence[Proposal],
    ) -> list[CheckMessage]:
        """Check proposals against the configuration in force."""
        await self.load()
        return check_proposals(self.directory, proposals)

    async def commit(
        self,
        proposals: Sequence[Proposal],
        authorship: Authorship,
    ) -> Outcome[Committed]:
        """Change the configuration, all proposals or none.

        A failure with `ran` unknown may have taken effect: repeat it with the
        same write id.
        """
        async with self._lock:
            return await self._commit(proposals, authorship)

    async def history(self, limit: int) -> list[Commit]:
        """Return the latest commits, newest first, as far as kept."""
        async with self._lock:
            await self._refresh()
        return await self.reader.commits(self._stored.manifest, limit)

    async def collect_garbage(self) -> int:
        """Delete blobs that no manifest names or ever will; count them."""
        async with self._lock:
            await self._refresh()
        manifest = self._stored.manifest
        listing = await self._service.list(BLOB_PREFIX)
        garbage = [
            entry.key
            for entry in listing.entries
            if entry.key not in manifest.blob_keys()
            and blob_revision(entry.key) < manifest.revision
        ]
        for key in garbage:
            await self._service.delete(key)
        return len(garbage)

    async def _commit(
        self,
        proposals: Sequence[Proposal],
        authorship: Authorship,
    ) -> Outcome[Committed]:
        if write_id_time(authorship.write_id) is None:
            return Failed.of(
                ResultCode.object_invalid,
                'the write id does not begin with its time in hex',
            )
        lost: _LostWrites = {}
        for _ in range(MAX_ATTEMPTS):
            try:
                outcome = await self._attempt(
                    proposals,
                    authorship,
                    lost,
                )
            except AnswerLost as answer_lost:
                lost[answer_lost.revision] = answer_lost.changes
            except PlatformError as exc:
                return _unavailable(authorship, str(exc), bool(lost))
            else:
                if outcome is not None:
                    return outcome
        return _unavailable(authorship, 'too many attempts', bool(lost))

    async def _attempt(
        self,
        proposals: Sequence[Proposal],
        authorship: Authorship,
        lost: '_LostWrites',
    ) -> Outcome[Committed] | None:
        """Try once; nothing when another writer came first."""
        await self._refresh()
        if self._stored.manifest.schema > SCHEMA:
            return Failed.of(
                ResultCode.conflict,
                'a later release writes here; use its administration process',
            )
        settled = await find_write(
            self.reader,
            self._stored.manifest,
            authorship.write_id,
        )
        if settled is not None:
            return _with_lost(settled, lost)
        numbered = number_changes(self.directory, proposals)
        if isinstance(numbered, Failed):
            return numbered
        failure = self._find_mistakes(proposals)
        if failure is not None:
            return failure
        if not numbered.value:
            revision = self.directory.revision
            return Done(Committed(revision, authorship.write_id))
        return await self._write(numbered.value, authorship)

    def _find_mistakes(self, proposals: Sequence[Proposal]) -> Failed | None:
        messages = check_proposals(self.directory, proposals)
        if not messages:
            return None
        in_use = all(message.check_id == 'C004' for message in messages)
        code = ResultCode.in_use if in_use else ResultCode.object_invalid
        return Failed.of(code, '\n'.join(str(each) for each in messages))

    async def _write(
        self,
        changes: tuple[Change, ...],
        authorship: Authorship,
    ) -> Outcome[Committed] | None:
        before = self.directory.revision
        delta = Delta(base=before, revision=before + 1, changes=changes)
        commit = commit_record(self.directory, delta, authorship)
        planner = LayoutPlanner(
            self._stored.manifest,
            secrets.token_hex(_NONCE_BYTES),
            self._limits,
        )
        try:
            plan = planner.plan(NextState(self.directory, changes), commit)
        except ConfigurationTooLarge as exc:
            return Failed.of(ResultCode.object_invalid, str(exc))
        await self._writer.put_blobs(plan)
        index = await self._writer.swap(plan, changes, self._stored.index)
        if index is None:
            return None
        self.directory.apply(delta)
        self._stored = StoredState(plan.manifest, index)
        await self._writer.delete_retired(plan)
        return Done(
            Committed(delta.revision, authorship.write_id, changes),
        )

    async def _refresh(self) -> None:
        entry = await self.reader.latest()
        if entry is None:
            self._refuse_revert(Manifest())
            return
        if entry.index == self._stored.index:
            return
        reading = await self.reader.read(entry, self.directory.revision)
        self._refuse_revert(reading.manifest)
        self.directory.apply(reading.delta)
        self._stored = StoredState(reading.manifest, reading.index)

    def _refuse_revert(self, manifest: Manifest) -> None:
        """Stop when the service lost data that was accepted before."""
        if manifest.revision < self.directory.revision:
            raise StoredConfigurationError(
                f'the service holds revision {manifest.revision}, below '
                f'the accepted {self.directory.revision}; restore it',
            )


_LostWrites = dict[int, tuple[Change, ...]]


def _with_lost(
    settled: Outcome[Committed],
    lost: _LostWrites,
) -> Outcome[Committed]:
    """Tell a write of this call, found again, from one of an earlier call."""
    if isinstance(settled, Failed) or settled.value.revision not in lost:
        return settled
    changes = lost[settled.value.revision]
    return Done(replace(settled.value, repeated=False, changes=changes))


def _unavailable(
    authorship: Authorship,
    detail: str,
    may_have_run: bool,
) -> Failed:
    return Failed(
        ResultCode.platform_unavailable,
        f'{detail}; write id {authorship.write_id}',
        Ran.unknown if may_have_run else Ran.not_run,
        RETRY_AFTER_SECONDS,
    )
