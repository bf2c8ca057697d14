"""Store the configuration in the platform's key-value service.

Every change is one compare-and-swap of the manifest. After a swap without a
response, the history is searched for its write id. A repeated swap cannot take
effect twice, as each swap names the index of the manifest that it replaces.
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
from mintlanding.configuration.manifest_writer import (
    ManifestWriter,
    SwapUnconfirmed,
)
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
    """The manifest that was last read or written, and its index."""

    manifest: Manifest = field(default_factory=Manifest)
    index: int = CREATE_ONLY


class ConfigurationStorage:
    """Read and change the stored configuration and cache it in a directory."""

    def __init__(
        self,
        service: KeyValueService,
        limits: LayoutLimits | None = None,
    ) -> None:
        """Start with an empty directory."""
        self.directory = Directory()
        self.reader = ConfigurationReader(service)
        self._service = service
        self._writer = ManifestWriter(service)
        self._limits = limits or LayoutLimits()
        self._stored = StoredState()
        self._lock = asyncio.Lock()

    async def load(self) -> Directory:
        """Update the directory from the key-value service and return it."""
        async with self._lock:
            await self._refresh()
        return self.directory

    async def changes_since(self, revision: int) -> Delta:
        """Return the changes after a revision, or a snapshot if too old."""
        return await self.reader.delta_of(await self.reader.latest(), revision)

    async def check(
        self,
        proposals: Sequence[Proposal],
    ) -> list[CheckMessage]:
        """Check proposals against the current configuration."""
        await self.load()
        return check_proposals(self.directory, proposals)

    async def commit(
        self,
        proposals: Sequence[Proposal],
        authorship: Authorship,
    ) -> Outcome[Committed]:
        """Apply all proposals or none.

        A commit that failed with `ran` unknown may have taken effect: repeat
        it with the same write id.
        """
        async with self._lock:
            return await self._commit(proposals, authorship)

    async def history(self, limit: int) -> list[Commit]:
        """Return the latest commits, newest first, as far as retained."""
        async with self._lock:
            await self._refresh()
        return await self.reader.commits(self._stored.manifest, limit)

    async def collect_garbage(self) -> int:
        """Delete blobs that no manifest can reference; return their number."""
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
                'the write id does not begin with a hexadecimal timestamp',
            )
        unconfirmed_writes: _UnconfirmedWrites = {}
        for _ in range(MAX_ATTEMPTS):
            try:
                outcome = await self._attempt(
                    proposals,
                    authorship,
                    unconfirmed_writes,
                )
            except SwapUnconfirmed as unconfirmed:
                unconfirmed_writes[unconfirmed.revision] = unconfirmed.changes
            except PlatformError as exc:
                return _unavailable(
                    authorship, str(exc), bool(unconfirmed_writes)
                )
            else:
                if outcome is not None:
                    return outcome
        return _unavailable(
            authorship, 'too many attempts', bool(unconfirmed_writes)
        )

    async def _attempt(
        self,
        proposals: Sequence[Proposal],
        authorship: Authorship,
        unconfirmed_writes: '_UnconfirmedWrites',
    ) -> Outcome[Committed] | None:
        """Try once; return None if another writer changed the manifest."""
        await self._refresh()
        if self._stored.manifest.schema > SCHEMA:
            return Failed.of(
                ResultCode.conflict,
                'the configuration was written by a later release; '
                'use the administration process of that release',
            )
        earlier = await find_write(
            self.reader,
            self._stored.manifest,
            authorship.write_id,
        )
        if earlier is not None:
            return _mark_own_write(earlier, unconfirmed_writes)
        numbered = number_changes(self.directory, proposals)
        if isinstance(numbered, Failed):
            return numbered
        failure = self._validate(proposals)
        if failure is not None:
            return failure
        if not numbered.value:
            revision = self.directory.revision
            return Done(Committed(revision, authorship.write_id))
        return await self._write(numbered.value, authorship)

    def _validate(self, proposals: Sequence[Proposal]) -> Failed | None:
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
            self._reject_rollback(Manifest())
            return
        if entry.index == self._stored.index:
            return
        reading = await self.reader.read(entry, self.directory.revision)
        self._reject_rollback(reading.manifest)
        self.directory.apply(reading.delta)
        self._stored = StoredState(reading.manifest, reading.index)

    def _reject_rollback(self, manifest: Manifest) -> None:
        """Raise if the service has lost a revision that was accepted."""
        if manifest.revision < self.directory.revision:
            raise StoredConfigurationError(
                f'the key-value service has revision {manifest.revision}, but '
                f'{self.directory.revision} was accepted; restore its data',
            )


_UnconfirmedWrites = dict[int, tuple[Change, ...]]


def _mark_own_write(
    earlier: Outcome[Committed],
    unconfirmed_writes: _UnconfirmedWrites,
) -> Outcome[Committed]:
    """Mark a write found in the history as new if this call sent it."""
    if (
        isinstance(earlier, Failed)
        or earlier.value.revision not in unconfirmed_writes
    ):
        return earlier
    changes = unconfirmed_writes[earlier.value.revision]
    return Done(replace(earlier.value, repeated=False, changes=changes))


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
