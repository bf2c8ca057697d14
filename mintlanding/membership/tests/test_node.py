"""How members join, leave, become silent and are declared gone."""

import msgspec
import pytest

from mintlanding.membership.models import (
    MemberChanged,
    MembershipOptions,
    MemberState,
    SendHeartbeat,
)
from mintlanding.membership.tests.fleet import (
    Fleet,
    make_members,
    with_incarnation,
)
from mintlanding.placement.messages import AdapterRef, WorkerDigest

REF = AdapterRef('a', '1')


def make_digest(sequence, fencing=1, steward='i0', resident=(), running=0):
    return WorkerDigest(
        worker='w1',
        zone='z0',
        steward=steward,
        steward_address='10.0.0.0:7000',
        fencing=fencing,
        sequence=sequence,
        slots=4,
        batch_limit=8,
        resident=resident,
        running=running,
    )


def set_state(member, state):
    return msgspec.structs.replace(member, state=state)


def test_all_members_are_found_through_one_seed():
    fleet = Fleet(make_members(8), seeds=1)
    fleet.run(5)
    for name in fleet.nodes:
        assert set(fleet.states(name).values()) == {'live'}
        assert len(fleet.states(name)) == 7


def test_crashed_member_is_silent_then_gone():
    fleet = Fleet(make_members(8))
    fleet.run(5)
    fleet.up.discard('i7')
    fleet.run(5)
    assert fleet.states('i0')['i7'] == 'silent'
    fleet.run(15)
    assert {fleet.states(name)['i7'] for name in fleet.up} == {'gone'}


def test_one_suspicion_never_makes_a_member_gone():
    fleet = Fleet(make_members(8))
    fleet.run(5)
    fleet.cut_both('i0', 'i7')
    fleet.run(60)
    assert fleet.states('i0')['i7'] == 'silent'
    assert fleet.states('i1')['i7'] == 'live'


def test_member_stays_silent_without_a_second_suspicion():
    fleet = Fleet(make_members(2))
    fleet.run(5)
    fleet.up.discard('i1')
    fleet.run(60)
    assert fleet.states('i0')['i1'] == 'silent'


def test_witnesses_learn_of_each_other_after_suspecting_apart():
    fleet = Fleet(make_members(3))
    fleet.run(5)
    fleet.up.discard('i2')
    fleet.cut_both('i0', 'i1')
    fleet.run(3)
    fleet.cut.clear()
    fleet.run(20)
    assert {fleet.states(name)['i2'] for name in fleet.up} == {'gone'}


def test_absence_from_the_list_is_the_second_suspicion():
    members = make_members(2)
    fleet = Fleet(members)
    fleet.run(5)
    fleet.nodes['i0'].apply_instance_list(members, fleet.now)
    fleet.up.discard('i1')
    fleet.run(10)
    fleet.nodes['i0'].apply_instance_list(members[:1], fleet.now)
    fleet.run(12)
    assert fleet.states('i0')['i1'] == 'gone'


def test_absence_from_the_list_alone_changes_no_state():
    members = make_members(4)
    fleet = Fleet(members)
    fleet.run(5)
    fleet.nodes['i0'].apply_instance_list(members, fleet.now)
    fleet.nodes['i0'].apply_instance_list([], fleet.now)
    fleet.run(30)
    assert set(fleet.states('i0').values()) == {'live'}


def test_member_is_leaving_when_it_announces_it():
    fleet = Fleet(make_members(4))
    fleet.run(5)
    fleet.take('i3', fleet.nodes['i3'].leave(fleet.now))
    assert fleet.states('i0')['i3'] == 'leaving'


def test_member_is_leaving_everywhere_when_one_list_says_so():
    members = make_members(4)
    fleet = Fleet(members)
    fleet.run(5)
    leaving = set_state(members[3], MemberState.leaving)
    fleet.nodes['i0'].apply_instance_list([leaving], fleet.now)
    assert fleet.states('i0')['i3'] == 'leaving'
    fleet.nodes['i0'].apply_instance_list(members, fleet.now)
    fleet.run(3)
    assert {fleet.states(name)['i3'] for name in ('i0', 'i1')} == {'leaving'}


def test_late_list_does_not_mark_the_next_incarnation():
    members = make_members(4)
    old = [with_incarnation(each, 0) for each in members]
    old[3] = set_state(old[3], MemberState.leaving)
    fleet = Fleet(members)
    fleet.run(5)
    fleet.nodes['i0'].apply_instance_list(old, fleet.now)
    fleet.start(with_incarnation(members[3], 2))
    fleet.run(5)
    fleet.nodes['i0'].apply_instance_list(old, fleet.now)
    assert fleet.states('i0')['i3'] == 'live'


