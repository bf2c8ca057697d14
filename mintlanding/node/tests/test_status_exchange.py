"""Statuses between members, directly and through hubs, without a network."""

import msgspec
import pytest

from mintlanding.links.messages import Consent, Status, UseReport, ZoneStatus
from mintlanding.node.settings import FleetOptions
from mintlanding.node.status_exchange import StatusExchange
from mintlanding.node.view import MemberRecord
from mintlanding.quarantine.messages import EngineCrash, SuspectPart
from mintlanding.residency.messages import WorkerDigest

OPTIONS = FleetOptions()
# Time in which members must know what others have learned.
CONTACT_SECONDS = 3
INTERVAL = OPTIONS.status_interval


class FakeMesh:
    """Delivers the messages of one member at once and counts them."""

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
        for member in self.fleet.exchanges:
            if member != self.me:
                self.send(member, message)


class Fleet:
    """Members in zones that exchange statuses in memory."""

    def __init__(self, members, zones=2):
        self.now = 100.0
        self.messages = 0
        self.cut = set()
        self.consents = []
        self.uses = []
        self.charged = {}
        self.exchanges = {}
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

    def add(self, name, incarnation='b'):
        record = self.records[name]
        exchange = StatusExchange(
            name, incarnation, record.zone, OPTIONS, record.link_mbps
        )
        exchange.mesh = FakeMesh(self, name)
        self.admitted[name] = 0.0
        self.charged[name] = {}
        exchange.sources.admitted = lambda: {'w': self.admitted[name]}
        exchange.sources.digests = lambda: (WorkerDigest(f'w-{name}', 1, True),)
        exchange.listeners.on_admitted = lambda source, counters, now: (
            self.charge(name, source, counters)
        )
        others = {k: v for k, v in self.records.items() if k != name}
        exchange.set_members(others)
        self.exchanges[name] = exchange

    def charge(self, name, source, counters):
        self.charged[name][source] = counters['w']

    def reaches(self, sender, receiver):
        known = receiver in self.exchanges
        return known and not {sender, receiver} & self.cut

    def deliver(self, sender, receiver, message):
        exchange = self.exchanges[receiver]
        if isinstance(message, Status):
            exchange.receive_status(message, self.now)
        elif isinstance(message, ZoneStatus):
            exchange.receive_zone_status(message, self.now)
        elif isinstance(message, Consent):
            self.consents.append((sender, receiver, message.status_sent_at))
        elif isinstance(message, UseReport):
            self.uses.append((receiver, message))

    def run(self, seconds):
        for _ in range(int(seconds / INTERVAL)):
            self.now += INTERVAL
            self.messages = 0
            for name, exchange in self.exchanges.items():
                if name not in self.cut:
                    exchange.send_status(self.now)

    def reachable_from(self, name):
        exchange = self.exchanges[name]
        return {
            each
            for each in self.exchanges
            if exchange.is_reachable(each, self.now)
        }


@pytest.mark.parametrize('members', [6, 40])
def test_contact_of_one_member_with_the_store_is_known_to_all(members):
    fleet = Fleet(members)
    known = {}
    for name, exchange in fleet.exchanges.items():
        exchange.listeners.on_store_contact = lambda seconds, now, name=name: (
            known.update({name: max(seconds, known.get(name, 0))})
        )
    fleet.exchanges['n1'].sources.store_contact = lambda now: 7
    fleet.run(4)
    assert {known.get(name) for name in fleet.exchanges if name != 'n1'} == {7}


@pytest.mark.parametrize('members', [6, 40])
def test_suspect_part_of_one_member_is_known_to_all_in_time(members):
    fleet = Fleet(members)
    fleet.run(4)
    crash = EngineCrash('e1/1', 0.1)
    suspect = SuspectPart('bad', 1, (crash,), is_quarantined=True)
    fleet.exchanges['n1'].sources.suspects = lambda now: (suspect,)
    known = set()
    for name, exchange in fleet.exchanges.items():
        exchange.listeners.on_suspects = lambda found, now, name=name: (
            known.update(name for each in found if each.is_quarantined)
        )
    fleet.run(CONTACT_SECONDS)
    assert known >= set(fleet.exchanges) - {'n1'}


@pytest.mark.parametrize('members', [6, 40])
def test_every_member_is_reachable_for_every_other(members):
    fleet = Fleet(members)
    fleet.run(4)
    for name in fleet.exchanges:
        assert fleet.reachable_from(name) == set(fleet.exchanges) - {name}


