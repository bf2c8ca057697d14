"""Arbitrary bytes decode to a message or raise DecodeError."""

import importlib
import pkgutil

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

import mintlanding
from mintlanding.configuration.models import Delta
from mintlanding.peers.messages import MessagePackCodec, Method


def find_methods():
    found = {}
    for module in pkgutil.walk_packages(mintlanding.__path__, 'mintlanding.'):
        if module.name.rpartition('.')[2] != 'messages':
            continue
        loaded = importlib.import_module(module.name)
        for each in vars(loaded).values():
            if isinstance(each, Method):
                found[each.path] = each
    return found


METHODS = find_methods()
TYPES = sorted(
    {each.request for each in METHODS.values()}
    | {each.reply for each in METHODS.values()},
    key=lambda each: each.__name__,
)
CODEC = MessagePackCodec()
NESTED = b'\x81\xa1q' + b'\x91' * 100_000
HUGE = [
    b'\xdd\xff\xff\xff\xff',
    b'\xdf\xff\xff\xff\xff',
    b'\xc6\xff\xff\xff\xff',
]

packed_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=20)
    | st.binary(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=12), inner, max_size=4)
    ),
    max_leaves=12,
).map(msgspec.msgpack.encode)


def decode(data, message_type):
    try:
        return CODEC.decode(data, message_type)
    except msgspec.DecodeError:
        return None


def test_methods_are_found():
    assert '/mintlanding.membership/Exchange' in METHODS


@pytest.mark.parametrize('message_type', TYPES)
@given(data=st.binary(max_size=200) | packed_values)
def test_any_bytes_are_decoded_or_refused(message_type, data):
    message = decode(data, message_type)
    assert message is None or isinstance(message, message_type)


@pytest.mark.parametrize('message_type', TYPES)
@pytest.mark.parametrize('data', [NESTED, *HUGE])
def test_deep_nesting_and_huge_lengths_are_refused(message_type, data):
    assert decode(data, message_type) is None


@pytest.mark.parametrize('message_type', TYPES)
@given(data=st.data())
def test_fields_of_later_releases_are_skipped(message_type, data):
    known = {each.name for each in msgspec.structs.fields(message_type)}
    extra = data.draw(
        st.dictionaries(
            st.text(min_size=1, max_size=8).filter(
                lambda name: name not in known
            ),
            st.integers(0, 9) | st.lists(st.text(max_size=3), max_size=2),
            max_size=3,
        ),
    )
    required = any(
        each.required for each in msgspec.structs.fields(message_type)
    )
    message = decode(msgspec.msgpack.encode(extra), message_type)
    assert (message is None) == required


def test_configuration_object_of_a_later_release_is_read():
    body = {'kind': 'workspace', 'name': 'a', 'rate': 1.0, 'burst': 1.0}
    change = {'revision': 1, 'kind': 'workspace', 'name': 'a'}
    change['body'] = {**body, 'field_of_next_release': 3}
    delta = {'base': 0, 'revision': 1, 'changes': [change]}
    message = decode(msgspec.msgpack.encode(delta), Delta)
    assert message is not None
    assert message.changes[0].body.rate == 1
