"""Members that lose paths, processes and responses never order too close.

A model of the store and of the paths drives the real membership and ownership
of three members. It knows which orders were sent when, and by whom. Fencing
tokens are compared as orders arrive: one without an answer arrives late, also
after its process has ended or its holder has lost the worker.
"""

import random
from dataclasses import dataclass
from types import SimpleNamespace
from unittest import mock

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from mintlanding.coordination.store_era import StoreEra
from mintlanding.coordination.transactional_store import (
    Committed,
    Item,
    Rejected,
    Snapshot,
)
from mintlanding.core.exceptions import PlatformUnavailable
from mintlanding.links.messages import Status
from mintlanding.node import membership as membership_module
from mintlanding.node import ownership as ownership_module
from mintlanding.node.membership import Membership
from mintlanding.node.settings import InstanceFacts, NodeSettings
from mintlanding.node.view import FleetView
from mintlanding.platform import records
from mintlanding.residency.authority import AuthorityOptions

NAMES = ('a', 'b', 'c')
ZONES = {'a': 'z1', 'b': 'z1', 'c': 'z2'}
WORKERS = ('w1', 'w2')
STEP = 0.125
# Share of the orders that are answered.
ANSWERED_SHARE = 0.9
# Seconds for which a write without a response may still be committed.
LATE_SECONDS = 10
# Seconds after the last fault until every worker that somebody reaches has a
# holder that may send it orders: a member that lost its paths lately does not
# claim for five seconds, and each of two others is waited for, before the wait
# after a hand-over.
RECOVERY_SECONDS = 16
OPTIONS = AuthorityOptions()
# Seconds after which an order without an answer has arrived: holders are that
# far apart, so that it arrives before the orders of the next one.
LATE_ORDER_SECONDS = OPTIONS.min_order_gap
# Share of the orders without an answer that arrive once more.
REPEATED_SHARE = 0.25

names = st.sampled_from(NAMES)
workers = st.sampled_from(WORKERS)


class Store:
    """Keys, revisions and leases; also writes that are committed later."""

    def __init__(self, clock):
        self.clock = clock
        self.revision = 1
        self.items = {}
        self.leases = {}
        self.late = []

    def commit(self, transaction):
        for key, revision in transaction.expected.items():
            held = self.items.get(key)
            if (held.revision if held else 0) != revision:
                return Rejected()
        for write in transaction.writes:
            if write.lease and write.lease not in self.leases:
                return Rejected(lease_ended=True)
        self.revision += 1
        for write in transaction.writes:
            self.items[write.key] = Item(
                write.key, write.content, self.revision, write.lease
            )
        return Committed(self.revision)

    def expire(self):
        for lease, until in tuple(self.leases.items()):
            if until > self.clock.now:
                continue
            self.leases.pop(lease)
            for key, item in tuple(self.items.items()):
                if item.lease == lease:
                    self.items.pop(key)
                    self.revision += 1

    def snapshot(self, prefix=''):
        found = [
            item for key, item in self.items.items() if key.startswith(prefix)
        ]
        return Snapshot(tuple(found), self.revision)


class Connection:
    """The store as one process sees it: responses may be lost."""

    def __init__(self, store):
        self.store = store
        self.era = StoreEra()
        self.fault = ''

    async def commit(self, transaction):
        if self.fault == 'late':
            sent = (self.store.clock.now, transaction)
            self.store.late.append(sent)
            raise PlatformUnavailable('no response')
        reply = self.store.commit(transaction)
        if self.fault == 'lost':
            raise PlatformUnavailable('no response')
        return reply

    async def grant_lease(self, seconds):
        lease = len(self.store.leases) + self.store.revision * 100
        self.store.leases[lease] = self.store.clock.now + seconds
        return lease

    async def renew_lease(self, lease):
        if lease not in self.store.leases:
            return False
        self.store.leases[lease] = self.store.clock.now + OPTIONS.lease
        return True

    async def snapshot(self, prefix):
        return self.store.snapshot(prefix)


@dataclass
class Member:
    """A process of a member, with its view and what it reaches."""

    name: str
    membership: Membership
    view: FleetView
    connection: Connection
    is_stale: bool = False
    # Without requests it sends no orders although it may.
    is_idle: bool = False
    renewed_at: float = float('-inf')
    claimed_at: float = float('-inf')


@dataclass(frozen=True, slots=True)
class Order:
    """An order as its worker gets it."""

    worker: str
    token: int
    holder: str


