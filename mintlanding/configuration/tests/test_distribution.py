import random
import zlib
from collections import Counter
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from msgspec.structs import replace

from mintlanding.configuration.actions import (
    Announce,
    FetchDelta,
    RevisionApplied,
    StopWatch,
    Watch,
)
from mintlanding.configuration.delta_parts import DeltaAssembler, split_delta
from mintlanding.configuration.directory import Directory
from mintlanding.configuration.distribution import DistributionNode
from mintlanding.configuration.exceptions import StoredConfigurationError
from mintlanding.configuration.messages import Announcement, DeltaPart
from mintlanding.configuration.models import Delta, Workspace
from mintlanding.configuration.tests.samples import (
    delta_of,
    large_objects,
    small_directory,
)
from mintlanding.configuration.topology import (
    WATCHERS_PER_ZONE,
    children,
    watchers,
)
from mintlanding.membership.freshness import ConfigurationFreshness
from mintlanding.membership.models import Member, MemberState

HEARTBEAT_SECONDS = 1
STEP_SECONDS = 0.25


def member(number, zone='a'):
    name = f'i{number}'
    return Member(instance=name, zone=zone, region='r', address=name)


def workspace(number):
    return Workspace(name=f'w{number % 5}', rate=number + 1, burst=9)


@dataclass
class Fleet:
    """Simulated nodes, a lossy network and a platform, on a virtual clock."""

    members: list
    rng: random.Random
    now: float = 0
    nodes: dict = field(default_factory=dict)
    queue: list = field(default_factory=list)
    cut_platform: set = field(default_factory=set)
    cut_pairs: set = field(default_factory=set)
    changed_at: list = field(default_factory=list)
    sent: Counter = field(default_factory=Counter)
    loss: float = 0

    def __post_init__(self):
        self.platform = Directory(log_changes=8)
        for each in self.members:
            self.start(each)

    def start(self, each):
        node = DistributionNode.from_config(
            each,
            ConfigurationFreshness(),
            random.Random(self.rng.random()),
            self.now,
        )
        self.nodes[each.instance] = node
        self.execute(node, node.update_members(self.members, self.now))

    def change(self):
        base = self.platform.revision
        self.platform.apply(delta_of(base, workspace(base)))
        self.changed_at.append(self.now)

    def is_cut(self, one, other):
        zones = {self.nodes[name].own.zone for name in (one, other)}
        return frozenset(zones) in self.cut_pairs and len(zones) == 2

    def execute(self, node, actions):
        name = node.own.instance
        for action in actions:
            self.sent[type(action).__name__] += 1
            if isinstance(action, Watch):
                self.queue.append(('watch', name, action.after, self.now))
            elif isinstance(action, FetchDelta):
                self.queue.append(('fetch', name, action.peer.instance, action))
            elif isinstance(action, Announce):
                assert len(action.peers) == len(set(action.peers))
                for peer in action.peers:
                    assert peer.instance != name
                    self.sent['message'] += 1
                    self.queue.append(
                        ('announce', name, peer.instance, action.message),
                    )

    def heartbeat(self):
        """Send each node the revisions of two others and their freshness."""
        for name, node in self.nodes.items():
            others = [each for each in self.nodes if each != name]
            for other in self.rng.sample(others, min(2, len(others))):
                if self.is_cut(name, other) or self.rng.random() < self.loss:
                    continue
                peer = self.nodes[other]
                node.freshness.confirm_from_peer(
                    peer.revision,
                    peer.freshness.age(self.now),
                    self.now,
                )
                self.execute(
                    node,
                    node.peer_revision_seen(other, peer.revision, self.now),
                )

    def deliver(self, index=0):
        kind, name, second, third = self.queue.pop(index)
        node = self.nodes.get(name)
        if kind == 'watch':
            self.answer_watch(node, second, third)
        elif self.is_cut(name, second) or self.rng.random() < self.loss:
            if kind == 'fetch':
                self.execute(node, node.fetch_failed(second, self.now))
        elif kind == 'fetch':
            delta = self.nodes[second].directory.delta_since(third.after)
            self.execute(node, node.fetched(second, delta, self.now))
        else:
            peer = self.nodes[second]
            self.execute(peer, peer.announced(third, name, self.now))

    def answer_watch(self, node, after, asked_at):
        if node.own.zone in self.cut_platform:
            self.execute(node, node.watch_failed('no answer', self.now))
            return
        held = self.platform.revision
        if held > after or self.now - asked_at >= 5:
            delta = self.platform.delta_since(after)
            self.execute(node, node.watch_result(delta, self.now, self.now))
        else:
            self.queue.append(('watch', node.own.instance, after, asked_at))

    def step(self):
        self.now += STEP_SECONDS
        for _ in range(4):
            for _ in range(len(self.queue)):
                self.deliver()
        for node in self.nodes.values():
            self.execute(node, node.tick(self.now))
        if self.now % HEARTBEAT_SECONDS == 0:
            self.heartbeat()

    def run(self, seconds):
        for _ in range(int(seconds / STEP_SECONDS)):
            self.step()

    def revisions(self):
        return {node.revision for node in self.nodes.values()}


