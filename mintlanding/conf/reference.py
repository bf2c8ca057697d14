"""Generate docs/reference/settings.md from the settings models."""

import inspect
from collections.abc import Iterator
from typing import Any

from pydantic import BaseModel
from pydantic.fields import FieldInfo

from mintlanding.conf.models import InstanceSettings

_HEAD = """# Settings

One YAML file describes one instance; each binary uses its own section.
`mintlanding check FILE` reports all mistakes with their place and a hint.
Durations are in seconds, sizes in bytes or tokens. A setting without a default
must be set; a section without a default may be omitted.

"""
_EXAMPLE = """## Example

    instance: mx-a-1
    zone: mx-a
    region: mx-centro
    key_pepper: change-me-0123456789
    peers:
      host: 10.0.1.11
      port: 7000
      secrets: [change-me-0123456789]
      seeds: ["10.0.1.12:7000", "10.0.2.11:7000"]
    platform:
      key_value_url: http://10.0.0.5:8500
      instance_list_url: http://10.0.0.6:8501
    entry: {host: 0.0.0.0, port: 8080}
    admin: {host: 10.0.1.11, port: 8090, operators: {}}
"""


def render_settings() -> str:
    """Return the page, which a test compares with the committed file."""
    sections = '\n'.join(_render_model(InstanceSettings, ''))
    return f'{_HEAD}{sections}\n{_EXAMPLE}'


def _render_model(model: type[BaseModel], place: str) -> Iterator[str]:
    title = place or 'instance'
    yield f'## {title}\n\n{inspect.cleandoc(model.__doc__ or "")}\n'
    yield '| setting | type | default |\n|---|---|---|'
    nested: list[tuple[type[BaseModel], str]] = []
    for name, field in model.model_fields.items():
        inner = _find_model(field.annotation)
        yield f'| `{name}` | {_type_name(field, inner)} | {_default(field)} |'
        if inner is not None:
            nested.append((inner, f'{place}.{name}' if place else name))
    yield ''
    for each, path in nested:
        yield from _render_model(each, path)


def _find_model(annotation: Any) -> type[BaseModel] | None:
    for candidate in (annotation, *getattr(annotation, '__args__', ())):
        if isinstance(candidate, type) and issubclass(candidate, BaseModel):
            return candidate
    return None


def _type_name(field: FieldInfo, inner: type[BaseModel] | None) -> str:
    if inner is not None:
        return 'section'
    return str(getattr(field.annotation, '__name__', field.annotation))


def _default(field: FieldInfo) -> str:
    if field.is_required():
        return 'must be set'
    found = field.get_default(call_default_factory=True)
    if isinstance(found, BaseModel):
        return 'the defaults below'
    return 'left out' if found is None else f'`{found}`'


if __name__ == '__main__':
    print(render_settings(), end='')  # noqa: WPS421
