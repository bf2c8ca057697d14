"""Explain how a model name was resolved: each rule, with the reason."""

from dataclasses import dataclass

from mintlanding.configuration.directory import Directory
from mintlanding.configuration.labels import LabelSelector
from mintlanding.configuration.models import Selector
from mintlanding.configuration.resolver import (
    SELECTOR_PREFIX,
    CompiledSplit,
    Resolution,
    Resolver,
)
from mintlanding.core.results import Failed, Outcome

MAX_NEAR_MISSES = 5


@dataclass(frozen=True, slots=True)
class RuleTrace:
    """A rule that was considered, and why it applied or not."""

    rule: str
    taken: bool
    reason: str


@dataclass(frozen=True, slots=True)
class Explanation:
    """The outcome of resolving a model name and the rules considered."""

    model: str
    workspace: str
    outcome: Outcome[Resolution]
    rules: tuple[RuleTrace, ...]


def explain(
    directory: Directory,
    model: str,
    workspace: str,
    outcome: Outcome[Resolution],
) -> Explanation:
    """Explain an outcome that the resolver returned for this directory."""
    if model.startswith(SELECTOR_PREFIX):
        rules = _selector_rules(directory, model, workspace, outcome)
    else:
        rules = _name_rules(directory, model, workspace, outcome)
    return Explanation(model, workspace, outcome, tuple(rules))


def _name_rules(
    directory: Directory,
    model: str,
    workspace: str,
    outcome: Outcome[Resolution],
) -> list[RuleTrace]:
    name, _, number = model.partition('@')
    adapter = Resolver(directory).visible_adapter(name, workspace)
    if adapter is None:
        reason = (
            f'workspace {workspace} has no adapter {name}, nor is it shared'
        )
        return [RuleTrace(f'adapter {name}', taken=False, reason=reason)]
    default = adapter.default_version or '(none)'
    requested = f'version {number}' if number else f'default version {default}'
    known = [each.number for each in directory.versions_of(name)]
    taken = not isinstance(outcome, Failed)
    reason = f'{requested}; known versions: {", ".join(known) or "(none)"}'
    return [RuleTrace(f'adapter {name}', taken=taken, reason=reason)]


def _selector_rules(
    directory: Directory,
    model: str,
    workspace: str,
    outcome: Outcome[Resolution],
) -> list[RuleTrace]:
    name = model.removeprefix(SELECTOR_PREFIX)
    selector = directory.selector(name)
    if selector is None or selector.workspace != workspace:
        reason = f'workspace {workspace} has no selector {name}'
        return [RuleTrace(f'selector {name}', taken=False, reason=reason)]
    compiled = Resolver(directory).compile_selector(selector)
    total = sum(split.weight for split in compiled.eligible_splits)
    taken_rule = '' if isinstance(outcome, Failed) else outcome.value.rule
    traces = [
        _split_trace(split, total, taken_rule, sticky=selector.sticky)
        for split in compiled.splits
    ]
    return traces + _near_misses(directory, selector)


def _split_trace(
    split: CompiledSplit,
    total: float,
    taken_rule: str,
    *,
    sticky: bool,
) -> RuleTrace:
    count = len(split.versions)
    if not count:
        return RuleTrace(split.rule, taken=False, reason='selects no version')
    if not split.weight:
        return RuleTrace(split.rule, taken=False, reason='its weight is 0')
    share = f'{split.weight / total:.1%} of the traffic, {count} version(s)'
    chosen_by = 'the caller' if sticky else 'chance'
    taken = split.rule == taken_rule
    verdict = 'chosen' if taken else 'another split was chosen'
    return RuleTrace(split.rule, taken, f'{share}; {verdict} by {chosen_by}')


def _near_misses(directory: Directory, selector: Selector) -> list[RuleTrace]:
    """Return versions that miss exactly one condition of the selector."""
    parsed = LabelSelector.parse(selector.match)
    visible = directory.select_versions(LabelSelector(), selector.workspace)
    found: list[RuleTrace] = []
    for name in sorted(visible):
        unmet = parsed.unmet(directory.version_labels(name))
        if len(unmet) == 1:
            reason = f'does not meet {unmet[0]}'
            found.append(RuleTrace(f'version {name}', False, reason))
        if len(found) == MAX_NEAR_MISSES:
            break
    return found
