"""Fencing tokens of one worker while builds with two rules hold it.

The former rule: the token is the revision of the ownership record, or its
`fence` if that is greater; a holder that writes its record again changes it.
"""

import random

import msgspec
import pytest

from mintlanding.coordination.transactional_store import Transaction, Write
from mintlanding.node import ownership as ownership_module
from mintlanding.node.ownership import WorkerOwnership
from mintlanding.node.tests.test_era_machine import (
    EraConnection,
    ReturningStore,
)
from mintlanding.node.tests.test_release_machine import run
from mintlanding.node.view import OWNERSHIP_PREFIX, FleetView
from mintlanding.platform import records
from mintlanding.residency.authority import AuthorityOptions, WorkerClaim

OPTIONS = AuthorityOptions()
WORKER = 'w'
KEY = OWNERSHIP_PREFIX + WORKER
CLAIMED = {'holder': 'a', 'previous': 'b'}
SETTLED = {**CLAIMED, 'is_settled': True}


class Fleet:
    """A store, and instances of the present build."""

    def __init__(self):
        self.now = 100.0
        self.store = ReturningStore(self)
        self.store.revision = 10
        self.store.keep_copy()

    @property
    def item(self):
        return self.store.items[KEY]

    @property
    def former_token(self):
        """Return the token by which a former build would send orders now."""
        content = msgspec.json.decode(self.item.content)
        return max(self.item.revision, content.get('fence', 0))

    def write(self, content):
        """Write the record as a former build does."""
        write = Write(KEY, msgspec.json.encode(content))
        self.store.commit(Transaction({}, (write,)))
        return self.former_token

    def write_others(self, count=5):
        for _ in range(count):
            write = Write('other', b'')
            self.store.commit(Transaction({}, (write,)))

    def start(self, name):
        return Instance(self, name)


class Instance:
    """A process of the present build."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.view = FleetView(records)
        self.connection = EraConnection(fleet.store)
        self.ownership = WorkerOwnership(
            name, self.connection, self.view, OPTIONS
        )
        self.load()

    @property
    def token(self):
        return self.ownership.fencing_token(WORKER)

    @property
    def revision(self):
        return self.view.ownership[WORKER].revision

    def load(self):
        self.view.load(self.connection.listing(), self.fleet.now)

    def follow_return(self):
        """Learn of another era, as the membership does."""
        self.ownership.begin_era(self.fleet.now)
        self.load()

    def claim(self, previous=''):
        known = self.view.ownership.get(WORKER)
        revision = 0 if known is None else known.revision
        wait = OPTIONS.takeover_delay
        run(self.ownership.claim(WorkerClaim(WORKER, revision, previous, wait)))
        return self.token

    def may_order(self):
        """Tell whether orders may be sent once the waits are over."""
        self.fleet.now += OPTIONS.takeover_delay + OPTIONS.era_delay
        ownership = self.ownership
        ownership.era_hold.release(self.fleet.now)
        ownership.authority.record_renewal(self.fleet.now)
        ownership.may_order(WORKER, self.fleet.now)
        self.fleet.now += OPTIONS.handover_delay
        ownership.authority.record_renewal(self.fleet.now)
        return ownership.may_order(WORKER, self.fleet.now)

    def settle(self):
        assert self.may_order()
        run(self.ownership.settle(WORKER, self.fleet.now))
        self.load()

    def release(self):
        assert run(self.ownership.release(WORKER, 0))
        self.load()


@pytest.fixture
def fleet(monkeypatch):
    found = Fleet()
    monkeypatch.setattr(ownership_module, 'boot_seconds', lambda: found.now)
    return found


def test_former_build_reads_no_token_below_that_of_the_present_one(fleet):
    first = fleet.start('a')
    token = first.claim()
    assert fleet.former_token == token
    fleet.write_others()
    first.settle()
    assert first.token == token <= fleet.former_token
    first.release()
    assert first.token > token
    assert fleet.former_token >= first.token


def test_former_build_reads_no_lower_token_after_a_return_from_a_copy(fleet):
    first = fleet.start('a')
    fleet.write_others(20)
    token = first.claim()
    assert first.may_order()
    fleet.store.restore(0)
    first.follow_return()
    run(first.ownership.rewrite())
    assert first.token == token <= fleet.former_token
    # The revisions are still below the token.
    assert first.revision < token
    first.settle()
    assert first.token == token <= fleet.former_token
    first.release()
    assert fleet.former_token >= first.token > token
    second = fleet.start('b')
    released = first.token
    assert second.claim() > released
    assert fleet.former_token >= second.token


@pytest.mark.parametrize('fence', [{}, {'fence': 3}, {'fence': 90}])
@pytest.mark.parametrize('content', [CLAIMED, SETTLED])
def test_record_of_a_former_build_gives_the_token_that_it_used(
    fleet, content, fence
):
    token = fleet.write({**content, **fence})
    assert fleet.start('a').token == token
    # A holder that is released by a present build has a later token.
    second = fleet.start('a')
    second.release()
    assert second.token > token


@pytest.mark.parametrize('content', [CLAIMED, SETTLED])
def test_upgraded_holder_keeps_the_token_of_the_former_build(fleet, content):
    fleet.write(CLAIMED)
    token = fleet.write(content)
    upgraded = fleet.start('a')
    upgraded.settle()
    fleet.write_others()
    assert upgraded.token == token
    assert fleet.start('a').token == token


def test_upgraded_holder_keeps_its_token_after_a_return_from_a_copy(fleet):
    fleet.write_others(20)
    token = fleet.write(SETTLED)
    upgraded = fleet.start('a')
    fleet.store.restore(0)
    upgraded.load()
    run(upgraded.ownership.rewrite())
    assert upgraded.token == token == fleet.former_token
    assert fleet.start('a').token == token


@pytest.mark.parametrize('is_settled', [True, False])
def test_holder_that_was_rolled_back_has_no_lower_token(fleet, is_settled):
    first = fleet.start('a')
    token = first.claim(previous='b')
    if is_settled:
        first.settle()
    assert fleet.former_token >= token
    fleet.write_others()
    rolled_back = fleet.former_token
    if not is_settled:
        rolled_back = fleet.write(SETTLED)
    assert rolled_back >= token
    next_holder = fleet.start('c')
    assert next_holder.claim(previous='a') > rolled_back


def test_second_upgrade_after_a_roll_back_has_no_lower_token(fleet):
    # Guards against: the record names a token below that of a former build.
    first = fleet.start('a')
    first.claim(previous='b')
    fleet.write_others()
    first.settle()
    rolled_back = fleet.former_token
    assert fleet.start('a').token >= rolled_back


@pytest.mark.parametrize('seed', range(20))
def test_turns_of_both_builds_have_rising_tokens(fleet, seed):
    rnd = random.Random(seed)
    highest = 0
    for _ in range(12):
        fleet.write_others(rnd.randint(0, 3))
        token = _take_turn(fleet, rnd)
        assert min(token) > highest
        assert token == sorted(token)
        highest = token[-1]


def _take_turn(fleet, rnd):
    """Return the tokens of a turn that one of the builds has begun."""
    name = rnd.choice('ab')
    if rnd.random() < 0.5:
        tokens = [fleet.write({'holder': name, 'previous': 'c'})]
        if rnd.random() < 0.5:
            tokens.append(fleet.write({'holder': name, 'is_settled': True}))
    else:
        tokens = [fleet.start(name).claim()]
    if rnd.random() < 0.5:
        upgraded = fleet.start(name)
        upgraded.settle()
        tokens.append(upgraded.token)
    if rnd.random() < 0.5:
        tokens.append(fleet.former_token)
    return tokens