def test_restarted_member_has_its_new_incarnation():
    members = make_members(4)
    fleet = Fleet(members)
    fleet.run(5)
    fleet.start(with_incarnation(members[3], 2))
    fleet.run(5)
    seen = fleet.nodes['i0'].members(fleet.now)['i3']
    assert seen.incarnation == 2


def test_restarted_member_receives_its_own_digests_again():
    members = make_members(3)
    fleet = Fleet(members)
    fleet.run(5)
    fleet.nodes['i0'].put_digest(make_digest(1), fleet.now)
    fleet.run(3)
    fleet.start(with_incarnation(members[0], 2))
    fleet.run(5)
    assert 'w1' in fleet.nodes['i0'].digests()


def test_heartbeat_for_an_earlier_incarnation_leaves_no_gap():
    members = make_members(2)
    fleet = Fleet(members)
    fleet.run(5)
    fleet.nodes['i0'].put_digest(make_digest(1), fleet.now)
    fleet.run(5)
    fleet.start(with_incarnation(members[1], 2))
    fleet.take('i0', fleet.nodes['i0'].tick(fleet.now + 1))
    fleet.run(5)
    assert 'w1' in fleet.nodes['i1'].digests()


def test_peer_that_was_forgotten_is_told_from_the_beginning():
    # Guards against: all changes since an acknowledgement that is forgotten,
    # again with each heartbeat.
    fleet = Fleet(make_members(4, zones=1), MembershipOptions(forget_after=20))
    fleet.run(5)
    fleet.nodes['i0'].put_digest(make_digest(1), fleet.now)
    fleet.run(5)
    for name in ('i1', 'i2', 'i3'):
        fleet.cut_both('i0', name)
    fleet.run(60)
    assert 'i0' not in fleet.states('i1')
    assert 'i1' in fleet.states('i0')
    fleet.cut.clear()
    fleet.run(5)
    fleet.nodes['i0'].put_digest(make_digest(2, resident=(REF,)), fleet.now)
    fleet.run(20)
    assert fleet.nodes['i1'].digests()['w1'].sequence == 2
    fleet.actions['i0'].clear()
    fleet.run(5)
    sent = [
        action.message
        for action in fleet.actions['i0']
        if isinstance(action, SendHeartbeat)
    ]
    assert sent and not any(each.digests for each in sent)


def test_late_acknowledgement_only_repeats_changes():
    # Guards against: a gap, after acknowledgements in another order.
    one, other = make_members(2, zones=1)
    fleet = Fleet([one, other])
    fleet.run(5)
    node, peer = fleet.nodes['i0'], fleet.nodes['i1']
    late = peer._build_heartbeat(one, fleet.now)
    node.put_digest(make_digest(1), fleet.now)
    fleet.run(5)
    node.handle_heartbeat(late, fleet.now)
    node.put_digest(make_digest(2, resident=(REF,)), fleet.now)
    fleet.run(5)
    assert peer.digests()['w1'].sequence == 2
    assert (
        node._links.get('i1').acknowledged == node._log.batch(other, 0).number
    )


def test_older_incarnation_does_not_replace_a_newer_one():
    members = make_members(4)
    fleet = Fleet(members)
    fleet.run(5)
    older = fleet.nodes['i3']
    fleet.start(with_incarnation(members[3], 2))
    fleet.run(5)
    actions = older.tick(fleet.now)
    message = actions[-1].message
    older.handle_reply(
        fleet.nodes['i0'].handle_heartbeat(message, fleet.now), fleet.now
    )
    assert older.own.incarnation == 1
    assert fleet.nodes['i0'].members(fleet.now)['i3'].incarnation == 2


def test_views_converge_after_a_zone_was_partitioned():
    fleet = Fleet(make_members(8))
    fleet.run(5)
    inside = [name for name in fleet.nodes if name in {'i0', 'i3', 'i6'}]
    outside = [name for name in fleet.nodes if name not in inside]
    for one in inside:
        for other in outside:
            fleet.cut_both(one, other)
    fleet.run(60)
    assert fleet.states('i0')['i1'] == 'gone'
    assert fleet.states('i1')['i0'] == 'gone'
    fleet.cut.clear()
    fleet.run(30)
    for name in fleet.nodes:
        assert set(fleet.states(name).values()) == {'live'}


