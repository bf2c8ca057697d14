"""Checks of a proposed configuration; all mistakes are reported at once."""

import re
from collections.abc import Iterable, Iterator, Sequence
from urllib.parse import urlsplit

from mintlanding.configuration.directory import Directory
from mintlanding.configuration.labels import LabelSelector, SelectorSyntaxError
from mintlanding.configuration.models import (
    AdapterVersion,
    AnyObject,
    Key,
    Ref,
    Selector,
    Service,
    Target,
    Workspace,
)
from mintlanding.configuration.proposals import Proposal
from mintlanding.configuration.proposed_state import (
    ProposedState,
    references_of,
)
from mintlanding.core.checks import CHECKS, CheckMessage, run_checks

NAME_HINT = 'use 1 to 128 letters, digits, dots, dashes and underscores'
MAX_LABELS = 32
MAX_SHOWN_USERS = 5
_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,127}')
_VERSION_NAME = re.compile(
    '[A-Za-z0-9][A-Za-z0-9._-]{0,127}@[A-Za-z0-9._-]{1,64}'
)
_LABEL = re.compile('[A-Za-z0-9][A-Za-z0-9_./:-]{0,127}')
_DIGEST = re.compile('[0-9a-f]{64}')
_PREFIX = 'configuration.'
_URL_SCHEMES = frozenset(('http', 'https'))


def check_proposals(
    directory: Directory,
    proposals: Sequence[Proposal],
) -> list[CheckMessage]:
    """Run all checks on the configuration with the proposals applied."""
    state = ProposedState.of(directory, proposals)
    names = [name for name in CHECKS.names() if name.startswith(_PREFIX)]
    return run_checks(state, names)


def place_of(body: AnyObject, field: str) -> str:
    """Return the location of a mistake as `kind/name.field`."""
    kind, name = body.ref
    return f'{kind}/{name}.{field}'


@CHECKS.register('configuration.names')
def check_names(state: ProposedState) -> Iterable[CheckMessage]:
    """C001: names that cannot be used in a path or as a model name."""
    for body in state.bodies():
        if isinstance(body, AdapterVersion):
            is_valid = _VERSION_NAME.fullmatch(body.name)
            hint = 'write adapter@version'
        else:
            is_valid = _NAME.fullmatch(body.name)
            hint = NAME_HINT
        if not is_valid:
            place = place_of(body, 'name')
            yield CheckMessage('C001', place, 'is not a valid name', hint)


@CHECKS.register('configuration.labels')
def check_labels(state: ProposedState) -> Iterable[CheckMessage]:
    """C002: labels that a selector could not match."""
    for body in state.bodies():
        place = place_of(body, 'labels')
        if len(body.labels) > MAX_LABELS:
            message = f'has {len(body.labels)} labels'
            hint = f'keep to {MAX_LABELS}'
            yield CheckMessage('C002', place, message, hint)
        for label, label_value in body.labels.items():
            if not (_LABEL.fullmatch(label) and _LABEL.fullmatch(label_value)):
                message = (
                    f'{label!r}: {label_value!r} '
                    'cannot be matched by a selector'
                )
                hint = 'use letters, digits and _ . / : - (128 at most)'
                yield CheckMessage('C002', place, message, hint)


@CHECKS.register('configuration.references')
def check_references(state: ProposedState) -> Iterable[CheckMessage]:
    """C003: references to objects that do not exist."""
    put_refs = state.put_refs()
    deleted_refs = state.deleted_refs()
    for body in state.bodies():
        for reference in references_of(body):
            kind, name = reference.ref
            is_existing = state.directory.get(kind, name) is not None
            if reference.ref in put_refs:
                continue
            if not is_existing or reference.ref in deleted_refs:
                yield CheckMessage(
                    'C003',
                    place_of(body, reference.field),
                    f'there is no {kind} {name!r}',
                    f'create it before or in the same apply: kind {kind}',
                )


@CHECKS.register('configuration.in_use')
def check_in_use(state: ProposedState) -> Iterable[CheckMessage]:
    """C004: deletions of objects that others reference."""
    deleted_refs = state.deleted_refs()
    if not deleted_refs:
        return
    users: dict[Ref, list[str]] = {}
    for body in state.all_bodies():
        for reference in references_of(body):
            if reference.ref in deleted_refs:
                user = '/'.join(body.ref)
                users.setdefault(reference.ref, []).append(user)
    for ref, names in sorted(users.items()):
        shown = ', '.join(sorted(names)[:MAX_SHOWN_USERS])
        yield CheckMessage(
            'C004',
            '/'.join(ref),
            f'is in use by {len(names)} object(s): {shown}',
            'delete or change these in the same apply',
        )


