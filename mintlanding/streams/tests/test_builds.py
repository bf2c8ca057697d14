"""When the build of an unknown stream is certain."""

import pytest

from mintlanding.streams.builds import BuildHistory


@pytest.mark.parametrize(
    ('present', 'removed', 'known_since', 'expected'),
    [
        (['v1', 'v1'], [], 0, 'v1'),
        (['v1', 'v2'], [], 0, None),
        ([], [], 0, None),
        # Its targets have gone, but not its streams.
        (['v2'], [('s', 'v1', 80)], 0, None),
        ([], [('s', 'v1', 80)], 0, 'v1'),
        (['v2'], [('s', 'v1', 60)], 0, 'v2'),
        (['v2'], [('other', 'v1', 80)], 0, 'v2'),
        # A restarted process does not know what was there before.
        (['v1'], [], 75, None),
    ],
)
def test_only_build_of_a_service(present, removed, known_since, expected):
    history = BuildHistory()
    history.restart(known_since)
    for each in removed:
        history.record_removed(*each)
    assert history.only_build('s', present, since=70) == expected


def test_nothing_is_known_before_the_first_snapshot():
    assert BuildHistory().only_build('s', ['v1'], since=1e9) is None
