"""A caller's key never reaches a target."""

from urllib.parse import quote

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mintlanding.engines.headers import CredentialFilter

_KEY = 'mk_ws1.s3cr3t/+x'
_FILTER = CredentialFilter.from_config(
    headers=['X-Shop-Key'],
    cookies=['session'],
    parameters=['api_key'],
)
_noise = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=8)
_around_key = st.tuples(_noise, _noise).map(
    lambda pair: f'{pair[0]}{_KEY}{pair[1]}'
)
_texts = _noise | _around_key | _around_key.map(quote)
_names = st.sampled_from(
    ['Authorization', 'x-api-key', 'Cookie', 'X-SHOP-KEY', 'x-note', 'accept'],
)


@given(st.lists(st.tuples(_names, _texts), max_size=6))
def test_key_is_in_no_header(headers):
    kept = _FILTER.clean_headers(headers, _KEY)
    for name, text in kept:
        assert _KEY not in text and quote(_KEY) not in text
        assert name not in ('authorization', 'x-api-key', 'x-shop-key')


@given(st.lists(st.tuples(_noise, _texts), max_size=6))
def test_key_is_in_no_parameter(pairs):
    query = '&'.join(f'{quote(name)}={quote(text)}' for name, text in pairs)
    kept = _FILTER.clean_query(query, _KEY)
    assert _KEY not in kept and quote(_KEY, safe='') not in kept


@pytest.mark.parametrize(
    ('given_headers', 'kept'),
    [
        ([('Accept', 'a'), ('accept', 'b')], [('accept', 'a, b')]),
        ([('Cookie', 'session=1; theme=x')], [('cookie', 'theme=x')]),
        ([('Cookie', 'session=1')], []),
        ([('Connection', 'x-hop'), ('X-Hop', '1'), ('Host', 'h')], []),
        ([('Transfer-Encoding', 'chunked'), ('x-y', '1')], [('x-y', '1')]),
    ],
)
def test_other_headers_are_kept(given_headers, kept):
    assert _FILTER.clean_headers(given_headers, _KEY) == kept


@pytest.mark.parametrize(
    ('query', 'kept'),
    [
        ('a=1&b=%20x', 'a=1&b=%20x'),
        ('api_key=1&b=2', 'b=2'),
        ('', ''),
        (f'a={quote(_KEY)}', ''),
        (f'a={quote(quote(_KEY))}', ''),
    ],
)
def test_other_parameters_are_kept(query, kept):
    assert _FILTER.clean_query(query, _KEY) == kept
