"""Findings for a configuration that the product's decoder rejects."""

from typing import Any

from pydantic import ValidationError
from pydantic_core import ErrorDetails

from mintlanding.config_check.models import Finding
from mintlanding.config_check.secrets import digest, is_secret
from mintlanding.core.checks import Level

CHECK = 'invalid'
_MAX_SHOWN_CHARACTERS = 40
_NESTED_TYPES = frozenset(('model_type', 'list_type'))
# Remedies by type of error; any other error states itself what is expected.
_REMEDIES = {
    'missing': 'add the field',
    'greater_than': 'set a value above {gt}',
    'greater_than_equal': 'set a value of at least {ge}',
    'less_than_equal': 'set a value of at most {le}',
    'too_short': 'write at least {min_length} character(s)',
    'string_too_short': 'write at least {min_length} character(s)',
    'string_too_long': 'write at most {max_length} characters',
    'enum': 'use one of: {expected}',
    'model_type': 'write an object',
    'list_type': 'write a list',
}
_MESSAGES = {
    'model_type': 'Input should be an object',
}
_PREFIX = 'Value error, '


def validity_findings(exc: ValidationError) -> list[Finding]:
    """Return a finding for each error of the decoder."""
    return [_finding(each) for each in exc.errors()]


def _finding(error: ErrorDetails) -> Finding:
    context = error.get('ctx', {})
    remedy = _REMEDIES.get(error['type'], 'correct the value as stated')
    return Finding(
        '.'.join(str(part) for part in error['loc']) or '(document)',
        _shown(error),
        _MESSAGES.get(error['type'], error['msg'].removeprefix(_PREFIX)),
        remedy.format_map(context),
        Level.error,
        CHECK,
    )


def _shown(error: ErrorDetails) -> str:
    """Return the value, unless it may hold an API key.

    A text in the place of an object or a list can be a misplaced key.
    """
    found = error['input']
    if error['type'] == 'missing':
        return '(missing)'
    if isinstance(found, dict | list):
        return f'{type(found).__name__} of {len(found)} entries'
    if is_secret(error['loc']):
        return f'digest {digest(found)}'
    if error['type'] in _NESTED_TYPES and isinstance(found, str):
        return f'text of {len(found)} characters'
    return _shorten(found)


def _shorten(found: Any) -> str:
    text = ascii(found)
    if len(text) <= _MAX_SHOWN_CHARACTERS:
        return text
    return f'{text[:_MAX_SHOWN_CHARACTERS]}...'
