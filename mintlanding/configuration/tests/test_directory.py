import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mintlanding.configuration.directory import Acceptance, Directory
from mintlanding.configuration.labels import LabelSelector
from mintlanding.configuration.models import (
    Adapter,
    AdapterVersion,
    Delta,
    Key,
    Workspace,
)
from mintlanding.configuration.tests.samples import (
    change_of,
    deletion,
    delta_of,
    small_directory,
    small_objects,
)


@pytest.mark.parametrize(
    ('base', 'revision', 'expected'),
    [
        (1, 1, Acceptance.stale),
        (0, 1, Acceptance.stale),
        (1, 2, Acceptance.accepted),
        (0, 2, Acceptance.accepted),
        (2, 3, Acceptance.gap),
    ],
)
def test_accepts_only_higher_revisions_without_gap(base, revision, expected):
    directory = small_directory()
    applied = directory.apply(Delta(base=base, revision=revision))
    assert applied.acceptance is expected
    assert directory.revision == (revision if applied.accepted else 1)


def test_overlapping_delta_applies_only_its_new_part():
    directory = small_directory()
    old = Workspace(name='north', rate=1, burst=1)
    new = Workspace(name='south', rate=2, burst=2)
    directory.apply(delta_of(1, Workspace(name='north', rate=7, burst=7)))
    overlap = Delta(
        base=1,
        revision=3,
        changes=(change_of(2, old), change_of(3, new)),
    )
    applied = directory.apply(overlap)
    assert [change.name for change in applied.changes] == ['south']
    assert directory.workspace('north').rate == 7


def test_snapshot_replaces_all_objects_and_reports_the_differing_ones():
    directory = small_directory()
    key = Key(name='k1', workspace='north', digest='d')
    directory.apply(delta_of(1, key))
    kept = [body for body in small_objects() if body.name != 'w2']
    withdrawn = Key(name='k1', workspace='north', digest='d', withdrawn=True)
    changes = tuple(change_of(9, body) for body in (*kept, withdrawn))
    applied = directory.apply(Delta(base=0, revision=9, changes=changes))
    differing = {(each.name, each.body is None) for each in applied.changes}
    assert differing == {('w2', True), ('k1', False)}
    assert directory.find_key('k1').withdrawn


def test_indexes_follow_moves_and_deletions():
    directory = small_directory()
    moved = Adapter(
        name='layout',
        workspace='south',
        service='planner-models',
        labels={'app': 'moved'},
    )
    directory.apply(delta_of(1, moved))
    match = LabelSelector.parse('app=moved, channel=canary')
    assert directory.select_versions(match, 'south') == {'layout@2'}
    assert not directory.select_versions(match, 'north')
    assert [each.name for each in directory.adapters_of('south')] == [
        'common',
        'layout',
        'quotes',
    ]
    gone = (
        deletion(3, 'adapter-version', 'layout@2'),
        deletion(3, 'adapter', 'layout'),
        deletion(3, 'target', 'w1'),
    )
    directory.apply(Delta(base=2, revision=3, changes=gone))
    assert not directory.select_versions(match, 'south')
    assert [each.name for each in directory.targets_of('planner-models')] == [
        'w2',
    ]
    assert [each.name for each in directory.shared_adapters()] == ['common']


def test_targets_are_selected_by_label():
    found = small_directory().targets_of(
        'planner-models',
        LabelSelector.parse('gpu=big'),
    )
    assert [each.name for each in found] == ['w1']


def test_delta_before_the_trimmed_log_is_a_snapshot():
    directory = Directory(log_changes=2)
    for base in range(5):
        directory.apply(
            delta_of(base, Workspace(name=f'w{base}', rate=1, burst=1)),
        )
    assert directory.delta_since(3).base == 3
    assert directory.delta_since(2).base == 0
    assert len(directory.delta_since(2).changes) == 5
    assert directory.delta_since(5) == Delta(base=5, revision=5)
    assert directory.delta_since(9) == Delta(base=5, revision=5)


_bodies = st.one_of(
    st.builds(
        Workspace,
        name=st.sampled_from('ab'),
        rate=st.just(1.0),
        burst=st.floats(1, 9),
    ),
    st.builds(
        Adapter,
        name=st.sampled_from('xy'),
        workspace=st.sampled_from('ab'),
        service=st.just('s'),
        shared=st.booleans(),
        labels=st.dictionaries(
            st.sampled_from('pq'),
            st.sampled_from('12'),
            max_size=2,
        ),
    ),
    st.builds(
        AdapterVersion,
        name=st.sampled_from(('x@1', 'x@2', 'y@1')),
        labels=st.dictionaries(
            st.sampled_from('pq'),
            st.sampled_from('12'),
            max_size=2,
        ),
    ),
)
_steps = st.lists(st.tuples(_bodies, st.booleans()), max_size=12)


@given(steps=_steps, behind=st.integers(0, 12), log=st.integers(1, 12))
def test_delta_since_leads_any_follower_to_the_same_state(steps, behind, log):
    leader = Directory(log_changes=log)
    follower = Directory()
    for base, (body, is_deletion) in enumerate(steps):
        change = change_of(base + 1, body)
        if is_deletion:
            change = deletion(base + 1, *body.ref)
        delta = Delta(base=base, revision=base + 1, changes=(change,))
        leader.apply(delta)
        if base < behind:
            follower.apply(delta)
    follower.apply(leader.delta_since(follower.revision))
    assert follower.revision == leader.revision
    assert dict(follower.objects()) == dict(leader.objects())
    rebuilt = Directory()
    rebuilt.apply(leader.snapshot())
    for text in ('', 'p=1', 'p!=1', '!q', 'q in (1,2), p'):
        selector = LabelSelector.parse(text)
        for workspace in 'ab':
            expected = {
                name
                for (kind, name), _ in leader.objects()
                if kind == 'adapter-version'
                and (adapter := leader.adapter(name[0]))
                and (adapter.workspace == workspace or adapter.shared)
                and selector.matches(leader.version_labels(name))
            }
            for each in (leader, follower, rebuilt):
                found = each.select_versions(selector, workspace)
                assert found == expected


@pytest.mark.parametrize(
    'change',
    [
        {'revision': 1, 'kind': 'thing', 'name': 'x'},
        {
            'revision': 1,
            'kind': 'key',
            'name': 'x',
            'body': {'kind': 'service', 'name': 'x'},
        },
        {
            'revision': 1,
            'kind': 'service',
            'name': 'y',
            'body': {'kind': 'service', 'name': 'x'},
        },
    ],
)
def test_inconsistent_change_is_rejected_on_decoding(change):
    packed = msgspec.msgpack.encode(
        {'base': 0, 'revision': 1, 'changes': [change]},
    )
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(packed, type=Delta)


@given(junk=st.binary(max_size=200))
def test_decoding_junk_gives_a_clear_error(junk):
    try:
        msgspec.msgpack.decode(junk, type=Delta)
    except msgspec.DecodeError as exc:
        assert str(exc)