def test_paused_instance_does_not_declare_others_gone():
    fleet = Fleet(make_members(3))
    fleet.run(5)
    fleet.up.discard('i0')
    fleet.now += 3600
    actions = fleet.nodes['i0'].tick(fleet.now)
    assert set(fleet.states('i0').values()) == {'live'}
    fleet.up.add('i0')
    fleet.take('i0', actions)
    assert set(fleet.states('i0').values()) == {'live'}


def test_digests_reach_every_instance_of_the_region():
    fleet = Fleet(make_members(8))
    fleet.run(5)
    ref = AdapterRef('a', '1')
    fleet.nodes['i0'].put_digest(make_digest(1, resident=(ref,)), fleet.now)
    fleet.run(3)
    for number in range(2, 20):
        digest = make_digest(number, resident=(ref,), running=number)
        fleet.nodes['i0'].put_digest(digest, fleet.now)
        fleet.run(0.5)
    fleet.run(5)
    for name in fleet.nodes:
        assert fleet.nodes[name].digests()['w1'].running == 19
        assert fleet.nodes[name].digests()['w1'].resident == (ref,)


@pytest.mark.parametrize(
    ('fencing', 'sequence'),
    [(1, 9), (2, 4), (2, 5)],
)
def test_old_digest_never_replaces_a_newer_one(fencing, sequence):
    node = Fleet(make_members(1)).nodes['i0']
    node.put_digest(make_digest(5, fencing=2, running=3), 0)
    node.put_digest(make_digest(sequence, fencing=fencing, running=1), 0)
    assert node.digests()['w1'].running == 3


def test_large_region_converges_over_ring_and_gateways():
    options = MembershipOptions(mesh_limit=6)
    fleet = Fleet(make_members(30), options, seeds=3)
    fleet.run(40)
    for name in fleet.nodes:
        assert len(fleet.states(name)) == 29
        assert set(fleet.states(name).values()) == {'live'}
    fleet.up.discard('i5')
    fleet.run(40)
    assert {fleet.states(name)['i5'] for name in fleet.up} == {'gone'}


def test_crashed_gateways_do_not_partition_the_zones():
    options = MembershipOptions(mesh_limit=2, gateways=1)
    fleet = Fleet(make_members(5), options)
    fleet.run(20)
    fleet.up -= {'i1', 'i2', 'i3'}
    fleet.run(60)
    fleet.nodes['i0'].put_digest(make_digest(1), fleet.now)
    fleet.run(5)
    assert fleet.states('i0')['i4'] == 'live'
    assert 'w1' in fleet.nodes['i4'].digests()


def test_no_load_is_delayed_for_long_by_newer_ones():
    options = MembershipOptions(mesh_limit=6)
    fleet = Fleet(make_members(18), options, seeds=3)
    fleet.run(20)
    for second in range(30):
        for number, node in enumerate(fleet.nodes.values()):
            for worker in (number, number + 100):
                digest = make_digest(second + 1, steward=node.own.instance)
                digest = msgspec.structs.replace(digest, worker=f'w{worker}')
                node.put_digest(digest, fleet.now)
        fleet.run(1)
    oldest = min(
        digest.sequence
        for node in fleet.nodes.values()
        for digest in node.digests().values()
    )
    assert oldest >= 22


def test_changes_report_every_state_in_the_view():
    fleet = Fleet(make_members(6))
    fleet.run(5)
    fleet.up.discard('i4')
    fleet.run(4)
    fleet.take('i5', fleet.nodes['i5'].leave(fleet.now))
    fleet.run(20)
    reported = {}
    for action in fleet.actions['i0']:
        if isinstance(action, MemberChanged):
            reported.setdefault(action.member.instance, []).append(
                str(action.member.state)
            )
    assert reported['i4'] == ['live', 'silent', 'gone']
    assert reported['i5'] == ['live', 'leaving']
    assert reported['i1'] == ['live']


def test_confirmed_age_counts_from_the_call():
    fleet = Fleet(make_members(2))
    for node in fleet.nodes.values():
        node.configuration.set_revision(7)
    fleet.nodes['i0'].configuration.confirm(0)
    fleet.run(5)
    assert fleet.nodes['i1'].configuration.age(fleet.now) >= fleet.now


def test_peer_with_a_newer_revision_confirms_nothing():
    fleet = Fleet(make_members(2))
    fleet.nodes['i0'].configuration.set_revision(8)
    fleet.nodes['i1'].configuration.set_revision(7)
    fleet.nodes['i0'].configuration.confirm(0)
    fleet.run(5)
    assert fleet.nodes['i1'].configuration.age(fleet.now) < 0
    assert fleet.nodes['i1'].revisions()['i0'] == 8