class Arrivals:
    """Orders on their way to workers, and the tokens that workers have got."""

    def __init__(self, clock, rnd):
        self.clock = clock
        self.rnd = rnd
        # Orders by the time at which they arrive.
        self.late = []
        # The order with the highest token, by worker.
        self.highest = {}
        self.holders = {}
        # Orders under lower tokens or another holder's, after which ones.
        self.faults = []

    def delay(self, order):
        """Let an order arrive within the bound, sometimes once more."""
        is_repeated = self.rnd.random() < REPEATED_SHARE
        for _ in range(1 + is_repeated):
            late = self.rnd.uniform(0, LATE_ORDER_SECONDS)
            self.late.append((self.clock.now + late, order))

    def deliver(self):
        """Let those orders arrive that are due."""
        self.late.sort(key=lambda each: each[0])
        while self.late and self.late[0][0] <= self.clock.now:
            self.receive(self.late.pop(0)[1])

    def receive(self, order):
        before = self.highest.setdefault(order.worker, order)
        if order.token < before.token:
            self.faults.append((before, order))
        elif order.token > before.token:
            self.highest[order.worker] = order
        key = (order.worker, order.token)
        first = self.holders.setdefault(key, order)
        if first.holder != order.holder:
            self.faults.append((first, order))


def run(coroutine):
    """Run a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError('the coroutine waits')


class ReleaseMachine(RuleBasedStateMachine):
    """Orders of two members are a gap apart, and workers find a holder."""

    store_class = Store

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.patches = [
            mock.patch.object(module, 'boot_seconds', lambda: self.now)
            for module in (membership_module, ownership_module)
        ]
        self.patches.append(
            mock.patch.object(FleetView, 'engines', lambda view: self.engines)
        )
        for patch in self.patches:
            patch.start()

    def teardown(self):
        for patch in self.patches:
            patch.stop()

    @initialize(seed=st.integers(0, 100))
    def begin(self, seed):
        self.rnd = random.Random(seed)
        self.engines = {
            name: SimpleNamespace(
                target=name, zone='z1', is_leaving=False, service='s', build='v'
            )
            for name in WORKERS
        }
        self.store = self.store_class(self)
        self.reach = {(name, each): True for name in NAMES for each in WORKERS}
        self.members = {}
        self.orders = []
        self.last_orders = {}
        self.arrivals = Arrivals(self, random.Random(seed))
        self.answered_shares = dict.fromkeys(WORKERS, ANSWERED_SHARE)
        for name in NAMES:
            self.start(name)
        self.advance(8)
        assert all(self.served(worker) for worker in WORKERS)

    def start(self, name):
        facts = InstanceFacts(
            name, ZONES[name], '10.0.0.1', ('h', 1), ('h', 2), 3, 4
        )
        view = FleetView(records)
        connection = self.connect()
        membership = Membership(
            NodeSettings(facts), connection, view, random.Random(1)
        )
        ownership = membership.ownership
        ownership.unreachable = lambda: self.not_reached(name)
        ownership.cut_targets = lambda: self.cut_from(name)
        membership.is_cut_off = lambda: self.cut_from(name) == set(WORKERS)
        self.members[name] = Member(name, membership, view, connection)

    def connect(self):
        return Connection(self.store)

    def not_reached(self, name):
        return frozenset(each for each in WORKERS if not self.reach[name, each])

    def cut_from(self, name):
        return frozenset(
            each
            for each in self.not_reached(name)
            if any(self.reach[other, each] for other in NAMES)
        )

    def served(self, worker):
        """Return the members that may order and reach a worker."""
        return [
            name
            for name, each in self.members.items()
            if self.reach[name, worker]
            and each.membership.ownership.may_order(worker, self.now)
        ]

    def advance(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += STEP
            self.store.expire()
            self.arrivals.deliver()
            order = list(self.members.values())
            self.rnd.shuffle(order)
            for member in order:
                self.act(member)

    def act(self, member):
        if not member.is_stale:
            self.watch(member)
        for other in self.members.values():
            if other is not member:
                self.exchange(member, other)
        if self.now >= member.renewed_at + 0.6:
            member.renewed_at = self.now
            self.attempt(member.membership._keep_lease())
        # Orders do not wait for the next round of claims.
        activities = [self.claim_workers, self.send_orders]
        self.rnd.shuffle(activities)
        for activity in activities:
            activity(member)

    def claim_workers(self, member):
        if self.now >= member.claimed_at + 0.25:
            member.claimed_at = self.now
            run(member.membership.claim_workers(self.now))

    def send_orders(self, member):
        # Old connections may live on while new ones fail.
        for worker in WORKERS:
            ownership = member.membership.ownership
            if ownership.may_order(worker, self.now) and not member.is_idle:
                self.record_order(member.name, worker)
                self.send_order(member.name, worker)

    def send_order(self, name, worker):
        """Let an order be answered, or arrive later."""
        ownership = self.members[name].membership.ownership
        order = Order(worker, ownership.fencing_token(worker), name)
        is_answered = self.rnd.random() < self.answered_shares[worker]
        ownership.record_order(worker, is_answered=is_answered)
        if is_answered:
            self.arrivals.receive(order)
        else:
            self.arrivals.delay(order)

    def watch(self, member):
        member.view.load(self.store.snapshot(), self.now)

    def exchange(self, member, other):
        """Let a member receive the status of another one."""
        status = Status(other.name, 'boot', self.now)
        member.membership.status_exchange.receive_status(status, self.now)

    def attempt(self, coroutine):
        try:
            run(coroutine)
        except PlatformUnavailable:
            pass

    def record_order(self, name, worker):
        last = self.last_orders.setdefault(worker, {})
        for other, at in last.items():
            if other != name:
                self.orders.append((worker, other, at, name, self.now))
        last[name] = self.now

    @rule(seconds=st.sampled_from([0.25, 0.75, 1.5, 3]))
    def let_time_pass(self, seconds):
        self.advance(seconds)

    @rule(name=names, worker=workers)
    def change_path(self, name, worker):
        self.reach[name, worker] = not self.reach[name, worker]

    @rule(name=names, is_reached=st.booleans())
    def change_all_paths(self, name, is_reached):
        for worker in WORKERS:
            self.reach[name, worker] = is_reached

    @rule(name=names, fault=st.sampled_from(['', 'lost', 'late']))
    def change_store(self, name, fault):
        self.members[name].connection.fault = fault

    @rule(name=names, is_stale=st.booleans())
    def change_watch(self, name, is_stale):
        self.members[name].is_stale = is_stale

    @rule(name=names, is_idle=st.booleans())
    def change_requests(self, name, is_idle):
        self.members[name].is_idle = is_idle

    @rule(name=names)
    def restart(self, name):
        self.start(name)

    @rule(name=names, seconds=st.sampled_from([1, 3, 8, 16]))
    def be_away(self, name, seconds):
        """Others take the workers over, if it is for long enough."""
        self.members.pop(name)
        self.advance(seconds)
        self.start(name)

    @rule(worker=workers, share=st.sampled_from([0, 0.5, ANSWERED_SHARE]))
    def change_answers(self, worker, share):
        self.answered_shares[worker] = share

    @rule(worker=workers)
    def first_orders_of_the_next_holder_are_late(self, worker):
        member = self.holder(worker)
        if member is None:
            return
        self.reach[member.name, worker] = False
        self.answered_shares[worker] = 0
        self.advance(8)
        self.answered_shares[worker] = ANSWERED_SHARE
        self.advance(LATE_ORDER_SECONDS)

    def holder(self, worker):
        """Return the member that takes itself for the holder of a worker."""
        for member in self.members.values():
            if worker in member.membership.ownership.held_workers():
                return member
        return None

    @rule(worker=workers, fault=st.sampled_from(['lost', 'late']))
    def response_to_a_release_is_lost(self, worker, fault):
        """The paths return, and the holder does not see what it has released."""
        member = self.holder(worker)
        if member is None:
            return
        member.connection.fault = fault
        member.is_stale = True
        self.reach[member.name, worker] = False
        self.advance(1.75)
        self.late_write_arrives(0)
        self.reach[member.name, worker] = True
        self.advance(5)

    @rule(worker=workers)
    def holder_restarts_before_its_release_is_committed(self, worker):
        member = self.holder(worker)
        if member is None:
            return
        member.connection.fault = 'late'
        self.reach[member.name, worker] = False
        self.advance(1.75)
        self.start(member.name)
        self.reach[member.name, worker] = True
        self.advance(1.5)
        self.members[member.name].is_stale = True
        self.late_write_arrives(0)
        self.advance(5)

    @rule(worker=workers)
    def new_holder_restarts_in_its_wait(self, worker):
        member = self.holder(worker)
        if member is None:
            return
        if not member.membership.ownership.may_order(worker, self.now):
            self.start(member.name)
            self.advance(4)

    @rule(position=st.integers(0, 5))
    def late_write_arrives(self, position):
        late = self.store.late
        late[:] = [each for each in late if self.now < each[0] + LATE_SECONDS]
        if late:
            self.store.commit(late.pop(position % len(late))[1])

    @rule()
    def faults_of_the_store_end(self):
        for member in self.members.values():
            member.is_stale = False
            member.connection.fault = ''
        self.advance(RECOVERY_SECONDS)
        for worker in WORKERS:
            if any(self.reach[name, worker] for name in NAMES):
                assert self.served(worker), worker

    @invariant()
    def orders_of_two_members_are_a_gap_apart(self):
        for worker, before, at, after, now in self.orders:
            assert now - at >= OPTIONS.min_order_gap, (
                worker,
                before,
                after,
                now - at,
            )

    @invariant()
    def tokens_never_fall_at_a_worker(self):
        assert not self.arrivals.faults


TestReleaseMachine = ReleaseMachine.TestCase
