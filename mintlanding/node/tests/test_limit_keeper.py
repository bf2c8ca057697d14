"""Test which share of a brittle target an instance uses."""

import random
from types import SimpleNamespace

import pytest

from mintlanding.node.limit_keeper import LimitKeeper
from mintlanding.target_limits.messages import LimitReport
from mintlanding.traffic.header_fields import TargetResponse
from mintlanding.traffic.models import Target
from mintlanding.traffic.reach import FleetReach, MemberContact

TARGET = Target('p1', 'orders', ('127.0.0.1', 1), 'z1', 4, incarnation=7)
AGAIN = Target('p1', 'orders', ('127.0.0.1', 1), 'z1', 4, incarnation=8)
OTHER = Target('p2', 'orders', ('127.0.0.1', 2), 'z1', 4, incarnation=7)


@pytest.fixture
def keeper():
    view = SimpleNamespace(
        targets={'p1': TARGET, 'p2': OTHER},
        members={name: None for name in ('n0', 'n1', 'n2', 'n3')},
        ownership={},
    )
    membership = SimpleNamespace(
        instance='n0',
        is_reachable=lambda member, now: True,
    )
    found = LimitKeeper(None, view, membership, random.Random(1))
    found.merge_brittle([LimitReport('p1', 7, 8.0)], now=0)
    return found


def response(brittle):
    return TargetResponse(
        status=200,
        matches_request=True,
        is_signed=True,
        is_not_run=False,
        is_misdirected=False,
        brittle=brittle,
    )


def test_silent_members_keep_their_share(keeper):
    assert keeper.holder_share(TARGET.key).refusals == 4
    keeper._membership.is_reachable = lambda member, now: member == 'n1'
    share = keeper.holder_share(TARGET.key)
    assert (share.refusals, share.part) == (2, 0.5)


def test_members_that_ended_silently_keep_their_share(keeper):
    reach = FleetReach()
    contacts = {each: MemberContact(0.1) for each in ('n1', 'n2', 'n3')}
    reach.update(contacts, 0.25, 0)
    keeper.departed = reach.departed
    for name in ('n2', 'n3'):
        contacts.pop(name)
        keeper._view.members.pop(name)
    reach.update(contacts, 0.25, 1)
    share = keeper.holder_share(TARGET.key)
    assert (share.refusals, share.part) == (2, 0.5)


def test_new_run_is_brittle_like_its_service_until_it_responds(keeper):
    assert keeper.is_brittle(OTHER)
    keeper.record_response(OTHER, response(None), 1)
    assert not keeper.is_brittle(OTHER)
    assert keeper.is_brittle(TARGET)


def test_target_is_brittle_until_a_response_does_not_say_so(keeper):
    keeper.record_response(TARGET, response(None), -1)
    assert keeper.is_brittle(TARGET)
    keeper.record_response(TARGET, response(None), float('inf'))
    assert not keeper.is_brittle(TARGET)


def test_knowledge_belongs_to_one_run(keeper):
    keeper._view.targets = {'p1': AGAIN}
    keeper.update()
    assert not keeper.count_brittle()
