"""The store returns from older copies while members hold workers.

As the machine of releases, with returns, members that lose the store alone and
consents between members. No two holders order too close to each other, and
fencing tokens never fall, neither as they are sent nor as they arrive.
"""

from types import SimpleNamespace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from mintlanding.coordination.transactional_store import StoreBusy
from mintlanding.core.exceptions import PlatformError, PlatformUnavailable
from mintlanding.links.messages import Status
from mintlanding.node.tests.test_release_machine import (
    NAMES,
    OPTIONS,
    Connection,
    ReleaseMachine,
    Store,
    names,
    run,
)
from mintlanding.residency.era_hold import EraHold

# Seconds for which the store keeps copies of itself.
COPIES_SECONDS = 8
# Seconds after a return until orders go on: a worker without a record waits
# for a zone that may have lost the store.
RECOVERY_SECONDS = 30


class ReturningStore(Store):
    """Keeps copies, and returns from one in a new era."""

    def __init__(self, clock):
        super().__init__(clock)
        self.era = 1
        self.copies = []

    def keep_copy(self):
        now = self.clock.now
        leases = {key: until - now for key, until in self.leases.items()}
        self.copies.append((now, self.revision, dict(self.items), leases))
        self.copies = [
            each for each in self.copies if each[0] >= now - COPIES_SECONDS
        ]

    def restore(self, seconds):
        now = self.clock.now
        wanted = [each for each in self.copies if each[0] <= now - seconds]
        _, self.revision, items, leases = (wanted or self.copies)[-1]
        self.items = dict(items)
        self.leases = {key: now + left for key, left in leases.items()}
        self.era += 1
        self.late.clear()
        self.copies.clear()
        self.keep_copy()


class EraConnection(Connection):
    """Learns the era of each call, as the client of the store does."""

    def __init__(self, store):
        super().__init__(store)
        self.is_cut = False

    def call(self):
        """Make a call; raise PlatformUnavailable if the era has changed."""
        if self.is_cut:
            raise PlatformUnavailable('no store')
        before, now = self.era.number, self.store.clock.now
        self.era.record(self.store.era, now, now)
        if before not in {0, self.store.era}:
            raise PlatformUnavailable('the era has changed')

    async def commit(self, transaction):
        if transaction.era not in {0, self.era.number}:
            raise StoreBusy('another era')
        try:
            self.call()
        except PlatformUnavailable:
            # The write may have been committed all the same.
            if not self.is_cut:
                self.store.commit(transaction)
            raise
        return await super().commit(transaction)

    async def grant_lease(self, seconds):
        self.call()
        return await super().grant_lease(seconds)

    async def renew_lease(self, lease):
        self.call()
        return await super().renew_lease(lease)

    async def snapshot(self, prefix):
        return self.listing(prefix)

    def listing(self, prefix=''):
        if self.is_cut:
            raise PlatformUnavailable('no store')
        now = self.store.clock.now
        self.era.record(self.store.era, now, now)
        found = self.store.snapshot(prefix)
        return type(found)(found.items, found.revision, self.store.era)


