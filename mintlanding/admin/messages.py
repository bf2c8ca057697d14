"""Requests and answers of the administration API beside the objects."""

from typing import Annotated, Any

from pydantic import Field, StringConstraints

from mintlanding.admin.schemas import (
    KIND_PATTERN,
    MAX_APPLY_OBJECTS,
    AnyName,
    AnySchema,
    LabelText,
    Match,
    Name,
    Schema,
    VersionCount,
)

MAX_PAGE = 1000
DEFAULT_PAGE = 100

Kind = Annotated[str, StringConstraints(pattern=KIND_PATTERN)]
PageLimit = Annotated[int, Field(ge=1, le=MAX_PAGE)]
WriteId = Annotated[
    str,
    StringConstraints(pattern='^[0-9a-f]{1,12}-[0-9a-f]{8,64}$'),
]


class Deletion(Schema):
    """An object to delete, if it is still at `version`."""

    kind: Kind
    name: AnyName
    version: VersionCount | None = None


class ApplyRequest(Schema):
    """Objects to put and to delete, all or none.

    Repeat an apply whose outcome is unknown with the same `write_id`.
    """

    objects: Annotated[
        tuple[AnySchema, ...],
        Field(max_length=MAX_APPLY_OBJECTS),
    ] = ()
    deletions: Annotated[
        tuple[Deletion, ...],
        Field(max_length=MAX_APPLY_OBJECTS),
    ] = ()
    write_id: WriteId | None = None


class FieldChange(Schema):
    """A field before and after a change."""

    field: str
    before: Any = None
    after: Any = None


class ObjectChange(Schema):
    """What happens to one object."""

    kind: str
    name: str
    action: str
    fields: tuple[FieldChange, ...] = ()


class ChangeAnswer(Schema):
    """An accepted change, or with `dry_run` one that would be accepted.

    Objects that stay as they are do not appear; of a large change the first
    objects are listed and the others counted.
    """

    revision: int
    dry_run: bool = False
    repeated: bool = False
    write_id: str = ''
    changes: tuple[ObjectChange, ...] = ()
    unlisted_changes: int = 0


class Page(Schema):
    """Part of a list; pass `next_cursor` as `cursor` to go on."""

    items: tuple[AnySchema, ...]
    total: int
    revision: int
    next_cursor: str = ''
    stale: bool = False


class GrantRequest(Schema):
    """A workspace to grant a new key to."""

    workspace: Name
    labels: Annotated[dict[LabelText, LabelText], Field(max_length=32)] = {}


class GrantAnswer(Schema):
    """A new key; `key` is shown this once only."""

    key: str
    id: str
    workspace: str
    revision: int


class EditAnswer(Schema):
    """One object of a past change."""

    kind: str
    name: str
    action: str
    version: int


class CommitAnswer(Schema):
    """A past change: who, when (seconds since the Unix epoch), what."""

    revision: int
    author: str
    at: float
    write_id: str
    edits: tuple[EditAnswer, ...]
    unlisted_edits: int = 0


class HistoryAnswer(Schema):
    """Past changes, newest first, as far as they are kept."""

    commits: tuple[CommitAnswer, ...]


class DaemonAnswer(Schema):
    """The revision in force at one daemon."""

    instance: str
    zone: str
    state: str
    revision: int
    is_current: bool
    stale_seconds: float | None = None


class StatusAnswer(Schema):
    """Whether the newest revision is in force everywhere, and how soon.

    `seconds` counts from the acceptance here to the last live daemon. While
    `stale`, a newer revision than the one known here may exist, so nothing is
    said to be in force everywhere.
    """

    revision: int
    stale: bool
    in_force: bool
    seconds: float | None = None
    daemons: tuple[DaemonAnswer, ...] = ()


class RuleAnswer(Schema):
    """One rule that was considered."""

    rule: str
    taken: bool
    reason: str


class ExplainAnswer(Schema):
    """Where a request would run, and which rules led there."""

    model: str
    workspace: str
    outcome: str
    adapter: str = ''
    version: str = ''
    service: str = ''
    targets: tuple[str, ...] = ()
    rules: tuple[RuleAnswer, ...] = ()


class DrainRequest(Schema):
    """An instance that is to leave."""

    instance: Name


class DrainAnswer(Schema):
    """The instance that leaves."""

    instance: str
    state: str


class DryRunQuery(Schema):
    """Query of changes."""

    dry_run: bool = False


class ListQuery(Schema):
    """Query of lists: a label selector and a page."""

    selector: Match = ''
    workspace: Annotated[str, Field(max_length=128)] = ''
    limit: PageLimit = DEFAULT_PAGE
    cursor: Annotated[str, Field(max_length=400)] = ''


class HistoryQuery(Schema):
    """Query of the history."""

    limit: PageLimit = DEFAULT_PAGE


class ExplainQuery(Schema):
    """A request to explain."""

    model: Annotated[str, Field(min_length=1, max_length=256)]
    workspace: Name
    caller: Annotated[str, Field(max_length=256)] = ''


class EmptyQuery(Schema):
    """No query."""


class Mistake(Schema):
    """One mistake in a request: where, what, and what to do."""

    place: str
    message: str
    hint: str
    check_id: str = ''


class ErrorBody(Schema):
    """A failure with its result code; `ran` tells whether it took effect."""

    code: int
    type: str
    message: str
    ran: str
    hint: str = ''
    retry_after: float | None = None
    write_id: str | None = None
    mistakes: tuple[Mistake, ...] = ()
    current: AnySchema | None = None


class ErrorAnswer(Schema):
    """The shape of every failure."""

    error: ErrorBody
