"""Operations on several objects, the history, and keys."""

from msgspec.structs import replace

from mintlanding.admin.context import AdminContext
from mintlanding.admin.errors import Refusal, build_refusal
from mintlanding.admin.messages import (
    ApplyRequest,
    ChangeAnswer,
    CommitAnswer,
    DryRunQuery,
    EditAnswer,
    GrantAnswer,
    GrantRequest,
    HistoryAnswer,
    HistoryQuery,
)
from mintlanding.admin.objects import propose
from mintlanding.admin.operations import Call, operation
from mintlanding.admin.schemas import Schema
from mintlanding.configuration.directory import Directory
from mintlanding.configuration.documents import Commit
from mintlanding.configuration.proposals import MUST_NOT_EXIST, Proposal
from mintlanding.core.exceptions import PlatformError
from mintlanding.core.results import Done, Failed, Outcome, ResultCode


@operation(
    'POST',
    '/v1/apply',
    ChangeAnswer,
    body=ApplyRequest,
    query=DryRunQuery,
)
async def apply(context: AdminContext, call: Call) -> Schema | Refusal:
    """Put and delete several objects atomically."""
    return await _apply(context, call, dry_run=call.query.dry_run)


@operation('POST', '/v1/diff', ChangeAnswer, body=ApplyRequest)
async def show_diff(context: AdminContext, call: Call) -> Schema | Refusal:
    """Return what an apply would change."""
    return await _apply(context, call, dry_run=True)


@operation('GET', '/v1/history', HistoryAnswer, query=HistoryQuery)
async def history(context: AdminContext, call: Call) -> Schema | Refusal:
    """List past changes with author and time, newest first."""
    try:
        commits = await context.storage.history(call.query.limit)
    except PlatformError as exc:
        return build_refusal(ResultCode.platform_unavailable, str(exc))
    return HistoryAnswer(
        commits=tuple(_to_commit_answer(each) for each in commits)
    )


@operation(
    'POST',
    '/v1/keys',
    GrantAnswer,
    body=GrantRequest,
    status=201,
)
async def grant_key(context: AdminContext, call: Call) -> Schema | Refusal:
    """Grant a new key; only this response contains its text."""
    req: GrantRequest = call.body
    issued = context.hasher.issue(req.workspace, req.labels)
    proposal = Proposal.put(issued.key, MUST_NOT_EXIST)
    answer = await context.change([proposal], call.operator)
    if isinstance(answer, Refusal):
        return answer
    return GrantAnswer(
        key=issued.text,
        id=issued.key.name,
        workspace=req.workspace,
        revision=answer.revision,
    )


@operation(
    'POST',
    '/v1/keys/{name}/withdraw',
    ChangeAnswer,
    query=DryRunQuery,
)
async def withdraw_key(context: AdminContext, call: Call) -> Schema | Refusal:
    """Withdraw a key; it stops working within seconds."""
    directory = await context.read()
    if isinstance(directory, Refusal):
        return directory
    name = call.path['name']
    key = directory.find_key(name)
    if key is None:
        return build_refusal(ResultCode.object_unknown, f'key {name!r}')
    return await context.change(
        [Proposal.put(replace(key, withdrawn=True))],
        call.operator,
        dry_run=call.query.dry_run,
        write_id=call.write_id,
    )


async def _apply(
    context: AdminContext,
    call: Call,
    *,
    dry_run: bool,
) -> Schema | Refusal:
    directory = await context.read()
    if isinstance(directory, Refusal):
        return directory
    req: ApplyRequest = call.body
    proposals = _proposals(req, directory)
    if isinstance(proposals, Failed):
        return Refusal(proposals)
    return await context.change(
        proposals.value,
        call.operator,
        dry_run=dry_run,
        write_id=req.write_id or call.write_id,
    )


def _proposals(
    req: ApplyRequest,
    directory: Directory,
) -> Outcome[list[Proposal]]:
    found: list[Proposal] = []
    for requested in req.objects:
        proposal = propose(requested, directory, requested.version)
        if isinstance(proposal, Failed):
            return proposal
        found.append(proposal.value)
    found.extend(
        Proposal.delete(each.kind, each.name, each.version)
        for each in req.deletions
    )
    return Done(found)


def _to_commit_answer(commit: Commit) -> CommitAnswer:
    return CommitAnswer(
        revision=commit.revision,
        author=commit.author,
        at=commit.at,
        write_id=commit.write_id,
        edits=tuple(
            EditAnswer(
                kind=each.kind,
                name=each.name,
                action=each.action,
                version=each.version,
            )
            for each in commit.edits
        ),
        unlisted_edits=commit.unlisted_edits,
    )
