"""Build the history records of commits."""

from mintlanding.configuration.directory import Directory
from mintlanding.configuration.documents import Commit, Edit
from mintlanding.configuration.models import Delta
from mintlanding.configuration.proposals import action_of
from mintlanding.configuration.write_ids import Authorship

MAX_COMMIT_EDITS = 64


def commit_record(
    directory: Directory,
    delta: Delta,
    authorship: Authorship,
) -> Commit:
    """Return the history record of a commit.

    Edits beyond MAX_COMMIT_EDITS are counted, not listed.
    """
    edits = [
        Edit(
            change.kind,
            change.name,
            action_of(directory.get(change.kind, change.name), change.body),
            0 if change.body is None else change.body.version,
        )
        for change in delta.changes[:MAX_COMMIT_EDITS]
    ]
    return Commit(
        delta.revision,
        authorship.write_id,
        authorship.author,
        authorship.at,
        tuple(edits),
        len(delta.changes) - len(edits),
    )
