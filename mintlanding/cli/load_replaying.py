"""The commands that replay a record of load, and generate a small one."""

from collections import Counter
from collections.abc import Sequence
from typing import Any

from mintlanding.cli.exceptions import CommandError, ExitCode
from mintlanding.cli.load_recording import call_with_errors, check_output
from mintlanding.cli.output import Result, table
from mintlanding.core.exceptions import ConfigurationError
from mintlanding.load_replay.bound import on_time_bound
from mintlanding.load_replay.calls import Outcome
from mintlanding.load_replay.models import MAX_INSTANCES
from mintlanding.load_replay.patterns import PATTERNS, generate
from mintlanding.load_replay.plot import import_pyplot, plot_results
from mintlanding.load_replay.policies import POLICIES, PRODUCT
from mintlanding.load_replay.record_file import read_record, write_record
from mintlanding.load_replay.replay import MAX_STATUS_SECONDS
from mintlanding.load_replay.results import PolicyResult, replay_record

_MILLISECONDS = 1000
# Rows of a table of groups; longer ones are for programs.
_MAX_ROWS = 60
_COLUMNS = (
    'policy',
    *(each.value for each in Outcome),
    'share_of_bound',
    'adapter_loads',
    'pairs',
    'stewards_asked',
)


def replay_load(
    file: str,
    policies: Sequence[str] = (),
    *,
    seed: int = 1,
    instances: int = 0,
    status_ms: int = 250,
    plot: str = '',
) -> Result:
    """Return what policies do with a record, all of them by default.

    Raise CommandError if the record is unusable, a policy is unknown, or the
    plot cannot be made.
    """
    if not 0 < status_ms <= MAX_STATUS_SECONDS * _MILLISECONDS:
        raise CommandError(
            ExitCode.usage,
            f'--status-ms {status_ms} is out of range',
            f'give 1 to {MAX_STATUS_SECONDS * _MILLISECONDS:.0f}',
        )
    if instances > MAX_INSTANCES:
        raise CommandError(
            ExitCode.usage,
            f'--instances {instances} is too large',
            f'give at most {MAX_INSTANCES}',
        )
    _check_policies(policies)
    record = call_with_errors(read_record, file)
    # A missing library is an error before the replay, which may take long.
    pyplot = call_with_errors(import_pyplot) if plot else None
    bound = on_time_bound(record)
    results = [
        replay_record(
            record, policy, seed, instances, status_ms / _MILLISECONDS
        )
        for policy in policies or _all_policies()
    ]
    if plot:
        call_with_errors(plot_results, results, plot, pyplot)
    documents = [each.as_document(bound) for each in results]
    found = {
        'file': file,
        'seed': seed,
        'requests': len(record.requests),
        'recorded_outcomes': dict(
            Counter(req.outcome for req in record.requests if req.outcome)
        ),
        'bound': bound,
        'policies': documents,
    }
    return Result(found, _text(found, results[0], documents))


def generate_load(pattern: str, seed: int, output: str) -> Result:
    """Write the record of a pattern; raise CommandError if it is unknown."""
    check_output(output)
    try:
        record = generate(pattern, seed)
    except ConfigurationError as exc:
        raise CommandError(
            ExitCode.usage,
            str(exc),
            f'use one of: {", ".join(PATTERNS.names())}',
        ) from exc
    size = call_with_errors(write_record, record, output)
    found = {
        'file': output,
        'pattern': pattern,
        'seed': seed,
        'requests': len(record.requests),
        'bytes': size,
    }
    text = f'{output}: {len(record.requests)} request(s), {size} bytes'
    return Result(found, text)


def _all_policies() -> list[str]:
    """Return the product and then the baselines, as they are registered."""
    baselines = [name for name, _ in POLICIES if name != PRODUCT]
    return [PRODUCT, *baselines]


def _check_policies(policies: Sequence[str]) -> None:
    for name in policies:
        if name not in POLICIES.names():
            raise CommandError(
                ExitCode.usage,
                f'unknown policy {name!r}',
                f'use some of: {", ".join(_all_policies())}',
            )


def _text(
    found: dict[str, Any],
    first: PolicyResult,
    documents: Sequence[dict[str, Any]],
) -> str:
    rows = [[each[name] for name in _COLUMNS] for each in documents]
    parts = [
        f'{found["file"]}: {found["requests"]} request(s), '
        f'at most {found["bound"]} on time',
        table(rows, _COLUMNS),
    ]
    if found['recorded_outcomes']:
        recorded = ', '.join(
            f'{count} {name}'
            for name, count in found['recorded_outcomes'].items()
        )
        parts.append(f'outcomes of the recorded run: {recorded}')
    for kind, groups in first.groups.items():
        parts.append(_group_text(kind, first.policy, groups))
    return '\n\n'.join(parts)


def _group_text(kind: str, policy: str, groups: dict[str, Any]) -> str:
    names = sorted(groups, key=lambda name: (len(name), name))
    rows = [
        [name, *(groups[name][each] for each in Outcome)]
        for name in names[:_MAX_ROWS]
    ]
    headers = [f'{kind} ({policy})', *(each.value for each in Outcome)]
    text = table(rows, headers)
    left = len(names) - len(rows)
    if not left:
        return text
    return f'{text}\n{left} more; --format json has all'
