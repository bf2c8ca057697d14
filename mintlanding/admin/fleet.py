"""Operations on the fleet: status, explanations, drain, burn report."""

import random
from typing import Any

from mintlanding.admin.context import AdminContext
from mintlanding.admin.errors import Refusal
from mintlanding.admin.messages import (
    DaemonAnswer,
    DrainAnswer,
    DrainRequest,
    ExplainAnswer,
    ExplainQuery,
    RuleAnswer,
    StatusAnswer,
)
from mintlanding.admin.operations import Call, operation
from mintlanding.admin.ports import DaemonStatus
from mintlanding.admin.progress import counts
from mintlanding.admin.schemas import Schema
from mintlanding.configuration.explanations import explain
from mintlanding.configuration.resolver import Resolver
from mintlanding.core.results import Failed


class BurnAnswer(Schema):
    """The report on service-level burn, as the reports package writes it."""

    report: dict[str, Any]


@operation('GET', '/v1/status', StatusAnswer)
async def status(context: AdminContext, call: Call) -> Schema | Refusal:
    """Tell at which revision each daemon is and how soon it got there."""
    directory = await context.read()
    if isinstance(directory, Refusal):
        return directory
    found = await context.fleet.daemons()
    if isinstance(found, Failed):
        return Refusal(found)
    progress = context.progress
    progress.seen(directory.revision)
    in_force = progress.observe(found.value, context.clock.monotonic())
    return StatusAnswer(
        revision=directory.revision,
        stale=context.is_stale,
        in_force=in_force and not context.is_stale,
        seconds=progress.seconds,
        daemons=tuple(
            _present(each, directory.revision)
            for each in sorted(found.value, key=_instance_of)
        ),
    )


@operation('GET', '/v1/explain', ExplainAnswer, query=ExplainQuery)
async def explain_model(context: AdminContext, call: Call) -> Schema | Refusal:
    """Tell which rule takes a request where, and why not the others."""
    directory = await context.read()
    if isinstance(directory, Refusal):
        return directory
    query: ExplainQuery = call.query
    outcome = Resolver(directory).resolve(
        query.model,
        query.workspace,
        query.caller,
        random.Random(query.caller),  # noqa: S311
    )
    shown = explain(directory, query.model, query.workspace, outcome)
    rules = tuple(
        RuleAnswer(rule=each.rule, taken=each.taken, reason=each.reason)
        for each in shown.rules
    )
    if isinstance(outcome, Failed):
        return ExplainAnswer(
            model=query.model,
            workspace=query.workspace,
            outcome=outcome.code.name,
            rules=rules,
        )
    found = outcome.value
    targets = directory.targets_of(found.service, found.targets)
    return ExplainAnswer(
        model=query.model,
        workspace=query.workspace,
        outcome='done',
        adapter=found.ref.adapter,
        version=found.ref.version,
        service=found.service,
        targets=tuple(target.name for target in targets),
        rules=rules,
    )


@operation('POST', '/v1/drain', DrainAnswer, body=DrainRequest, status=202)
async def drain(context: AdminContext, call: Call) -> Schema | Refusal:
    """Ask an instance to leave; accepted work ends first."""
    wanted: DrainRequest = call.body
    outcome = await context.fleet.drain(wanted.instance)
    if isinstance(outcome, Failed):
        return Refusal(outcome)
    return DrainAnswer(instance=wanted.instance, state=outcome.value)


@operation('GET', '/v1/reports/burn', BurnAnswer)
async def burn(context: AdminContext, call: Call) -> Schema | Refusal:
    """Return the report on service-level burn."""
    outcome = await context.fleet.burn()
    if isinstance(outcome, Failed):
        return Refusal(outcome)
    return BurnAnswer(report=outcome.value)


def _instance_of(daemon: DaemonStatus) -> str:
    return daemon.instance


def _present(daemon: DaemonStatus, revision: int) -> DaemonAnswer:
    return DaemonAnswer(
        instance=daemon.instance,
        zone=daemon.zone,
        state=daemon.state,
        revision=daemon.revision,
        is_current=daemon.revision >= revision or not counts(daemon),
        stale_seconds=daemon.stale_seconds,
    )
