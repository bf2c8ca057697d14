"""Words between members, directly and through hubs, without a network."""

import msgspec
import pytest

from mintlanding.links.messages import Consent, Status, UseReport, ZoneWord
from mintlanding.node.settings import FleetOptions
from mintlanding.node.status_exchange import Words
from mintlanding.node.view import MemberRecord
from mintlanding.residency.messages import WorkerDigest

TERMS = FleetOptions()
STEP = TERMS.status_interval


class FakeMesh:
    """Delivers messages of one member at once, and counts them."""

    def __init__(self, fleet, me):
        self.fleet = fleet
        self.me = me

    def send(self, member, message):
        if not self.fleet.reaches(self.me, member):
            return False
        self.fleet.messages += 1
        self.fleet.deliver(self.me, member, message)
        return True

    def broadcast(self, message):
        for member in self.fleet.words:
            if member != self.me:
                self.send(member, message)


class Fleet:
    """Members in zones, whose words reach each other in memory."""

    def __init__(self, members, zones=2):
        self.now = 100.0
        self.messages = 0
        self.cut = set()
        self.consents = []
        self.uses = []
        self.charged = {}
        self.words = {}
        self.admitted = {}
        self.records = {
            f'n{number}': MemberRecord(
                f'n{number}',
                f'z{number % zones}',
                '10.0.0.1',
                1,
                'b',
            )
            for number in range(members)
        }
        for name in self.records:
            self.add(name)

    def add(self, name, boot='b'):
        record = self.records[name]
        words = Words(name, boot, record.zone, TERMS, record.link_mbps)
        words.mesh = FakeMesh(self, name)
        self.admitted[name] = 0.0
        self.charged[name] = {}
        words.sources.admitted = lambda: {'w': self.admitted[name]}
        words.sources.digests = lambda: (WorkerDigest(f'w-{name}', 1, True),)
        words.listeners.on_admitted = lambda source, counters, now: self.charge(
            name, source, counters
        )
        others = {k: v for k, v in self.records.items() if k != name}
        words.set_members(others)
        self.words[name] = words

    def charge(self, name, source, counters):
        self.charged[name][source] = counters['w']

    def reaches(self, sender, receiver):
        known = receiver in self.words
        return known and not {sender, receiver} & self.cut

    def deliver(self, sender, receiver, message):
        words = self.words[receiver]
        if isinstance(message, Status):
            words.hear(message, self.now)
        elif isinstance(message, ZoneWord):
            words.hear_zone(message, self.now)
        elif isinstance(message, Consent):
            self.consents.append((sender, receiver, message.told_at))
        elif isinstance(message, UseReport):
            self.uses.append((receiver, message))

    def run(self, seconds):
        for _ in range(int(seconds / STEP)):
            self.now += STEP
            self.messages = 0
            for name, words in self.words.items():
                if name not in self.cut:
                    words.speak(self.now)

    def heard_by(self, name):
        words = self.words[name]
        return {each for each in self.words if words.is_heard(each, self.now)}


@pytest.mark.parametrize('members', [6, 40])
def test_every_member_hears_of_every_other(members):
    fleet = Fleet(members)
    fleet.run(4)
    for name in fleet.words:
        assert fleet.heard_by(name) == set(fleet.words) - {name}


@pytest.mark.parametrize('members', [6, 40])
def test_zone_that_falls_silent_as_a_whole_is_noticed(members):
    fleet = Fleet(members)
    fleet.run(4)
    assert not fleet.words['n0'].silent_zones(fleet.now)
    fleet.cut = {
        name for name, each in fleet.records.items() if each.zone == 'z1'
    }
    fleet.run(1.5)
    assert fleet.words['n0'].silent_zones(fleet.now) == {'z1'}
    # Cut off alone, an instance does not know who is.
    assert not fleet.words['n1'].silent_zones(fleet.now)


def test_messages_of_a_large_fleet_grow_with_its_size_only():
    fleet = Fleet(60, zones=3)
    fleet.run(4)
    assert fleet.messages < 60 * 5


@pytest.mark.parametrize('members', [6, 40])
def test_counters_of_others_reach_each_member_once(members):
    fleet = Fleet(members)
    for step in range(20):
        for name in fleet.admitted:
            fleet.admitted[name] += 1
        fleet.run(STEP)
    fleet.run(2)
    for name in fleet.words:
        assert sum(fleet.charged[name].values()) == 20 * (members - 1)


@pytest.mark.parametrize('members', [6, 40])
def test_member_that_is_reached_hears_at_once(members):
    # After all were killed, requests come before the first round of words.
    fleet = Fleet(members)
    fleet.words['n0'].greet('n1', fleet.now)
    assert fleet.words['n1'].is_heard('n0', fleet.now)


def test_hub_that_falls_silent_is_replaced():
    fleet = Fleet(40)
    fleet.run(4)
    hub = fleet.words['n0']._hub(fleet.now)
    fleet.cut.add(hub)
    fleet.run(4)
    other = next(name for name in fleet.words if name != hub)
    assert fleet.heard_by(other) == set(fleet.words) - {hub, other}


def test_hub_has_one_of_the_wide_links():
    fleet = Fleet(40)
    for number, name in enumerate(fleet.records):
        mbps = 100 if number in {6, 7, 20, 21} else 5
        record = msgspec.structs.replace(fleet.records[name], link_mbps=mbps)
        fleet.records[name] = record
    for name in fleet.records:
        fleet.add(name)
    fleet.run(4)
    hubs = {words._hub(fleet.now) for words in fleet.words.values()}
    assert len(hubs) == 2
    assert hubs <= {'n6', 'n7', 'n20', 'n21'}


def test_hub_that_comes_back_is_the_only_one_again():
    fleet = Fleet(40)
    fleet.run(4)
    hub = fleet.words['n0']._hub(fleet.now)
    fleet.cut.add(hub)
    fleet.run(3)
    fleet.cut.clear()
    fleet.run(4)
    near = [
        n
        for n in fleet.words
        if fleet.records[n].zone == fleet.records[hub].zone
    ]
    assert {fleet.words[name]._hub(fleet.now) for name in near} == {hub}


def test_member_that_starts_anew_lowers_no_sum():
    fleet = Fleet(40)
    fleet.admitted['n3'] = 50.0
    fleet.run(4)
    before = dict(fleet.charged['n4'])
    fleet.add('n3', boot='b2')
    fleet.run(4)
    after = fleet.charged['n4']
    assert all(after.get(each, 0) >= before[each] for each in before)


@pytest.mark.parametrize('members', [6, 40])
def test_member_that_asks_gets_the_consent_of_all(members):
    fleet = Fleet(members)
    fleet.words['n1'].sources.asks_consent = lambda now: True
    fleet.run(4)
    givers = {giver for giver, asker, _ in fleet.consents if asker == 'n1'}
    assert givers == set(fleet.words) - {'n1'}


def test_consent_is_refused_while_a_worker_is_being_taken():
    fleet = Fleet(4)
    fleet.words['n1'].sources.asks_consent = lambda now: True
    fleet.words['n2'].sources.may_consent = lambda member: member != 'n1'
    fleet.run(2)
    assert 'n2' not in {giver for giver, _, _ in fleet.consents}


def test_uses_that_a_holder_did_not_grant_are_told_to_it():
    fleet = Fleet(4)
    fleet.words['n1'].sources.in_use = lambda: (('n2', 'w', 'a1'),)
    fleet.run(STEP)
    ((receiver, report),) = fleet.uses
    assert receiver == 'n2'
    assert report.in_use == (('w', 'a1'),)