@pytest.mark.parametrize('members', [6, 40])
def test_zone_without_reachable_members_is_detected(members):
    fleet = Fleet(members)
    fleet.run(4)
    assert not fleet.exchanges['n0'].unreachable_zones(fleet.now)
    fleet.cut = {
        name for name, each in fleet.records.items() if each.zone == 'z1'
    }
    fleet.run(1.5)
    assert fleet.exchanges['n0'].unreachable_zones(fleet.now) == {'z1'}
    # An instance that is cut off itself reports no other zones.
    assert not fleet.exchanges['n1'].unreachable_zones(fleet.now)


def test_messages_of_a_large_fleet_grow_linearly():
    fleet = Fleet(60, zones=3)
    fleet.run(4)
    assert fleet.messages < 60 * 5


@pytest.mark.parametrize('members', [6, 40])
def test_counters_of_others_reach_each_member_once(members):
    fleet = Fleet(members)
    for step in range(20):
        for name in fleet.admitted:
            fleet.admitted[name] += 1
        fleet.run(INTERVAL)
    fleet.run(2)
    for name in fleet.exchanges:
        assert sum(fleet.charged[name].values()) == 20 * (members - 1)


@pytest.mark.parametrize('members', [6, 40])
def test_member_gets_a_status_as_soon_as_it_is_linked(members):
    # After a kill of all processes, requests arrive before the first round of
    # statuses.
    fleet = Fleet(members)
    fleet.exchanges['n0'].send_status_to('n1', fleet.now)
    assert fleet.exchanges['n1'].is_reachable('n0', fleet.now)


def test_unreachable_hub_is_replaced():
    fleet = Fleet(40)
    fleet.run(4)
    hub = fleet.exchanges['n0']._hub(fleet.now)
    fleet.cut.add(hub)
    fleet.run(4)
    other = next(name for name in fleet.exchanges if name != hub)
    assert fleet.reachable_from(other) == set(fleet.exchanges) - {
        hub,
        other,
    }


def test_hub_has_one_of_the_widest_links():
    fleet = Fleet(40)
    for number, name in enumerate(fleet.records):
        mbps = 100 if number in {6, 7, 20, 21} else 5
        record = msgspec.structs.replace(fleet.records[name], link_mbps=mbps)
        fleet.records[name] = record
    for name in fleet.records:
        fleet.add(name)
    fleet.run(4)
    hubs = {exchange._hub(fleet.now) for exchange in fleet.exchanges.values()}
    assert len(hubs) == 2
    assert hubs <= {'n6', 'n7', 'n20', 'n21'}


def test_returning_hub_becomes_the_only_one():
    fleet = Fleet(40)
    fleet.run(4)
    hub = fleet.exchanges['n0']._hub(fleet.now)
    fleet.cut.add(hub)
    fleet.run(3)
    fleet.cut.clear()
    fleet.run(4)
    near = [
        n
        for n in fleet.exchanges
        if fleet.records[n].zone == fleet.records[hub].zone
    ]
    assert {fleet.exchanges[name]._hub(fleet.now) for name in near} == {hub}


def test_restarted_member_lowers_no_sum():
    fleet = Fleet(40)
    fleet.admitted['n3'] = 50.0
    fleet.run(4)
    before = dict(fleet.charged['n4'])
    fleet.add('n3', incarnation='b2')
    fleet.run(4)
    after = fleet.charged['n4']
    assert all(after.get(each, 0) >= before[each] for each in before)


@pytest.mark.parametrize('members', [6, 40])
def test_member_that_was_silent_is_counted_once(members):
    fleet = Fleet(members)
    fleet.admitted = dict.fromkeys(fleet.admitted, 10.0)
    fleet.run(4)
    before = {name: dict(each) for name, each in fleet.charged.items()}
    hubs = {exchange._hub(fleet.now) for exchange in fleet.exchanges.values()}
    silent = next(name for name in fleet.exchanges if name not in hubs)
    fleet.cut.add(silent)
    fleet.run(3)
    fleet.cut.clear()
    fleet.run(4)
    # The silent member was its own hub meanwhile; that source is new.
    for name, sums in before.items():
        assert {each: fleet.charged[name][each] for each in sums} == sums


@pytest.mark.parametrize('members', [6, 40])
def test_member_asking_for_consent_gets_it_from_all(members):
    fleet = Fleet(members)
    fleet.exchanges['n1'].sources.asks_consent = lambda now: True
    fleet.run(4)
    givers = {giver for giver, asker, _ in fleet.consents if asker == 'n1'}
    assert givers == set(fleet.exchanges) - {'n1'}


