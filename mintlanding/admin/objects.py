"""Operations on objects of each kind: list, get, put, delete."""

import base64
import binascii
import re
from collections.abc import Sequence

from mintlanding.admin.context import AdminContext, present
from mintlanding.admin.errors import Refusal, refuse
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
    """Return the path segment of a kind."""
    found = [each for each, named in COLLECTIONS.items() if named == kind]
    return found[0]


def propose(
    offered: ObjectSchema,
    directory: Directory,
    expected: int | None,
) -> Outcome[Proposal]:
    """Return the proposal to put an object; a key keeps its hash."""
    if not isinstance(offered, KeySchema):
        return Done(Proposal.put(offered.to_struct(), expected))
    held = directory.find_key(offered.name)
    if held is None:
        return Failed.of(
            ResultCode.object_unknown,
            f'key {offered.name!r}; new keys come from POST /v1/keys',
        )
    return Done(Proposal.put(offered.with_digest(held.digest), expected))


def expected_version(call: Call, stated: int | None) -> Outcome[int | None]:
    """Return the version that the operator read, from header or body."""
    if call.if_match is None:
        return Done(stated)
    found = _ENTITY_TAG.fullmatch(call.if_match)
    if found is None:
        return Failed.of(
            ResultCode.missing_field,
            'If-Match holds no version; write it in double quotes',
        )
    header = int(found.group(1))
    if stated not in {None, header}:
        return Failed.of(
            ResultCode.missing_field,
            f'If-Match says {header}, the body says {stated}',
        )
    return Done(header)


def encode_cursor(name: str) -> str:
    """Return an opaque cursor after an object."""
    return base64.urlsafe_b64encode(name.encode()).decode()


def decode_cursor(cursor: str) -> Outcome[str]:
    """Return the name that a cursor stands after."""
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

    Cursors are names, so that changes between two pages neither repeat nor
    skip what stays.
    """
    rest = [body for body in bodies if body.name > after]
    page = rest[:limit]
    has_more = len(rest) > limit
    return page, encode_cursor(page[-1].name) if has_more else ''


class KindOperations:
    """The four operations on one kind."""

    def __init__(self, collection: str, kind: str) -> None:
        """Serve `kind` under `/v1/{collection}`."""
        self._kind = kind
        self._schema = SCHEMAS[kind]
        self._path = f'/v1/{collection}'

    def register(self) -> None:
        """File the operations."""
        one = f'{self._path}/{{name}}'
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
            Operation('GET', one, f'Read one {kind}.', self.get, self._schema),
            Operation(
                'PUT',
                one,
                f'Create or replace one {kind}.',
                self.put,
                ChangeAnswer,
                body=self._schema,
                query=DryRunQuery,
                is_conditional=True,
            ),
            Operation(
                'DELETE',
                one,
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
            return refuse(ResultCode.missing_field, str(exc))
        after = decode_cursor(query.cursor)
        if isinstance(after, Failed):
            return Refusal(after)
        found = [
            body
            for body in directory.list(self._kind)
            if selector.matches(body.labels)
            and _is_of_workspace(body, query.workspace)
        ]
        page, next_cursor = select_page(found, after.value, query.limit)
        return Page(
            items=tuple(present(body) for body in page),
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
            return refuse(ResultCode.object_unknown, detail)
        return present(body)

    async def put(self, context: AdminContext, call: Call) -> Schema | Refusal:
        """Create or replace one object."""
        offered: ObjectSchema = call.body
        if offered.name != call.path['name']:
            return refuse(
                ResultCode.object_invalid,
                f'the path names {call.path["name"]!r}, '
                f'the body {offered.name!r}',
            )
        expected = expected_version(call, offered.version)
        if isinstance(expected, Failed):
            return Refusal(expected)
        directory = await context.read()
        if isinstance(directory, Refusal):
            return directory
        proposal = propose(offered, directory, expected.value)
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


def _is_of_workspace(body: AnyObject, workspace: str) -> bool:
    return not workspace or getattr(body, 'workspace', '') == workspace


def register_kinds() -> None:
    """File the operations of every kind."""
    for collection, kind in COLLECTIONS.items():
        KindOperations(collection, kind).register()


register_kinds()
