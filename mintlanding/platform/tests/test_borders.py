"""All borders: a value within bounds or the border's one error."""

import dataclasses
import functools
import json
from collections.abc import Mapping

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mintlanding.admin.endpoint import decode_body
from mintlanding.admin.messages import ApplyRequest
from mintlanding.core.borders import BORDERS
from mintlanding.http1.models import ResponseHead
from mintlanding.node import view
from mintlanding.node.events import EventBuffer
from mintlanding.paths.frames import FrameBuffer
from mintlanding.platform import records, requests, settings, store
from mintlanding.platform.tests.odd_inputs import (
    PACKED,
    RAW,
    SAMPLES,
    fields_of,
    inputs,
    samples,
)


def take_all(buffer, decode):
    """Return all frames in a buffer."""
    found = []
    while (payload := decode(buffer)) is not None:
        found.append(payload)
    return found


def toml(content):
    """Return the text of a settings file from the JSON of a document."""
    text = content.decode(errors='surrogateescape')
    try:
        document = json.loads(text)
    except (ValueError, RecursionError):
        return text
    if not isinstance(document, dict):
        return text
    lines, sections = [], []
    for name, value in document.items():
        if isinstance(value, dict):
            sections.append(f'[{name}]')
            sections += [f'{key} = {json.dumps(v)}' for key, v in value.items()]
        else:
            lines.append(f'{name} = {json.dumps(value)}')
    return (
        '\n'.join((*lines, *sections))
        .replace('NaN', 'nan')
        .replace('Infinity', 'inf')
    )


def store_calls(decode, content):
    """Yield the calls of the store's client."""
    yield lambda: decode(store._Committed, content).rev
    yield lambda: decode(store._Granted, content).lease
    yield lambda: [
        store._decode_item(row) for row in decode(store._Page, content).items
    ]
    yield lambda: [
        store._decode_change(row)
        for row in decode(store._Events, content).events
    ]


def response_calls(decode, content):
    """Yield the calls with heads of several statuses."""
    for status in (200, 421, 503):
        head = ResponseHead(status, fields_of(content))
        yield functools.partial(decode, head, 'r1')


def frame_calls(decode, content):
    """Yield the call that reads all frames."""
    buffer = FrameBuffer()
    buffer.feed(content)
    yield lambda: take_all(buffer, decode)


def body_calls(decode, content):
    """Yield the call with the body that has all others inside."""
    yield lambda: decode(ApplyRequest, content).model_dump()


# Calls of the borders that take more than some content.
CALLS = {
    'administration': body_calls,
    'caller-fields': lambda decode, content: [
        lambda: decode(fields_of(content)),
    ],
    'events': lambda decode, content: [lambda: decode(EventBuffer(), content)],
    'member': lambda decode, content: [
        lambda: decode('mintlanding/member/odd', content),
    ],
    'path-frame': frame_calls,
    'response-fields': response_calls,
    'settings': lambda decode, content: [lambda: decode(toml(content))],
    'store': store_calls,
    'target': lambda decode, content: [
        lambda: decode('servers/i-7f', content),
    ],
}


def calls(name, content):
    """Return the calls of a border with some content."""
    decode = BORDERS[name].decode
    if name in CALLS:
        return CALLS[name](decode, content)
    return [lambda: decode(content)]


def parts(value):
    """Yield the numbers and texts in a decoded value."""
    if isinstance(value, Mapping):
        value = (*value.keys(), *value.values())
    if isinstance(value, msgspec.Struct):
        value = [getattr(value, name) for name in value.__struct_fields__]
    if dataclasses.is_dataclass(value):
        names = [field.name for field in dataclasses.fields(value)]
        value = [getattr(value, name) for name in names]
    if isinstance(value, list | tuple | frozenset):
        for inner in value:
            yield from parts(inner)
    else:
        yield value


def check(value, bounds):
    """Assert that all numbers and texts in a value are within bounds."""
    for part in parts(value):
        if isinstance(part, int):
            assert 0 <= part <= bounds.most_whole
        elif isinstance(part, float):
            assert bounds.least <= part <= bounds.most
        elif isinstance(part, str):
            # Raises for a surrogate.
            assert len(part.encode()) <= bounds.text_bytes


def test_every_border_has_a_sample():
    found = SAMPLES.keys() | PACKED.keys() | RAW.keys()
    assert found == BORDERS.keys()
    assert BORDERS['administration'].decode is decode_body
    assert BORDERS['caller-fields'].decode is requests.read_caller
    assert BORDERS['member'].decode is view.decode_member
    assert BORDERS['target'].decode is records.decode_target
    assert BORDERS['settings'].decode is settings.parse_settings


@pytest.mark.parametrize('name', sorted(BORDERS))
def test_sample_is_valid_at_its_border(name):
    for content in samples(name):
        for call in calls(name, content):
            check(call(), BORDERS[name].bounds)


@pytest.mark.parametrize('name', sorted(BORDERS))
@given(data=st.data())
def test_border_gives_a_value_within_bounds_or_its_error(name, data):
    content = data.draw(inputs(name))
    error = BORDERS[name].error or ()
    for call in calls(name, content):
        try:
            value = call()
        except error as exc:
            assert str(exc)
            continue
        check(value, BORDERS[name].bounds)