def new_fleet(count, zones='abc', seed=1):
    members = [member(n, zones[n % len(zones)]) for n in range(count)]
    return Fleet(members, random.Random(seed))


def test_change_reaches_all_nodes_within_a_step():
    fleet = new_fleet(24)
    fleet.change()
    fleet.run(10)
    fleet.change()
    fleet.step()
    assert fleet.revisions() == {2}


@pytest.mark.parametrize('count', [3, 24, 200])
def test_number_of_watches_is_bounded(count):
    fleet = new_fleet(count)
    fleet.change()
    fleet.run(30)
    waiting = sum(entry[0] == 'watch' for entry in fleet.queue)
    assert waiting <= 3 * WATCHERS_PER_ZONE


def test_messages_for_a_change_grow_linearly_with_the_members():
    sent = {}
    for count in (60, 240):
        fleet = new_fleet(count)
        fleet.change()
        fleet.run(10)
        fleet.sent.clear()
        fleet.change()
        fleet.run(1)
        assert fleet.revisions() == {2}
        sent[count] = fleet.sent['message'] / count
    assert sent[240] <= sent[60]
    assert sent[240] < 3


@pytest.mark.parametrize(
    ('cut_platform', 'cut_pairs', 'loss'),
    [
        (set(), set(), 0),
        ({'a'}, set(), 0),
        ({'a', 'b'}, set(), 0),
        ({'a'}, {frozenset('ab')}, 0),
        (set(), {frozenset('ab'), frozenset('ac'), frozenset('bc')}, 0),
        (set(), set(), 0.5),
        ({'b', 'c'}, {frozenset('ab')}, 0.2),
    ],
)
def test_change_is_in_force_within_five_seconds(cut_platform, cut_pairs, loss):
    fleet = new_fleet(24)
    fleet.change()
    fleet.run(20)
    assert fleet.revisions() == {1}
    fleet.cut_platform = cut_platform
    fleet.cut_pairs = cut_pairs
    fleet.loss = loss
    for expected in range(2, 12):
        fleet.change()
        fleet.run(5)
        assert fleet.revisions() == {expected}


def test_isolated_zone_reports_its_staleness():
    fleet = new_fleet(9)
    fleet.change()
    fleet.run(20)
    fleet.cut_platform = {'a'}
    fleet.cut_pairs = {frozenset('ab'), frozenset('ac')}
    fleet.change()
    fleet.run(30)
    ages = {
        node.own.zone: node.stale_seconds(fleet.now)
        for node in fleet.nodes.values()
    }
    assert ages['a'] >= 30
    assert ages['b'] < 15
    fleet.cut_pairs = set()
    fleet.run(5)
    assert fleet.revisions() == {2}


def test_new_instance_fetches_from_a_peer_while_the_platform_is_down():
    fleet = new_fleet(6)
    fleet.change()
    fleet.run(20)
    fleet.cut_platform = set('abc')
    fleet.start(fleet.members[0])
    fleet.run(2)
    assert fleet.nodes['i0'].revision == 1
    assert fleet.nodes['i0'].describe_wait(fleet.now) == ''


def test_new_instance_describes_what_it_waits_for():
    fleet = new_fleet(2, zones='a')
    fleet.cut_platform = {'a'}
    fleet.run(10)
    said = fleet.nodes['i0'].describe_wait(fleet.now)
    assert 'key-value service has not answered' in said
    assert 'no answer' in said
    assert '1 peers known, 1 of them had none' in said


def test_backup_watchers_take_over_when_the_first_ones_are_cut_off():
    fleet = new_fleet(4, zones='a')
    fleet.change()
    fleet.run(20)
    first = {each.instance for each in watchers(fleet.members, 'a')}
    cut = {name: replace(fleet.nodes[name].own, zone='cut') for name in first}

    def cut_watch(node, after, asked_at):
        if node.own.instance in cut:
            fleet.execute(node, node.watch_failed('cut off', fleet.now))
        else:
            Fleet.answer_watch(fleet, node, after, asked_at)

    fleet.answer_watch = cut_watch
    fleet.change()
    fleet.run(40)
    assert fleet.revisions() == {2}


