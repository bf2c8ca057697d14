"""Requests and responses of the administration API, except objects."""

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
    """Objects to put and to delete atomically.

    Retry an apply whose outcome is unknown with the same `write_id`.
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
    """The change of one object."""

    kind: str
    name: str
    action: str
    fields: tuple[FieldChange, ...] = ()


class ChangeAnswer(Schema):
    """An accepted change, or a change that would be accepted (`dry_run`).

    Unchanged objects are left out. A large change lists its first objects and
    counts the others.
    """

    revision: int
    dry_run: bool = False
    repeated: bool = False
    write_id: str = ''
    changes: tuple[ObjectChange, ...] = ()
    unlisted_changes: int = 0


class Page(Schema):
    """One page of a list; pass `next_cursor` as `cursor` for the next page."""

    items: tuple[AnySchema, ...]
    total: int
    revision: int
    next_cursor: str = ''
    stale: bool = False


class GrantRequest(Schema):
    """The workspace of a new key, and its labels."""

    workspace: Name
    labels: Annotated[dict[LabelText, LabelText], Field(max_length=32)] = {}


class GrantAnswer(Schema):
    """A new key; `key` is shown only once."""

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
    """A past change; `at` is in seconds since the Unix epoch."""

    revision: int
    author: str
    at: float
    write_id: str
    edits: tuple[EditAnswer, ...]
    unlisted_edits: int = 0


class HistoryAnswer(Schema):
    """Past changes that are still kept, newest first."""

    commits: tuple[CommitAnswer, ...]


class DaemonAnswer(Schema):
    """The revision in force on one instance."""

    instance: str
    zone: str
    state: str
    revision: int
    is_current: bool
    stale_seconds: float | None = None


class StatusAnswer(Schema):
    """Whether the newest revision is in force on every instance.

    `seconds` is the time from its acceptance here until the last live daemon
    applied it. While `stale`, a newer revision may exist than the one known
    here, so `in_force` is false.
    """

    revision: int
    stale: bool
    in_force: bool
    seconds: float | None = None
    daemons: tuple[DaemonAnswer, ...] = ()


class RuleAnswer(Schema):
    """One rule that was evaluated."""

    rule: str
    taken: bool
    reason: str


class ExplainAnswer(Schema):
    """Where a request would run, and the rules that were evaluated."""

    model: str
    workspace: str
    outcome: str
    adapter: str = ''
    version: str = ''
    service: str = ''
    targets: tuple[str, ...] = ()
    rules: tuple[RuleAnswer, ...] = ()


class DrainRequest(Schema):
    """The instance to drain."""

    instance: Name


class DrainAnswer(Schema):
    """The instance that drains, and its state."""

    instance: str
    state: str


class DryRunQuery(Schema):
    """Query parameters of changes."""

    dry_run: bool = False


class ListQuery(Schema):
    """Query parameters of lists: filters and a page."""

    selector: Match = ''
    workspace: Annotated[str, Field(max_length=128)] = ''
    limit: PageLimit = DEFAULT_PAGE
    cursor: Annotated[str, Field(max_length=400)] = ''


class HistoryQuery(Schema):
    """Query parameters of the history."""

    limit: PageLimit = DEFAULT_PAGE


class ExplainQuery(Schema):
    """Query parameters that describe a request to explain."""

    model: Annotated[str, Field(min_length=1, max_length=256)]
    workspace: Name
    caller: Annotated[str, Field(max_length=256)] = ''


class EmptyQuery(Schema):
    """No query parameters."""


class Mistake(Schema):
    """One error in a request, with a hint.

    `place` is the dotted path of the faulty field or object.
    """

    place: str
    message: str
    hint: str
    check_id: str = ''


class ErrorBody(Schema):
    """A failure with its result code; `ran` says whether it took effect."""

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
    """The format of every error."""

    error: ErrorBody
