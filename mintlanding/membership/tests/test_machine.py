"""Invariants of all views while links, instances and the list fail."""

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from mintlanding.membership.models import MembershipOptions, MemberState
from mintlanding.membership.tests.fleet import (
    Fleet,
    make_members,
    with_incarnation,
)
from mintlanding.placement.messages import AdapterRef, WorkerDigest

SIZE = 5
NAMES = [f'i{number}' for number in range(SIZE)]
SETTLED = 40
names = st.sampled_from(NAMES)


class MembershipMachine(RuleBasedStateMachine):
    """A small fleet; the model tracks which instances are up and reachable."""

    options = MembershipOptions()

    def __init__(self):
        super().__init__()
        self.members = make_members(SIZE)
        self.fleet = Fleet(self.members, self.options)
        self.changed_at = dict.fromkeys(pairs(), 0.0)
        self.lists = [list(self.members)]
        self.leaving = set()
        self.seen_leaving = set()
        self.seen_gone = set()
        self.versions = {}
        self.sequence = 0

    @initialize()
    def meet(self):
        self.fleet.run(5)

    @rule(seconds=st.sampled_from((1, 2, 5, 12)))
    def pass_time(self, seconds):
        for _ in range(seconds):
            self.fleet.run(1)
            self.check()

    @rule(one=names, other=names)
    def cut(self, one, other):
        if one != other:
            self.fleet.cut.add((one, other))
            self.touch(one, other)

    @rule(one=names, other=names)
    def mend(self, one, other):
        self.fleet.cut.discard((one, other))
        self.touch(one, other)

    @rule(inside=st.sets(names, min_size=1, max_size=SIZE - 1))
    def cut_off(self, inside):
        for one, other in pairs():
            if (one in inside) != (other in inside):
                self.fleet.cut.add((one, other))
                self.touch(one, other)

    @rule(name=names)
    def kill(self, name):
        self.fleet.up.discard(name)
        self.touch_all(name)

    @rule(name=names)
    def restart(self, name):
        node = self.fleet.nodes[name]
        self.fleet.start(
            with_incarnation(self.member(name), node.own.incarnation + 1)
        )
        self.leaving.discard(name)
        self.touch_all(name)

    @rule(name=names, seconds=st.sampled_from((3, 8, 30, 4000)))
    def freeze(self, name, seconds):
        if name not in self.fleet.up:
            return
        self.fleet.up.discard(name)
        self.fleet.run(seconds, step=max(1, seconds / 20))
        self.fleet.up.add(name)
        self.touch_all(name)

    @rule(name=names)
    def leave(self, name):
        if name in self.fleet.up:
            self.leaving.add(name)
            node = self.fleet.nodes[name]
            self.fleet.take(name, node.leave(self.fleet.now))

    @rule()
    def refresh_list(self):
        listed = [
            msgspec.structs.replace(
                self.fleet.nodes[each.instance].own, incarnation=0
            )
            for each in self.members
            if each.instance in self.fleet.up
        ]
        self.lists.append(listed)

    @rule(name=names, age=st.integers(0, 3))
    def give_list(self, name, age):
        """Apply a list; lists arrive late and out of order."""
        if name in self.fleet.up:
            listed = self.lists[max(0, len(self.lists) - 1 - age)]
            node = self.fleet.nodes[name]
            actions = node.apply_instance_list(listed, self.fleet.now)
            self.fleet.take(name, actions)

    @rule(name=names, frame=st.integers(0, 2), fencing=st.integers(1, 2))
    def put_digest(self, name, frame, fencing):
        self.sequence += 1
        digest = WorkerDigest(
            worker='w1',
            zone='z0',
            steward=name,
            steward_address='10.0.0.0:7000',
            fencing=fencing,
            sequence=self.sequence,
            slots=4,
            batch_limit=8,
            resident=(AdapterRef('a', str(frame)),),
            running=self.sequence,
        )
        self.fleet.nodes[name].put_digest(digest, self.fleet.now)

    @precondition(lambda self: len(self.fleet.up) > 1)
    @rule()
    def heal(self):
        self.fleet.cut.clear()
        for one, other in pairs():
            self.touch(one, other)
        self.fleet.run(SETTLED)
        self.check()
        self.views_have_converged()

    def views_have_converged(self):
        up = sorted(self.fleet.up)
        for name in up:
            for other, state in self.fleet.states(name).items():
                if other in self.fleet.up:
                    assert state in {'live', 'leaving'}, (name, other, state)
                else:
                    assert state != 'live', (name, other)
        views = [self.fleet.nodes[name].digests() for name in up]
        assert all(view == views[0] for view in views)

    def check(self):
        for name in self.fleet.up:
            self.check_view(name)

    def check_view(self, name):
        node = self.fleet.nodes[name]
        for other, member in node.members(self.fleet.now).items():
            run_key = (name, node.own.incarnation, other, member.incarnation)
            if member.state == MemberState.gone:
                if run_key not in self.seen_gone:
                    assert not self.is_reachable(name, other, 9)
                assert not self.is_reachable(name, other, SETTLED)
                self.seen_gone.add(run_key)
            else:
                self.seen_gone.discard(run_key)
            if member.state == MemberState.leaving:
                self.seen_leaving.add(run_key)
            elif run_key in self.seen_leaving:
                assert member.state == MemberState.gone, run_key

    @invariant()
    def old_digests_never_replace_newer_ones(self):
        for name, node in self.fleet.nodes.items():
            for digest in node.digests().values():
                version = (digest.fencing, digest.sequence)
                key = (name, node.own.incarnation, digest.worker)
                assert version >= self.versions.get(key, (0, 0))
                self.versions[key] = version

    def is_reachable(self, name, other, seconds):
        """Return whether both were up and connected for the last seconds."""
        if other not in self.fleet.up:
            return False
        joined = not {(name, other), (other, name)} & self.fleet.cut
        since = max(
            self.changed_at[(name, other)], self.changed_at[(other, name)]
        )
        return joined and self.fleet.now - since >= seconds

    def member(self, name):
        return next(each for each in self.members if each.instance == name)

    def touch(self, one, other):
        self.changed_at[(one, other)] = self.fleet.now

    def touch_all(self, name):
        for one, other in pairs():
            if name in (one, other):
                self.touch(one, other)


def pairs():
    return [(one, other) for one in NAMES for other in NAMES if one != other]


class RingMachine(MembershipMachine):
    """The same with rings and gateways instead of a full mesh."""

    options = MembershipOptions(mesh_limit=2, gateways=1)


TestMesh = MembershipMachine.TestCase
TestRing = RingMachine.TestCase


def test_survivors_detect_three_dead_members_of_a_ring():
    """A member dropped as neighbour while silent is never suspected.

    With i0 and i1 dead, only their replacements call i2, alone in its zone.
    Once silent it isn't chosen: its failed calls are cleared, it is live again.
    """
    state = RingMachine()
    state.meet()
    state.kill('i2')
    state.kill('i0')
    state.kill('i1')
    state.heal()
