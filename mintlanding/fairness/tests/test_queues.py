"""Invariants of every queue policy, and fairness of the weighted one."""

from collections import Counter

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from mintlanding.fairness import (
    QUEUES,
    FifoQueue,
    QueuedRequest,
    QueueOptions,
    RoundRobinQueue,
    WeightedFairQueue,
)
from mintlanding.placement.messages import AdapterRef, Priority

LIMIT = 8
TERMS = QueueOptions(limit=LIMIT)
REFS = [AdapterRef(f'adapter-{number}', 'v1') for number in range(4)]
WEIGHTS = {'one': 1.0, 'two': 1.0, 'three': 4.0}
RATE = 100.0
INTERACTIVE, BATCH = Priority.interactive, Priority.batch


def item(name, workspace='one', ref=REFS[0], tokens=10, **fields):
    return QueuedRequest(
        reservation_id=str(name),
        workspace=workspace,
        ref=ref,
        tokens=tokens,
        weight=WEIGHTS[workspace],
        priority=fields.get('priority', INTERACTIVE),
        arrived=0,
        expires=fields.get('expires', 1000),
    )


class QueueMachine(RuleBasedStateMachine):
    """Compare a queue with a dictionary of the requests it must hold."""

    policy = WeightedFairQueue

    def __init__(self):
        super().__init__()
        self.queue = self.policy(TERMS)
        self.now = 0.0
        self.number = 0
        self.held = {}
        self.ready = set()

    def forget(self, gone):
        assert self.held.pop(gone.reservation_id).ref == gone.ref

    @rule(
        workspace=st.sampled_from(sorted(WEIGHTS)),
        ref=st.sampled_from(REFS),
        tokens=st.integers(1, 100),
        priority=st.sampled_from(list(Priority)),
        wait=st.sampled_from((0.5, 3, 20)),
    )
    def push(self, workspace, ref, tokens, priority, wait):
        self.number += 1
        new = item(
            self.number,
            workspace,
            ref,
            tokens,
            priority=priority,
            expires=self.now + wait,
        )
        was_full = len(self.held) >= LIMIT
        dropped = self.queue.push(new)
        self.held[new.reservation_id] = new
        assert (dropped is not None) == was_full
        if dropped is not None:
            self.forget(dropped)

    @rule()
    def pop(self):
        found = self.queue.pop(self.now, RATE)
        runnable = [x for x in self.held.values() if x.ref in self.ready]
        assert (found is None) == (not runnable)
        if found is None:
            return
        assert found.ref in self.ready
        first = min(
            int(each.reservation_id)
            for each in runnable
            if (each.workspace, each.ref, each.priority)
            == (found.workspace, found.ref, found.priority)
        )
        urgent = found.expires - self.now <= TERMS.urgent_seconds
        assert int(found.reservation_id) == first or urgent
        self.forget(found)
        self.queue.settle(found, found.tokens / 2)

    @rule(ref=st.sampled_from(REFS), is_ready=st.booleans())
    def set_ready(self, ref, is_ready):
        self.queue.set_ready(ref, is_ready)
        if is_ready:
            self.ready.add(ref)
        else:
            self.ready.discard(ref)

    @precondition(lambda self: self.held)
    @rule(data=st.data())
    def remove(self, data):
        name = data.draw(st.sampled_from(sorted(self.held)))
        self.forget(self.queue.remove(name))
        assert self.queue.remove(name) is None

    @rule(ref=st.sampled_from(REFS))
    def remove_ref(self, ref):
        for gone in self.queue.remove_ref(ref):
            assert gone.ref == ref
            self.forget(gone)
        assert self.queue.count_for(ref) == 0

    @rule(seconds=st.sampled_from((0.1, 1, 4)))
    def expire(self, seconds):
        self.now += seconds
        for gone in self.queue.expire(self.now):
            self.forget(gone)
        assert all(each.expires > self.now for each in self.held.values())

    @invariant()
    def the_counts_agree(self):
        queue = self.queue
        assert len(queue) == len(self.held) <= LIMIT
        total = sum(each.tokens for each in self.held.values())
        assert queue.tokens == pytest.approx(total)
        refs = {each.ref for each in self.held.values()}
        assert set(queue.missing_adapters(self.now)) == refs - self.ready
        assert queue.missing_count() == len(refs - self.ready)
        assert queue.urgent_load_count(self.now) <= queue.missing_count()
        counts = Counter(each.ref for each in self.held.values())
        assert all(queue.count_for(ref) == counts[ref] for ref in REFS)


class FifoMachine(QueueMachine):
    """The same for the FIFO baseline."""

    policy = FifoQueue


class RoundRobinMachine(QueueMachine):
    """The same for the round-robin baseline."""

    policy = RoundRobinQueue


TestWeighted = QueueMachine.TestCase
TestFifo = FifoMachine.TestCase
TestRoundRobin = RoundRobinMachine.TestCase


def fair_queue(**options):
    queue = WeightedFairQueue(QueueOptions(**options))
    for ref in REFS:
        queue.set_ready(ref, is_ready=True)
    return queue