def test_watch_stops_when_other_members_watch():
    own = member(0)
    node = DistributionNode.from_config(
        own,
        ConfigurationFreshness(),
        random.Random(1),
        0,
    )
    assert any(isinstance(each, Watch) for each in node.tick(0))
    others = [member(number) for number in range(1, 40)]
    assert own not in watchers([own, *others], 'a')
    node.directory.apply(small_directory().snapshot())
    node.freshness.confirm(0)
    assert StopWatch() in node.update_members(others, 1)
    leaving = [replace(each, state=MemberState.leaving) for each in others]
    actions = node.update_members(leaving, 2)
    assert any(isinstance(each, Watch) for each in actions)


def test_platform_that_lost_data_does_not_confirm_the_revision():
    freshness = ConfigurationFreshness()
    node = DistributionNode(
        member(0),
        small_directory(),
        freshness,
        random.Random(1),
        0,
    )
    node.watch_result(Delta(base=0, revision=0), 5, 5)
    assert node.revision == 1
    assert node.stale_seconds(5) < 0


def test_peer_that_lost_a_revision_is_not_asked_for_it_again():
    node = DistributionNode(
        member(0),
        small_directory(),
        ConfigurationFreshness(),
        random.Random(1),
        0,
    )
    node.update_members([member(1)], 0)
    assert any(
        isinstance(each, FetchDelta)
        for each in node.peer_revision_seen('i1', 5, 0)
    )
    node.fetched('i1', Delta(base=0, revision=0), 1)
    later = [action for step in range(2, 20) for action in node.tick(step)]
    assert not any(isinstance(each, FetchDelta) for each in later)
    assert any(
        isinstance(each, FetchDelta)
        for each in node.peer_revision_seen('i1', 6, 20)
    )


@pytest.mark.parametrize(('count', 'label_bytes'), [(200, 1), (30, 4000)])
def test_large_delta_is_announced_without_its_changes(count, label_bytes):
    fleet = new_fleet(12, zones='a')
    fleet.change()
    fleet.run(5)
    labels = {'note': 'x' * label_bytes}
    many = [
        replace(workspace(0), name=f'x{number}', labels=labels)
        for number in range(count)
    ]
    fleet.platform.apply(delta_of(1, *many))
    fleet.changed_at.append(fleet.now)
    fleet.sent.clear()
    fleet.run(2)
    assert fleet.revisions() == {2}
    assert fleet.nodes['i3'].directory.count('workspace') == count + 1
    assert fleet.sent['FetchDelta'] >= 10


@given(
    count=st.integers(1, 60),
    fan_out=st.integers(1, 9),
    origin=st.integers(0, 59),
)
def test_every_tree_reaches_each_member_once(count, fan_out, origin):
    members = [member(number) for number in range(count)]
    root = f'i{origin % count}'
    reached = Counter({root: 1})
    waiting = [root]
    while waiting:
        name = waiting.pop()
        for child in children(members, 'a', root, name, fan_out):
            reached[child.instance] += 1
            waiting.append(child.instance)
    assert reached == Counter(each.instance for each in members)


def test_parts_rebuild_a_snapshot():
    leader = Directory()
    leader.apply(delta_of(0, *large_objects(1200)))
    follower = Directory()
    assembler = DeltaAssembler(follower)
    parts = list(split_delta(leader.snapshot()))
    assert len(parts) == 3
    whole = [assembler.add(part) for part in parts]
    assert whole[:2] == [None, None]
    follower.apply(whole[2])
    assert dict(follower.objects()) == dict(leader.objects())


def test_parts_of_large_objects_are_bounded():
    leader = Directory()
    labels = {f'label-{number}': 'x' * 4000 for number in range(32)}
    many = [
        replace(workspace(0), name=f'x{number}', labels=labels)
        for number in range(100)
    ]
    leader.apply(delta_of(0, *many))
    follower = Directory()
    assembler = DeltaAssembler(follower)
    parts = list(split_delta(leader.snapshot()))
    assert len(parts) >= 12
    wholes = [assembler.add(part) for part in parts]
    follower.apply(wholes[-1])
    assert dict(follower.objects()) == dict(leader.objects())


@pytest.mark.parametrize(
    'change',
    [
        {'number': 0},
        {'number': 2},
        {'total': 99999},
        {'revision': 5},
        {'base': 3},
        {'content': b'junk'},
    ],
)
def test_part_that_does_not_continue_the_delta_is_rejected(change):
    leader = Directory()
    leader.apply(delta_of(0, *large_objects(1200)))
    first, second, _ = split_delta(leader.snapshot())
    assembler = DeltaAssembler(Directory())
    assembler.add(first)
    with pytest.raises(StoredConfigurationError):
        assembler.add(replace(second, **change))


@given(content=st.binary(max_size=100))
def test_any_part_is_taken_or_refused(content):
    part = DeltaPart(base=0, revision=1, number=0, total=1, content=content)
    with pytest.raises(StoredConfigurationError):
        DeltaAssembler(Directory()).add(part)


