"""All borders: a value within bounds or the border's one error."""

import copy
import dataclasses
import json
import math
import tomllib
from collections.abc import Mapping

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mintlanding.core.borders import BORDERS
from mintlanding.core.bounds import MAX_AMOUNT, MAX_WHOLE
from mintlanding.platform import records, settings, store
from mintlanding.platform.tests.samples import (
    CONFIG,
    ENTRY,
    REPORT,
    SETTINGS,
)

# The store assigns revisions of 64 bits; others are exact as floats.
LARGEST = {'store': 2**63 - 1}
# Of an API key, the longest text that is accepted.
MAX_BYTES = 4000
ROW = {'key': 'k', 'rev': 3, 'value': 'YQ==', 'lease': 4}
SAMPLES = {
    'configuration': CONFIG,
    'version': {'model': 'daka', 'adapter': 'a1', 'version': 2},
    'target': ENTRY,
    'report': REPORT,
    'settings': tomllib.loads(SETTINGS),
    'store': {
        'as_of': 7,
        'rev': 7,
        'lease': 2,
        'items': [ROW],
        'events': [ROW, {'key': 'k', 'rev': 4, 'removed': True}],
    },
}
ODD_VALUES = (
    st.sampled_from(
        [
            None,
            True,
            '',
            [],
            {},
            0,
            -1,
            1.5,
            1e308,
            -1e308,
            2**31,
            2**53,
            2**63,
            2**64,
            10**400,
            -(10**400),
            'x' * 10_000,
            '\u3042',
            '\x00',
            'a\r\nb: c',
            '9' * 5000,
            '\xb2',
            math.inf,
            math.nan,
        ],
    )
    | st.integers()
    | st.floats()
    | st.text(max_size=20)
)


def places(value, prefix=()):
    """Return the paths of all values inside a sample."""
    found = [prefix]
    if isinstance(value, dict):
        for key, inner in value.items():
            found += places(inner, (*prefix, key))
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            found += places(inner, (*prefix, index))
    return found


def change(sample, place, odd, kind):
    """Replace, remove, duplicate or wrap the value at a place."""
    if not place:
        return odd
    inner = sample
    for part in place[:-1]:
        inner = inner[part]
    if kind == 'replace':
        inner[place[-1]] = odd
    elif kind == 'remove':
        inner.pop(place[-1])
    elif isinstance(inner, list):
        inner.append(copy.deepcopy(inner[place[-1]]))
    else:
        inner[place[-1]] = [inner[place[-1]]]
    return sample


@st.composite
def mutated(draw, sample):
    """Return the bytes of a sample that was changed, cut, or nested."""
    raw = copy.deepcopy(sample)
    for _ in range(draw(st.integers(0, 2))):
        place = draw(st.sampled_from(places(raw)))
        odd = draw(ODD_VALUES)
        raw = change(
            raw,
            place,
            odd,
            draw(st.sampled_from(['replace', 'remove', 'copy'])),
        )
        if not isinstance(raw, dict):
            break
    text = json.dumps(raw, ensure_ascii=draw(st.booleans()))
    encoded = text.encode(errors='surrogatepass')
    match draw(st.sampled_from(['whole', 'cut', 'nested', 'bytes', 'twice'])):
        case 'cut':
            return encoded[: draw(st.integers(0, len(encoded)))]
        case 'nested':
            at = draw(st.integers(0, len(encoded)))
            return encoded[:at] + b'[' * 50_000 + encoded[at:]
        case 'bytes':
            at = draw(st.integers(0, len(encoded)))
            return encoded[:at] + draw(st.binary(max_size=4)) + encoded[at:]
        case 'twice':
            return encoded + encoded
        case _:
            return encoded


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


def calls(name, content):
    """Yield the calls of a border with some content."""
    decode = BORDERS[name].decode
    if name == 'settings':
        yield lambda: decode(toml(content))
    elif name == 'target':
        yield lambda: decode('servers/i-7f', content)
    elif name == 'store':
        yield lambda: decode(store._Committed, content).rev
        yield lambda: decode(store._Granted, content).lease
        yield lambda: [
            store._decode_item(row)
            for row in decode(store._Page, content).items
        ]
        yield lambda: [
            store._decode_change(row)
            for row in decode(store._Events, content).events
        ]
    else:
        yield lambda: decode(content)


def parts(value):
    """Yield the numbers and texts in a decoded value."""
    if isinstance(value, Mapping):
        value = (*value.keys(), *value.values())
    if dataclasses.is_dataclass(value):
        names = [field.name for field in dataclasses.fields(value)]
        value = [getattr(value, name) for name in names]
    if isinstance(value, list | tuple | frozenset):
        for inner in value:
            yield from parts(inner)
    else:
        yield value


def check(value, largest):
    """Assert that all numbers and texts in a value are within bounds."""
    for part in parts(value):
        if isinstance(part, int):
            assert 0 <= part <= largest
        elif isinstance(part, float):
            assert 0 <= part <= MAX_AMOUNT
        elif isinstance(part, str):
            # Raises for a surrogate.
            assert len(part.encode()) <= MAX_BYTES


def test_every_border_has_a_sample():
    assert SAMPLES.keys() == BORDERS.keys()
    assert BORDERS['target'].decode is records.decode_target
    assert BORDERS['settings'].decode is settings.parse_settings


@pytest.mark.parametrize('name', sorted(SAMPLES))
def test_sample_is_valid_at_its_border(name):
    for call in calls(name, json.dumps(SAMPLES[name]).encode()):
        check(call(), MAX_WHOLE)


@pytest.mark.parametrize('name', sorted(SAMPLES))
@given(data=st.data())
def test_border_gives_a_value_within_bounds_or_its_error(name, data):
    content = data.draw(mutated(SAMPLES[name]))
    for call in calls(name, content):
        try:
            value = call()
        except BORDERS[name].error as exc:
            assert str(exc)
            continue
        check(value, LARGEST.get(name, MAX_WHOLE))
