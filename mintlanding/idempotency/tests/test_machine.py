"""A request runs at most once, and `not_run` is reported only if true."""

import asyncio
import itertools

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from mintlanding.core.clock import ManualClock
from mintlanding.core.results import Done, Failed, Ran
from mintlanding.idempotency.ledger import IdempotencyLedger
from mintlanding.idempotency.models import (
    Claim,
    IdempotencyOptions,
    IdempotentRequest,
    Replay,
    StoredResponse,
)
from mintlanding.idempotency.tests.service import SteppedService

LEDGERS = 3
OPTIONS = IdempotencyOptions(max_pending_writes=2, max_abandoned=2)


class IdempotencyMachine(RuleBasedStateMachine):
    """Instances and callers race; calls are lost, delayed and answered."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock(1000)
        self.service = SteppedService(self.clock)
        self.ledgers = [self.make_ledger() for _ in range(LEDGERS)]
        self.tasks = []
        self.claims = []
        self.sent = []
        self.runs = {}
        self.answers = {}
        self.requests = 0

    def teardown(self):
        self.tasks.clear()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.spin()
        self.loop.close()

    def make_ledger(self):
        return IdempotencyLedger.from_config(self.service, self.clock, OPTIONS)

    def spin(self):
        for _ in range(6):
            self.loop.run_until_complete(asyncio.sleep(0))
        for row in [each for each in self.tasks if each[2].done()]:
            self.tasks.remove(row)
            self.take(*row)

    def take(self, ledger, req, task):
        outcome = task.result()
        if isinstance(outcome, Failed):
            if outcome.ran == Ran.not_run:
                assert outcome.retry_after or outcome.code == 411
            return
        if isinstance(outcome, Done) and isinstance(outcome.value, Replay):
            answer = outcome.value.answer
            assert answer.body in self.answers[req.idempotency_key]
            return
        assert isinstance(outcome.value, Claim)
        self.claims.append((ledger, req, outcome.value))

    @initialize()
    def begin(self):
        self.spin()

    @rule(
        who=st.integers(0, LEDGERS - 1),
        key=st.sampled_from('ab'),
        body=st.sampled_from((b'one', b'two')),
    )
    def ask(self, who, key, body):
        ledger = self.ledgers[who]
        req = IdempotentRequest('shop', key, 'POST', '/orders', body)
        task = self.loop.create_task(ledger.claim(req))
        self.tasks.append((ledger, req, task))
        self.spin()

    @precondition(lambda self: self.service.pending)
    @rule(
        place=st.integers(0, 20),
        fate=st.sampled_from(
            ('answer', 'answer', 'lose_answer', 'lose_call', 'delay_call'),
        ),
    )
    def step(self, place, fate):
        pending = self.service.pending
        getattr(self.service, fate)(pending[place % len(pending)])
        self.spin()

    @rule()
    def answer_all(self):
        while self.service.pending:
            self.service.answer(self.service.pending[0])
            self.spin()

    @precondition(lambda self: self.claims)
    @rule(place=st.integers(0, 20))
    def send(self, place):
        row = self.claims.pop(place % len(self.claims))
        ledger, req, claim = row
        if not claim.may_send(self.clock.monotonic()):
            self.loop.create_task(ledger.release(claim))
            self.spin()
            return
        self.requests += 1
        answer = f'{self.requests}'.encode()
        self.answers.setdefault(req.idempotency_key, set()).add(answer)
        runs = self.runs.setdefault(req.idempotency_key, [])
        runs.append(self.clock.monotonic())
        self.sent.append((ledger, claim, answer))

    @precondition(lambda self: self.claims)
    @rule(place=st.integers(0, 20))
    def release(self, place):
        ledger, _, claim = self.claims.pop(place % len(self.claims))
        self.loop.create_task(ledger.release(claim))
        self.spin()

    @precondition(lambda self: self.sent)
    @rule(place=st.integers(0, 20), answered=st.booleans())
    def end(self, place, answered):
        ledger, claim, answer = self.sent.pop(place % len(self.sent))
        work = ledger.mark_unknown(claim)
        if answered:
            work.close()
            work = ledger.finish(claim, StoredResponse(200, body=answer))
        self.loop.create_task(work)
        self.spin()

    @rule(who=st.integers(0, LEDGERS - 1))
    def settle(self, who):
        self.loop.create_task(self.ledgers[who].retry_pending_writes())
        self.spin()

    @rule(who=st.integers(0, LEDGERS - 1))
    def crash(self, who):
        dead = self.ledgers[who]
        for row in [each for each in self.tasks if each[0] is dead]:
            self.tasks.remove(row)
            row[2].cancel()
        self.claims = [each for each in self.claims if each[0] is not dead]
        self.sent = [each for each in self.sent if each[0] is not dead]
        self.ledgers[who] = self.make_ledger()
        self.spin()

    @rule(seconds=st.sampled_from((1, 15, 200, 4000, 100000)))
    def pause(self, seconds):
        self.clock.advance(seconds)
        self.spin()

    @invariant()
    def no_request_runs_twice_while_its_record_is_kept(self):
        for moments in self.runs.values():
            for first, second in itertools.pairwise(moments):
                assert second - first >= OPTIONS.retention


TestIdempotency = IdempotencyMachine.TestCase