def test_part_that_is_too_large_uncompressed_is_rejected():
    part = DeltaPart(
        base=0,
        revision=1,
        number=0,
        total=1,
        content=zlib.compress(bytes(9 << 20)),
    )
    with pytest.raises(StoredConfigurationError, match='too large'):
        DeltaAssembler(Directory()).add(part)


class Spreading(RuleBasedStateMachine):
    """Revisions never revert, freshness is not overstated, nodes converge."""

    def __init__(self):
        super().__init__()
        self.fleet = new_fleet(7)
        self.fleet.change()
        self.highest = Counter()
        self.truth = {0: {}}
        self.note_truth()

    def note_truth(self):
        platform = self.fleet.platform
        self.truth[platform.revision] = dict(platform.objects())

    @rule(count=st.integers(1, 4))
    def change(self, count):
        for _ in range(count):
            self.fleet.change()
            self.note_truth()

    @rule(pick=st.integers(0, 999))
    def deliver_any(self, pick):
        if self.fleet.queue:
            self.fleet.deliver(pick % len(self.fleet.queue))

    @rule(pick=st.integers(0, 999))
    def double(self, pick):
        messages = [each for each in self.fleet.queue if each[0] != 'watch']
        if messages:
            self.fleet.queue.append(messages[pick % len(messages)])

    @rule(pick=st.integers(0, 999))
    def lose(self, pick):
        messages = [each for each in self.fleet.queue if each[0] != 'watch']
        if messages:
            self.fleet.queue.remove(messages[pick % len(messages)])

    @rule(pick=st.integers(0, 6), base=st.integers(0, 9), far=st.integers(0, 6))
    def old_peer_offers(self, pick, base, far):
        """An outdated peer sends an old state as a snapshot and a delta."""
        old = base % (self.fleet.platform.revision + 1)
        directory = Directory()
        for number in range(old):
            directory.apply(delta_of(number, workspace(number)))
        node = self.fleet.nodes[f'i{pick}']
        sender = f'i{far}'
        message = Announcement(sender, old, directory.snapshot())
        self.fleet.execute(
            node, node.announced(message, sender, self.fleet.now)
        )
        late = directory.delta_since(max(0, old - 1))
        self.fleet.execute(node, node.fetched(sender, late, self.fleet.now))

    @rule(zone=st.sampled_from('abc'))
    def toggle_platform(self, zone):
        self.fleet.cut_platform ^= {zone}

    @rule(pair=st.sampled_from(('ab', 'ac', 'bc')))
    def toggle_zones(self, pair):
        self.fleet.cut_pairs ^= {frozenset(pair)}

    @rule(pick=st.integers(0, 6))
    def restart(self, pick):
        name = f'i{pick}'
        self.fleet.queue = [
            each
            for each in self.fleet.queue
            if each[1] != name or each[0] == 'announce'
        ]
        self.highest[name] = 0
        self.fleet.start(self.fleet.members[pick])

    @rule(seconds=st.sampled_from((0.25, 1, 4)))
    def run(self, seconds):
        self.fleet.run(seconds)

    @invariant()
    def nothing_reverts_and_content_is_that_of_the_revision(self):
        for name, node in self.fleet.nodes.items():
            assert node.revision >= self.highest[name]
            self.highest[name] = node.revision
            assert dict(node.directory.objects()) == self.truth[node.revision]

    @invariant()
    def nobody_claims_to_be_fresher_than_it_is(self):
        fleet = self.fleet
        for node in fleet.nodes.values():
            age = node.stale_seconds(fleet.now)
            if age < 0 or node.revision == fleet.platform.revision:
                continue
            missed_at = fleet.changed_at[node.revision]
            assert fleet.now - age <= missed_at

    def teardown(self):
        self.fleet.cut_platform = set()
        self.fleet.cut_pairs = set()
        self.fleet.run(12)
        assert self.fleet.revisions() == {self.fleet.platform.revision}
        ages = [
            node.stale_seconds(self.fleet.now)
            for node in self.fleet.nodes.values()
        ]
        assert max(ages) < 12


TestSpreading = Spreading.TestCase


def test_applied_changes_are_reported_once():
    node = DistributionNode.from_config(
        member(0),
        ConfigurationFreshness(),
        random.Random(1),
        0,
    )
    node.update_members([member(1)], 0)
    delta = delta_of(0, workspace(1))
    message = Announcement('i1', 1, delta)
    first = node.announced(message, 'i1', 1)
    again = node.announced(message, 'i1', 1)
    assert [type(each) for each in first if isinstance(each, RevisionApplied)]
    assert not [each for each in again if isinstance(each, RevisionApplied)]