def test_consent_is_refused_while_a_worker_is_claimed():
    fleet = Fleet(4)
    fleet.exchanges['n1'].sources.asks_consent = lambda now: True
    fleet.exchanges['n2'].sources.may_consent = lambda member: member != 'n1'
    fleet.run(2)
    assert 'n2' not in {giver for giver, _, _ in fleet.consents}


def test_uses_without_a_grant_are_reported_to_the_holder():
    fleet = Fleet(4)
    fleet.exchanges['n1'].sources.in_use = lambda: (('n2', 'w', 'a1'),)
    fleet.run(INTERVAL)
    ((receiver, report),) = fleet.uses
    assert receiver == 'n2'
    assert report.in_use == (('w', 'a1'),)


def late_status(fleet, name, sent_at, incarnation, admitted=0.0):
    """Return a status that is under way, maybe of a former process."""
    return Status(name, incarnation, sent_at, admitted={'w': admitted})


def test_status_of_a_former_process_that_arrives_late_changes_nothing():
    # Guards against: the zone's counters take each process for an ended one.
    fleet = Fleet(40)
    fleet.run(4)
    hub = fleet.exchanges['n2']._hub(fleet.now)
    member = next(
        name
        for name, each in fleet.records.items()
        if name != hub and each.zone == fleet.records[hub].zone
    )
    fleet.admitted[member] = 1000.0
    fleet.run(0.5)
    late = late_status(fleet, member, fleet.now, 'b', 1000.0)
    fleet.exchanges.pop(member)
    fleet.run(2)
    fleet.add(member, 'b2')
    fleet.admitted[member] = 10.0
    fleet.run(0.5)
    counters = fleet.exchanges[hub]._zone_counters
    assert counters.total() == {'w': 1010.0}
    fleet.exchanges[hub].receive_status(late, fleet.now)
    assert fleet.exchanges[hub].incarnation_of(member) == 'b2'
    fleet.run(0.5)
    assert counters.total() == {'w': 1010.0}


def test_counters_of_an_older_status_are_not_taken():
    # Members change the link on which they send.
    fleet = Fleet(40)
    fleet.run(4)
    hub = fleet.exchanges['n2']._hub(fleet.now)
    member = next(
        name
        for name, each in fleet.records.items()
        if name != hub and each.zone == fleet.records[hub].zone
    )
    late = late_status(fleet, member, fleet.now - 0.1, 'b')
    fleet.admitted[member] = 50.0
    fleet.run(0.5)
    exchange = fleet.exchanges[hub]
    exchange.receive_status(late, fleet.now)
    assert exchange._zone_status(fleet.now).admitted == {'w': 50.0}


def test_process_on_a_machine_that_was_booted_later_is_recognised():
    fleet = Fleet(6)
    fleet.run(4)
    exchange = fleet.exchanges['n0']
    fleet.exchanges.pop('n1')
    for _ in range(8):
        fleet.run(INTERVAL)
        status = Status('n1', 'b2', fleet.now - 90)
        exchange.receive_status(status, fleet.now)
    assert exchange.incarnation_of('n1') == 'b2'
    assert exchange.is_reachable('n1', fleet.now)


def test_late_status_of_a_process_on_a_machine_booted_earlier_changes_nothing():
    # Guards against: its clock is ahead, so that it counts as the later one.
    fleet = Fleet(6)
    fleet.run(4)
    exchange = fleet.exchanges['n0']
    late = late_status(fleet, 'n1', fleet.now + 90, 'b')
    fleet.exchanges.pop('n1')
    fleet.run(2)
    exchange.receive_status(Status('n1', 'b2', 3.0), fleet.now)
    exchange.receive_status(late, fleet.now + 0.1)
    exchange.receive_status(Status('n1', 'b2', 3.2), fleet.now + 0.2)
    assert exchange.incarnation_of('n1') == 'b2'


def test_zone_status_of_a_hub_whose_machine_was_booted_later_counts():
    # Guards against: its zone counts as lost until its clock has caught up.
    fleet = Fleet(40)
    fleet.run(4)
    exchange = fleet.exchanges['n0']
    known = exchange._zones['z1']
    (first, *_) = known.members
    restarted = msgspec.structs.replace(
        known,
        hub_incarnation=f'{known.hub}/b2',
        sent_at=3.0,
        members=(msgspec.structs.replace(first, sent_at=fleet.now + 1),),
    )
    exchange.receive_zone_status(restarted, fleet.now + 1)
    assert exchange._zones['z1'] is restarted
    assert exchange.is_reachable(first.instance, fleet.now + 1.1)