def drain(queue, number, now=0.0, rate=RATE):
    return [queue.pop(now, rate) for _ in range(number)]


def test_backlogged_workspaces_share_tokens_by_weight():
    queue = fair_queue(limit=1000)
    for number in range(200):
        queue.push(item(f'a{number}', 'one', tokens=10 + number % 7))
        queue.push(item(f'c{number}', 'three', tokens=10 + number % 5))
    served = Counter()
    for found in drain(queue, 200):
        served[found.workspace] += found.tokens
        gap = served['three'] / 4 - served['one']
        assert abs(gap) <= 17 + 15 / 4


def test_new_workspace_is_served_soon_during_a_flood():
    queue = fair_queue(limit=1000)
    for number in range(300):
        queue.push(item(f'f{number}', 'one'))
    drain(queue, 100)
    queue.push(item('new', 'two'))
    names = [found.reservation_id for found in drain(queue, 2)]
    assert 'new' in names


def test_idle_workspace_accumulates_no_credit():
    queue = fair_queue(limit=1000)
    queue.push(item('b', 'two'))
    for number in range(100):
        queue.push(item(f'a{number}', 'one'))
    drain(queue, 50)
    for number in range(20):
        queue.push(item(f'b{number}', 'two'))
    served = Counter(found.workspace for found in drain(queue, 20))
    assert served['two'] <= 11


def test_workspace_with_a_loading_adapter_does_not_delay_new_ones():
    queue = fair_queue(limit=1000)
    queue.set_ready(REFS[1], is_ready=False)
    queue.push(item('blocked', 'two', REFS[1]))
    for number in range(100):
        queue.push(item(f'a{number}', 'one'))
    drain(queue, 60)
    queue.push(item('new', 'three'))
    assert queue.pop(0, RATE).reservation_id == 'new'


def test_interactive_goes_first_but_batch_gets_its_share():
    queue = fair_queue(limit=1000, batch_share=0.1)
    for number in range(100):
        queue.push(item(f'i{number}'))
        queue.push(item(f'b{number}', 'two', priority=BATCH, expires=1e6))
    served = Counter(found.priority for found in drain(queue, 60))
    assert 5 <= served[BATCH] <= 7


def test_close_deadline_raises_the_batch_share():
    queue = fair_queue(limit=1000, max_batch_share=0.5)
    for number in range(100):
        queue.push(item(f'i{number}'))
        queue.push(item(f'b{number}', 'two', priority=BATCH, expires=20))
    found = drain(queue, 60, rate=RATE / 2)
    served = Counter(each.priority for each in found)
    assert 28 <= served[BATCH] <= 31


def test_batch_goes_first_at_its_latest_start():
    queue = fair_queue()
    queue.push(item('i'))
    queue.push(item('b', 'two', priority=BATCH, expires=4))
    assert queue.pop(0, RATE).reservation_id == 'b'


def test_batch_load_goes_first_close_to_its_latest_start():
    queue = WeightedFairQueue(TERMS)
    queue.push(item('i', 'one', REFS[0]))
    queue.push(item('b', 'two', REFS[1], priority=BATCH, expires=100))
    assert queue.missing_adapters(0) == [REFS[0], REFS[1]]
    assert queue.urgent_load_count(0) == 1
    assert queue.urgent_load_count(75) == 2
    assert queue.missing_adapters(95) == [REFS[1], REFS[0]]


def test_batch_credit_is_bounded_while_the_adapter_loads():
    queue = fair_queue(limit=1000, max_credit=50)
    queue.set_ready(REFS[1], is_ready=False)
    for number in range(300):
        fields = {'priority': BATCH, 'expires': 1e6}
        queue.push(item(f'b{number}', 'two', REFS[1], **fields))
        queue.push(item(f'i{number}', 'one'))
    drain(queue, 200)
    queue.set_ready(REFS[1], is_ready=True)
    served = Counter(found.priority for found in drain(queue, 20))
    assert served[BATCH] <= 7


def test_full_queue_drops_from_the_largest_backlog():
    queue = fair_queue(limit=4)
    for number in range(4):
        queue.push(item(f'a{number}', 'one'))
    dropped = queue.push(item('b', 'two'))
    assert dropped.reservation_id == 'a3'
    assert queue.push(item('a9', 'one')).reservation_id == 'a9'


def test_full_queue_drops_batch_for_interactive():
    queue = fair_queue(limit=2)
    queue.push(item('i', 'one'))
    queue.push(item('b', 'two', priority=BATCH))
    assert queue.push(item('j', 'one')).reservation_id == 'b'


def test_tokens_ahead_counts_tokens_served_before_a_new_request():
    queue = fair_queue(limit=100)
    for number in range(10):
        queue.push(item(f'a{number}', 'one'))
    assert queue.tokens_ahead('two', 1, INTERACTIVE) == 0
    assert queue.tokens_ahead('one', 1, INTERACTIVE) == 100


@pytest.mark.parametrize('name', ['weighted', 'fifo', 'round-robin'])
def test_each_policy_is_registered(name):
    queue = QUEUES.get(name)(TERMS)
    assert queue.pop(0, RATE) is None
