"""Test that requests are recognised by their digests."""

import pytest

from mintlanding.quarantine.fingerprints import request_digest

SECRET = b'fleet'


def test_same_request_has_the_same_digest():
    found = request_digest(SECRET, b'host', b'/x', b'key', b'body')
    assert found == request_digest(SECRET, b'host', b'/x', b'key', b'body')
    assert len(found) == 16


@pytest.mark.parametrize(
    'fields',
    [
        (b'other', b'/x', b'key', b'body'),
        (b'host', b'/y', b'key', b'body'),
        (b'host', b'/x', b'other', b'body'),
        (b'host', b'/x', b'key', b'other'),
        # The same bytes, divided differently.
        (b'host/x', b'', b'key', b'body'),
        (b'host', b'/x', b'keyb', b'ody'),
    ],
)
def test_other_requests_have_other_digests(fields):
    found = request_digest(SECRET, b'host', b'/x', b'key', b'body')
    assert request_digest(SECRET, *fields) != found


def test_digest_depends_on_the_secret_of_the_fleet():
    assert request_digest(SECRET, b'/x') != request_digest(b'other', b'/x')
    assert request_digest(b'', b'/x') == ''
