"""Timeline of a request, joined from the logs of several processes."""

import json

import pytest

from mintlanding.cli.exceptions import CommandError
from mintlanding.cli.request_timeline import explain_request


def line(at, instance, message, **fields):
    return json.dumps(
        {'timestamp': at, 'instance': instance, 'message': message, **fields},
    )


FRONT = [
    line(9.0, 'n1', 'store: Store unreachable.', as_of=7),
    line(
        10.3,
        'n1',
        'request: Request ended.',
        request='r1',
        target='w1',
        adapter='a1',
        outcome='not_sent',
        parts=['p1', 'p2'],
        seconds=0.3,
    ),
    line(
        10.4,
        'n1',
        'request: Request ended.',
        request='r2',
        target='w1',
        adapter='a2',
        outcome='served',
        seconds=0.1,
    ),
    '{"message": "cut in the mid',
    'plain text',
]
STEWARD = [
    line(10.1, 'n2', 'steward: Orders suspended.', worker='w1'),
    line(
        10.2,
        'n2',
        'steward: Order answered.',
        worker='w1',
        adapter='a9',
        result='accepted',
    ),
    line(
        10.29,
        'n2',
        'steward: Admission refused.',
        request='r1.0.0',
        worker='w1',
        reason='no orders',
    ),
    line(20.0, 'n2', 'steward: Orders allowed.', worker='w1'),
]


@pytest.fixture
def files(tmp_path):
    paths = []
    for name, lines in (('front', FRONT), ('steward', STEWARD)):
        path = tmp_path / name
        path.write_text('\n'.join(lines))
        paths.append(str(path))
    return paths


def test_timeline_lists_related_events_in_order(files):
    found = explain_request('r1', files).data
    assert [each['message'] for each in found['lines']] == [
        'store: Store unreachable.',
        'steward: Orders suspended.',
        'steward: Admission refused.',
        'request: Request ended.',
    ]
    assert found['lines'][2]['reason'] == 'no orders'
    assert found['lines'][3]['parts'] == ['p1', 'p2']


def test_lines_that_cannot_be_read_are_counted(files):
    result = explain_request('r1', files)
    assert result.data['unread_lines'] == 2
    assert '2 line(s)' in result.text


def test_unknown_request_is_reported_with_a_hint(files):
    with pytest.raises(CommandError, match='r9') as caught:
        explain_request('r9', files)
    assert 'all instances' in caught.value.hint


def test_error_names_a_missing_file():
    with pytest.raises(CommandError, match='no-such-file'):
        explain_request('r1', ['no-such-file'])


def test_id_that_is_a_prefix_of_another_does_not_match(files):
    with pytest.raises(CommandError):
        explain_request('r', files)
