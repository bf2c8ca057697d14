"""List, get, put and delete operations on objects of each kind."""

import base64
import binascii
import re
from collections.abc import Sequence

from mintlanding.admin.context import AdminContext, build_schema
from mintlanding.admin.errors import Refusal, build_refusal
from mintlanding.admin.messages import (
    ChangeAnswer,
    DryRunQuery,
    ListQuery,
    Page,
)
from mintlanding.admin.operations import Call, Operation, add_operation
from mintlanding.admin.schemas import SCHEMAS, KeySchema, ObjectSchema, Schema
from mintlanding.configuration.directory import Directory
from mintlanding.configuration.labels import LabelSelector, SelectorSyntaxError
from mintlanding.configuration.models import AnyObject
from mintlanding.configuration.proposals import Proposal
from mintlanding.core.results import Done, Failed, Outcome, ResultCode

_ENTITY_TAG = re.compile('"([0-9]{1,15})"')

COLLECTIONS = {
    'workspaces': 'workspace',
    'keys': 'key',
    'adapters': 'adapter',
    'adapter-versions': 'adapter-version',
    'services': 'service',
    'targets': 'target',
    'selectors': 'selector',
    'settings': 'settings',
}


def collection_of(kind: str) -> str:
    """Return the collection (path segment) of a kind."""
    found = [each for each, named in COLLECTIONS.items() if named == kind]
    return found[0]


def propose(
    requested: ObjectSchema,
    directory: Directory,
    expected: int | None,
) -> Outcome[Proposal]:
    """Return the proposal to put an object; a key keeps its stored hash."""
    if not isinstance(requested, KeySchema):
        return Done(Proposal.put(requested.to_struct(), expected))
    existing = directory.find_key(requested.name)
    if existing is None:
        return Failed.of(
            ResultCode.object_unknown,
            f'key {requested.name!r}; new keys come from POST /v1/keys',
        )
    return Done(Proposal.put(requested.with_digest(existing.digest), expected))


def expected_version(
    call: Call, body_version: int | None
) -> Outcome[int | None]:
    """Return the version that the operator read, from If-Match or body."""
    if call.if_match is None:
        return Done(body_version)
    found = _ENTITY_TAG.fullmatch(call.if_match)
    if found is None:
        return Failed.of(
            ResultCode.missing_field,
            'If-Match holds no version; write it in double quotes',
        )
    header = int(found.group(1))
    if body_version not in {None, header}:
        return Failed.of(
            ResultCode.missing_field,
            f'If-Match says {header}, the body says {body_version}',
        )
    return Done(header)


def encode_cursor(name: str) -> str:
    """Return an opaque cursor that points after an object."""
    return base64.urlsafe_b64encode(name.encode()).decode()


def decode_cursor(cursor: str) -> Outcome[str]:
    """Return the name of the object that a cursor points after."""
    try:
        decoded = base64.b64decode(cursor.encode(), b'-_', validate=True)
        return Done(decoded.decode())
    except (binascii.Error, UnicodeError):
        return Failed.of(ResultCode.missing_field, 'the cursor is not valid')


def select_page(
    bodies: Sequence[AnyObject],
    after: str,
    limit: int,
) -> tuple[list[AnyObject], str]:
    """Return the objects after a name, and the cursor of the next page.

    A cursor is a name, so changes between two pages neither repeat nor skip
    objects that remain.
    """
    rest = [body for body in bodies if body.name > after]
    page = rest[:limit]
    has_more = len(rest) > limit
    return page, encode_cursor(page[-1].name) if has_more else ''


class KindOperations:
    """The four operations on objects of one kind."""

    def __init__(self, collection: str, kind: str) -> None:
        """Serve `kind` under `/v1/{collection}`."""
        self._kind = kind
        self._schema = SCHEMAS[kind]
        self._path = f'/v1/{collection}'

    def register(self) -> None:
        """Register the operations."""
        item_path = f'{self._path}/{{name}}'
        kind = self._kind
        for each in (
            Operation(
                'GET',
                self._path,
                f'List objects of kind {kind}, by label if asked.',
                self.list_all,
                Page,
                query=ListQuery,
            ),
            Operation(
                'GET', item_path, f'Read one {kind}.', self.get, self._schema
            ),
            Operation(
                'PUT',
                item_path,
                f'Create or replace one {kind}.',
                self.put,
                ChangeAnswer,
                body=self._schema,
                query=DryRunQuery,
                is_conditional=True,
            ),
            Operation(
                'DELETE',
                item_path,
                f'Delete one {kind}; refused while it is in use.',
                self.delete,
                ChangeAnswer,
                query=DryRunQuery,
                is_conditional=True,
            ),
        ):
            add_operation(each)

    async def list_all(
        self, context: AdminContext, call: Call
    ) -> Schema | Refusal:
        """Return a page of the objects that the label selector matches."""
        directory = await context.read()
        if isinstance(directory, Refusal):
            return directory
        query: ListQuery = call.query
        try:
            selector = LabelSelector.parse(query.selector)
        except SelectorSyntaxError as exc:
            return build_refusal(ResultCode.missing_field, str(exc))
        after = decode_cursor(query.cursor)
        if isinstance(after, Failed):
            return Refusal(after)
        found = [
            body
            for body in directory.list(self._kind)
            if selector.matches(body.labels)
            and _belongs_to(body, query.workspace)
        ]
        page, next_cursor = select_page(found, after.value, query.limit)
        return Page(
            items=tuple(build_schema(body) for body in page),
            total=len(found),
            revision=directory.revision,
            next_cursor=next_cursor,
            stale=context.is_stale,
        )

    async def get(self, context: AdminContext, call: Call) -> Schema | Refusal:
        """Return one object."""
        directory = await context.read()
        if isinstance(directory, Refusal):
            return directory
        name = call.path['name']
        body = directory.get(self._kind, name)
        if body is None:
            detail = f'{self._kind} {name!r}'
            return build_refusal(ResultCode.object_unknown, detail)
        return build_schema(body)

    async def put(self, context: AdminContext, call: Call) -> Schema | Refusal:
        """Create or replace one object."""
        requested: ObjectSchema = call.body
        if requested.name != call.path['name']:
            return build_refusal(
                ResultCode.object_invalid,
                f'the path names {call.path["name"]!r}, '
                f'the body {requested.name!r}',
            )
        expected = expected_version(call, requested.version)
        if isinstance(expected, Failed):
            return Refusal(expected)
        directory = await context.read()
        if isinstance(directory, Refusal):
            return directory
        proposal = propose(requested, directory, expected.value)
        if isinstance(proposal, Failed):
            return Refusal(proposal)
        return await self._change(context, call, proposal.value)

    async def delete(
        self, context: AdminContext, call: Call
    ) -> Schema | Refusal:
        """Delete one object."""
        expected = expected_version(call, None)
        if isinstance(expected, Failed):
            return Refusal(expected)
        name = call.path['name']
        proposal = Proposal.delete(self._kind, name, expected.value)
        return await self._change(context, call, proposal)

    async def _change(
        self,
        context: AdminContext,
        call: Call,
        proposal: Proposal,
    ) -> Schema | Refusal:
        return await context.change(
            [proposal],
            call.operator,
            dry_run=call.query.dry_run,
            write_id=call.write_id,
        )


def _belongs_to(body: AnyObject, workspace: str) -> bool:
    return not workspace or getattr(body, 'workspace', '') == workspace


def register_kinds() -> None:
    """Register the operations of every kind."""
    for collection, kind in COLLECTIONS.items():
        KindOperations(collection, kind).register()


register_kinds()