@CHECKS.register('configuration.numbers')
def check_numbers(state: ProposedState) -> Iterable[CheckMessage]:
    """C005: numbers out of range."""
    for body in state.bodies():
        for field, is_valid in _numbers_of(body):
            if not is_valid:
                yield CheckMessage(
                    'C005',
                    place_of(body, field),
                    'is out of range',
                    'rate, burst and weight must be finite and above 0, '
                    'counts and split weights at least 0',
                )


@CHECKS.register('configuration.selectors')
def check_selectors(state: ProposedState) -> Iterable[CheckMessage]:
    """C006: label selectors that cannot be parsed."""
    for body in state.bodies():
        if not isinstance(body, Selector):
            continue
        texts = {'match': body.match, 'targets': body.targets}
        for number, split in enumerate(body.splits):
            texts[f'splits[{number}].match'] = split.match
        for field, text in texts.items():
            try:
                LabelSelector.parse(text)
            except SelectorSyntaxError as exc:
                place = place_of(body, field)
                yield CheckMessage('C006', place, str(exc), exc.hint)


@CHECKS.register('configuration.urls')
def check_urls(state: ProposedState) -> Iterable[CheckMessage]:
    """C007: targets without a valid URL."""
    for body in state.bodies():
        if isinstance(body, Target) and not _is_url(body.url):
            yield CheckMessage(
                'C007',
                place_of(body, 'url'),
                f'{body.url!r} is not an HTTP URL with a host',
                'write http://host:port or https://host:port',
            )


@CHECKS.register('configuration.keys')
def check_keys(state: ProposedState) -> Iterable[CheckMessage]:
    """C008: keys without a hash, moved, or no longer withdrawn."""
    for body in state.bodies():
        if not isinstance(body, Key):
            continue
        if not _DIGEST.fullmatch(body.digest):
            yield CheckMessage(
                'C008',
                place_of(body, 'digest'),
                'is not a keyed hash',
                'grant keys with `mintlanding keys grant`',
            )
        existing = state.directory.find_key(body.name)
        if existing is None:
            continue
        if existing.withdrawn and not body.withdrawn:
            yield CheckMessage(
                'C008',
                place_of(body, 'withdrawn'),
                'a withdrawn key stays withdrawn',
                'grant a new key',
            )
        if existing.workspace != body.workspace:
            yield CheckMessage(
                'C008',
                place_of(body, 'workspace'),
                f'the key belongs to workspace {existing.workspace!r}',
                'withdraw the key and grant a new one',
            )


@CHECKS.register('configuration.twice')
def check_twice(state: ProposedState) -> Iterable[CheckMessage]:
    """C009: several changes of one object in one apply."""
    seen: set[Ref] = set()
    for each in state.proposals:
        if each.ref in seen:
            yield CheckMessage(
                'C009',
                '/'.join(each.ref),
                'is given twice',
                'keep one of them',
            )
        seen.add(each.ref)


@CHECKS.register('configuration.engines')
def check_engines(state: ProposedState) -> Iterable[CheckMessage]:
    """C010: engine services without a base model."""
    for body in state.bodies():
        if isinstance(body, Service) and body.engine and not body.base_model:
            yield CheckMessage(
                'C010',
                place_of(body, 'base_model'),
                'an engine service needs a base model',
                'name the base model, or set engine: false',
            )


def _numbers_of(body: AnyObject) -> Iterator[tuple[str, bool]]:
    if isinstance(body, Workspace):
        for field in ('rate', 'burst', 'weight'):
            yield field, _is_positive(getattr(body, field))
    if isinstance(body, Target):
        for count in ('slots', 'batch_limit'):
            yield count, getattr(body, count) >= 0
    if isinstance(body, Selector):
        for number, split in enumerate(body.splits):
            is_valid = 0 <= split.weight < float('inf')
            yield f'splits[{number}].weight', is_valid


def _is_positive(amount: float) -> bool:
    return 0 < amount < float('inf')


def _is_url(text: str) -> bool:
    try:
        parts = urlsplit(text)
        has_port = parts.port is None or parts.port > 0
    except ValueError:
        return False
    return parts.scheme in _URL_SCHEMES and bool(parts.hostname) and has_port
