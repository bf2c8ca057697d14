"""Read and validate settings; all mistakes are reported at once."""

import difflib
from pathlib import Path
from typing import Any

import yaml
from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from mintlanding.conf.exceptions import SettingsError
from mintlanding.conf.models import InstanceSettings
from mintlanding.core.checks import CheckMessage

_HINTS = {
    'missing': 'Add this setting; docs/reference/settings.md describes it.',
    'extra_forbidden': 'Remove it or correct its name.',
    'string_too_short': 'Use a longer value.',
    'greater_than': 'Use a larger number.',
    'less_than_equal': 'Use a smaller number.',
    'string_pattern_mismatch': 'Use lower-case letters, digits, "." and "-".',
}
_DEFAULT_HINT = 'docs/reference/settings.md lists type, unit and default.'


def load_settings(path: str) -> InstanceSettings:
    """Read a YAML file; raise SettingsError with all mistakes."""
    return parse_settings(_read_text(path), source=path)


def parse_settings(text: str, source: str = 'settings') -> InstanceSettings:
    """Parse and validate the settings of an instance from YAML text.

    `source` names the text in error messages.
    """
    document = _parse_yaml(text, source)
    try:
        return InstanceSettings.model_validate(document)
    except ValidationError as exc:
        found = [_describe(each, source) for each in exc.errors()]
        raise SettingsError(found) from exc


def _read_text(path: str) -> str:
    try:
        return Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        message = CheckMessage(
            'conf.E001',
            path,
            f'the file cannot be read: {exc}',
            'Name an existing YAML file in UTF-8.',
        )
        raise SettingsError([message]) from exc


def _parse_yaml(text: str, source: str) -> Any:
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as exc:
        mark = getattr(exc, 'problem_mark', None)
        line = '' if mark is None else f':{mark.line + 1}'
        message = CheckMessage(
            'conf.E002',
            f'{source}{line}',
            f'the file is not valid YAML: {exc}',
            'Check indentation and quotes on this line.',
        )
        raise SettingsError([message]) from exc
    if isinstance(document, dict):
        return document
    message = CheckMessage(
        'conf.E003',
        source,
        'the file does not contain a mapping of settings',
        'Start from the example in docs/reference/settings.md.',
    )
    raise SettingsError([message])


def _describe(detail: ErrorDetails, source: str) -> CheckMessage:
    place = '.'.join(str(part) for part in detail['loc'])
    return CheckMessage(
        'conf.E010',
        f'{source}: {place}',
        detail['msg'],
        _hint(detail),
    )


def _hint(detail: ErrorDetails) -> str:
    if detail['type'] != 'extra_forbidden':
        return _HINTS.get(detail['type'], _DEFAULT_HINT)
    known = _known_names(detail['loc'][:-1])
    close = difflib.get_close_matches(str(detail['loc'][-1]), known, n=1)
    if close:
        return f'Did you mean "{close[0]}"?'
    return _HINTS['extra_forbidden']


def _known_names(section: tuple[int | str, ...]) -> list[str]:
    model: type[BaseModel] = InstanceSettings
    for part in section:
        field = model.model_fields.get(str(part))
        nested = _nested_model(field.annotation if field else None)
        if nested is None:
            return []
        model = nested
    return list(model.model_fields)


def _nested_model(annotation: Any) -> type[BaseModel] | None:
    candidates = (annotation, *getattr(annotation, '__args__', ()))
    for candidate in candidates:
        if isinstance(candidate, type) and issubclass(candidate, BaseModel):
            return candidate
    return None