class EraMachine(ReleaseMachine):
    """Orders of two members are a gap apart, whatever the store forgets."""

    store_class = ReturningStore

    def __init__(self):
        super().__init__()
        self.tokens = {}

    def connect(self):
        return EraConnection(self.store)

    def start(self, name):
        super().start(name)
        member = self.members[name]
        member.connection.era.listeners.append(member.membership.begin_era)

    def advance(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.store.keep_copy()
            super().advance(0.125)

    def act(self, member):
        if member.view.unwritten:
            self.attempt(member.membership._rewrite_ownership())
        super().act(member)

    def attempt(self, coroutine):
        try:
            run(coroutine)
        except (PlatformError, StoreBusy):
            pass

    def watch(self, member):
        if not member.connection.is_cut:
            member.view.load(member.connection.listing(), self.now)

    def exchange(self, member, other):
        membership = other.membership
        asks = membership._asks_consent(self.now)
        era, age = membership._store_era(self.now)
        status = Status(
            other.name, 'boot', self.now, asks, store_era=era, era_age=age
        )
        exchange = member.membership.status_exchange
        exchange.mesh = SimpleNamespace(
            send=lambda name, consent: (
                membership.ownership.authority.record_ack(
                    member.name, consent.status_sent_at
                )
            )
        )
        exchange.receive_status(status, self.now)
        exchange.mesh = None

    def record_order(self, name, worker):
        super().record_order(name, worker)
        ownership = self.members[name].membership.ownership
        token = ownership.fencing_token(worker)
        self.tokens.setdefault(worker, []).append((token, name))

    @rule(seconds=st.sampled_from([0.25, 1, 3, 6]))
    def return_from_a_copy(self, seconds):
        self.store.restore(seconds)

    @rule(name=names, is_cut=st.booleans())
    def cut_from_the_store(self, name, is_cut):
        self.members[name].connection.is_cut = is_cut

    @rule(seconds=st.sampled_from([0.5, 3]), name=names)
    def return_while_a_member_is_cut(self, seconds, name):
        self.members[name].connection.is_cut = True
        self.advance(0.5)
        self.store.restore(seconds)
        self.advance(3)

    @rule(seconds=st.sampled_from([0, 3, 6, 8]))
    def return_without_a_memory(self, seconds):
        """The store returns while no process runs; all start again."""
        self.members.clear()
        self.advance(OPTIONS.min_order_gap)
        self.store.restore(seconds)
        for name in NAMES:
            self.start(name)
        self.advance(1)

    @rule(names=st.lists(names, min_size=1, max_size=3, unique=True))
    def some_stop_for_a_return(self, names):
        """Processes that were stopped know the time before only."""
        stopped = {name: self.members.pop(name) for name in names}
        self.advance(6)
        self.store.restore(8)
        self.members |= stopped
        self.advance(1)

    @rule()
    def faults_of_the_store_end(self):
        for member in self.members.values():
            member.connection.is_cut = False
        self.advance(RECOVERY_SECONDS)
        super().faults_of_the_store_end()

    @invariant()
    def tokens_never_fall(self):
        for worker, used in self.tokens.items():
            for before, after in zip(used, used[1:], strict=False):
                assert after[0] >= before[0], (worker, before, after)
                if after[0] == before[0]:
                    assert after[1] == before[1], (worker, before, after)


TestEraMachine = EraMachine.TestCase
# Each example plays minutes of the fleet.
TestEraMachine.settings = settings(
    max_examples=settings.default.max_examples // 4, stateful_step_count=20
)


class Fleet(EraMachine):
    """The same fleet, driven by the tests below."""

    partitioned = ''

    def exchange(self, member, other):
        """Let no status or consent reach the partitioned member, or leave."""
        if self.partitioned not in {member.name, other.name}:
            super().exchange(member, other)

    def keep_only(self, copy):
        """Let the store return from one copy, whenever it does."""
        self.store.copies = [copy]
        self.store.keep_copy = lambda: None


@pytest.fixture
def fleet():
    found = Fleet()
    found.begin(1)
    yield found
    found.teardown()


def test_lost_record_is_written_again_with_a_higher_token(fleet):
    # Guards against: a holder's tokens fall after a return.
    (holder,) = fleet.served('w1')
    before = fleet.tokens['w1'][-1][0]
    fleet.store.copies = fleet.store.copies[:1]
    fleet.store.restore(0)
    fleet.advance(OPTIONS.era_delay + OPTIONS.takeover_delay + 2)
    assert fleet.served('w1') == [holder]
    fleet.tokens_never_fall()
    assert fleet.tokens['w1'][-1][0] >= before


def test_token_rises_where_nobody_remembers_the_lost_record(fleet):
    # Guards against: the token of a claim is a revision that has gone back.
    fleet.store.revision += 1000
    fleet.reach[fleet.holder('w1').name, 'w1'] = False
    empty = (fleet.now, 1, {}, {})
    fleet.advance(RECOVERY_SECONDS)
    turns = len(fleet.tokens['w1'])
    fleet.keep_only(empty)
    fleet.return_without_a_memory(0)
    fleet.advance(RECOVERY_SECONDS)
    assert len(fleet.tokens['w1']) > turns
    fleet.tokens_never_fall()


def test_holder_without_a_memory_begins_a_new_turn_in_a_later_era(fleet):
    # Guards against: it goes on under a token that lost ones were above.
    (first,) = fleet.served('w1')
    copy = fleet.store.copies[-1]
    fleet.reach[first, 'w1'] = False
    fleet.advance(RECOVERY_SECONDS)
    assert fleet.served('w1') != [first]
    fleet.reach[first, 'w1'] = True
    fleet.keep_only(copy)
    fleet.return_without_a_memory(0)
    fleet.advance(RECOVERY_SECONDS)
    assert fleet.served('w1') == [first]
    fleet.tokens_never_fall()


def test_holder_that_lost_its_authority_begins_a_new_turn_in_a_later_era(
    fleet,
):
    # Others may have followed, of whom nobody knows any more.
    (first,) = fleet.served('w1')
    copy = fleet.store.copies[-1]
    stopped = fleet.members.pop(first)
    fleet.advance(RECOVERY_SECONDS)
    assert fleet.served('w1') not in ([], [first])
    fleet.members.clear()
    fleet.advance(OPTIONS.min_order_gap)
    fleet.keep_only(copy)
    fleet.store.restore(0)
    fleet.members[first] = stopped
    fleet.advance(RECOVERY_SECONDS)
    assert fleet.served('w1') == [first]
    fleet.tokens_never_fall()


def test_holder_without_a_memory_waits_for_one_that_its_zone_holds(fleet):
    # Guards against: a zone that is cut off may order for `zone_hold`.
    (first,) = fleet.served('w1')
    copy = fleet.store.copies[-1]
    fleet.reach.update({('a', 'w1'): False, ('b', 'w1'): False})
    fleet.advance(RECOVERY_SECONDS)
    assert first != 'c'
    assert fleet.served('w1') == ['c']
    fleet.reach.update({('a', 'w1'): True, ('b', 'w1'): True})
    fleet.partitioned = 'c'
    fleet.members['c'].connection.is_cut = True
    fleet.keep_only(copy)
    fleet.store.restore(0)
    for name in ('a', 'b'):
        fleet.start(name)
    fleet.advance(RECOVERY_SECONDS)
    assert fleet.served('w1') == [first]
    fleet.orders_of_two_members_are_a_gap_apart()
    fleet.tokens_never_fall()


@pytest.fixture
def former(fleet):
    """The store names the former holder, as the present one has restarted."""
    found = fleet.holder('w1')
    fleet.reach[found.name, 'w1'] = False
    fleet.advance(6.5)
    fleet.reach[found.name, 'w1'] = True
    present = fleet.holder('w1')
    assert fleet.tokens['w1'][-1][1] == present.name != found.name
    fleet.store.restore(6)
    fleet.start(present.name)
    fleet.advance(RECOVERY_SECONDS)
    return found


def test_worker_is_served_when_its_holder_forgets_with_the_store(fleet, former):
    # Guards against: each of two members takes the other one for the holder.
    assert fleet.served('w1')


def test_tokens_stay_above_one_that_holder_and_store_forget(fleet, former):
    # Guards against: the former holder, restarted, orders under its old token.
    fleet.start(former.name)
    fleet.advance(RECOVERY_SECONDS)
    assert fleet.served('w1')
    fleet.tokens_never_fall()


def test_new_process_waits_at_a_worker_whose_record_was_lost():
    # Guards against: it takes the worker for one that never had a holder.
    hold = EraHold(OPTIONS)
    assert hold.unrecorded_wait(100) == 0
    hold.learn(2, 100)
    assert hold.orders_from == 98 + OPTIONS.era_delay
    assert hold.unrecorded_wait(100) > OPTIONS.min_order_gap
    hold.learn(1, 101)
    assert hold.orders_from == 98 + OPTIONS.era_delay


def test_orders_wait_for_a_renewal_in_the_new_era():
    hold = EraHold(OPTIONS)
    hold.begin(100)
    hold.release(99.9)
    assert hold.orders_from == float('inf')
    hold.release(101)
    assert hold.orders_from == 100 + OPTIONS.era_delay
    hold.release(150)
    assert hold.orders_from == 100 + OPTIONS.era_delay
