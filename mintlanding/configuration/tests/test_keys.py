import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from mintlanding.configuration.keys import (
    KeyHasher,
    parse_authorization,
    parse_key,
)
from mintlanding.core.exceptions import ConfigurationError
from mintlanding.core.results import Done, Failed, ResultCode

HASHER = KeyHasher.from_config(['pepper'])
ISSUED = HASHER.issue('north')
_Code = ResultCode


def test_issued_key_verifies_and_hides_its_secret():
    found = HASHER.verify(ISSUED.text, {ISSUED.key.name: ISSUED.key}.get)
    assert found == Done(ISSUED.key)
    secret = ISSUED.text.rpartition('_')[2]
    for shown in (ISSUED, ISSUED.key, HASHER, parse_key(ISSUED.text)):
        assert secret not in repr(shown)
        assert 'pepper' not in repr(shown)


@pytest.mark.parametrize(
    ('text', 'stored', 'code'),
    [
        ('', ISSUED.key, _Code.key_missing),
        ('  ', ISSUED.key, _Code.key_missing),
        ('mk_short', ISSUED.key, _Code.key_malformed),
        (ISSUED.text + 'a', ISSUED.key, _Code.key_malformed),
        (ISSUED.text.upper(), ISSUED.key, _Code.key_malformed),
        (ISSUED.text, None, _Code.key_unknown),
        (
            ISSUED.text,
            HASHER.issue('north').key,
            _Code.key_unknown,
        ),
        (ISSUED.text, replace(ISSUED.key, withdrawn=True), _Code.key_withdrawn),
        (
            f'mk_{ISSUED.key.name}_{"0" * 48}',
            replace(ISSUED.key, withdrawn=True),
            _Code.key_unknown,
        ),
    ],
    # Keys are random, and ids must be the same in each process that collects.
    ids=[
        'empty',
        'blank',
        'short',
        'too long',
        'upper case',
        'unknown',
        'other secret',
        'withdrawn',
        'withdrawn and wrong',
    ],
)
def test_rejected_key_fails_with_its_code(text, stored, code):
    found = HASHER.verify(text, lambda _: stored)
    assert isinstance(found, Failed)
    assert found.code is code
    assert not text.strip() or text not in found.detail


def test_rotated_pepper_verifies_until_it_is_removed():
    rotated = KeyHasher.from_config(['new', 'pepper'])
    found = rotated.verify(ISSUED.text, lambda _: ISSUED.key)
    assert found == Done(ISSUED.key)
    replaced = KeyHasher.from_config(['new'])
    failed = replaced.verify(ISSUED.text, lambda _: ISSUED.key)
    assert failed.code is _Code.key_unknown


@pytest.mark.parametrize('peppers', [[], [''], ['a', '']])
def test_empty_peppers_are_refused(peppers):
    with pytest.raises(ConfigurationError):
        KeyHasher.from_config(peppers)


@pytest.mark.parametrize(
    ('header', 'code'),
    [
        ('', _Code.key_missing),
        ('Bearer ', _Code.key_missing),
        ('Basic abc', _Code.key_malformed),
        ('Bearer abc', _Code.key_malformed),
    ],
)
def test_invalid_authorization_header_fails_with_its_code(header, code):
    assert parse_authorization(header).code is code


def test_authorization_header_is_parsed():
    assert isinstance(parse_authorization(f'bearer {ISSUED.text}'), Done)


@given(text=st.text(max_size=80))
def test_any_text_has_an_outcome(text):
    for parse in (parse_key, parse_authorization):
        assert isinstance(parse(text), Failed)
