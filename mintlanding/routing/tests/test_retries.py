"""Which requests are retried, and that retries stay within their budget."""

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mintlanding.core.results import Failed, Ran, ResultCode
from mintlanding.routing.models import Attempt, AttemptProgress, RetryAfter
from mintlanding.routing.retries import RetryOptions, RetryPolicy

UNREACHABLE = Failed.of(ResultCode.target_unreachable)
TIMEOUT = Failed.of(ResultCode.target_timeout)
INTERRUPTED = Failed.of(ResultCode.target_interrupted)


def decide(progress, is_idempotent, failure=UNREACHABLE, **fields):
    values = {'tries': 1, 'deadline': 10.0, **fields}
    attempt = Attempt(progress, is_idempotent, **values)
    policy = RetryPolicy(RetryOptions())
    return policy.decide(attempt, failure, 0, random.Random(1))


@pytest.mark.parametrize(
    ('progress', 'is_idempotent', 'repeated'),
    [
        (AttemptProgress.not_sent, True, True),
        (AttemptProgress.not_sent, False, True),
        (AttemptProgress.refused, True, True),
        (AttemptProgress.refused, False, True),
        (AttemptProgress.sent, True, True),
        (AttemptProgress.sent, False, False),
        (AttemptProgress.answering, True, False),
        (AttemptProgress.answering, False, False),
    ],
)
def test_only_harmless_repeats_are_made(progress, is_idempotent, repeated):
    decision = decide(progress, is_idempotent)
    assert isinstance(decision, RetryAfter) is repeated


@pytest.mark.parametrize(
    ('progress', 'is_idempotent', 'failure', 'code', 'ran'),
    [
        (AttemptProgress.not_sent, False, UNREACHABLE, 402 + 1, Ran.not_run),
        (AttemptProgress.not_sent, False, TIMEOUT, 406, Ran.not_run),
        (AttemptProgress.refused, False, TIMEOUT, 406, Ran.not_run),
        (AttemptProgress.sent, False, UNREACHABLE, 408, Ran.unknown),
        (AttemptProgress.sent, False, TIMEOUT, 406, Ran.unknown),
        (AttemptProgress.sent, True, UNREACHABLE, 403, Ran.unknown),
        (AttemptProgress.answering, True, INTERRUPTED, 407, Ran.ran),
        (AttemptProgress.answering, False, UNREACHABLE, 403, Ran.unknown),
    ],
)
def test_final_failure_has_the_proven_ran(
    progress, is_idempotent, failure, code, ran
):
    final = decide(progress, is_idempotent, failure, tries=3)
    assert (final.code, final.ran) == (code, ran)


def test_no_retry_after_the_deadline():
    final = decide(
        AttemptProgress.not_sent, True, deadline=1.0, retry_after=2.0
    )
    assert isinstance(final, Failed)


def test_retry_waits_for_the_retry_time_of_the_target():
    decision = decide(AttemptProgress.refused, True, retry_after=2.0)
    assert decision.seconds >= 2


class RetryMachine(RuleBasedStateMachine):
    """Requests fail at any step; an oracle counts those that may have run."""

    def __init__(self):
        super().__init__()
        self.options = RetryOptions()
        self.policy = RetryPolicy(self.options)
        self.rnd = random.Random(1)
        self.first_tries = 0
        self.retries = 0

    @rule(
        is_idempotent=st.booleans(),
        steps=st.lists(
            st.sampled_from(AttemptProgress), min_size=1, max_size=6
        ),
        failure=st.sampled_from((UNREACHABLE, TIMEOUT, INTERRUPTED)),
    )
    def run_request(self, is_idempotent, steps, failure):
        self.policy.budget.note_first_attempt()
        self.first_tries += 1
        may_have_run = 0
        for tries, progress in enumerate(steps, start=1):
            may_have_run += progress >= AttemptProgress.sent
            attempt = Attempt(progress, is_idempotent, tries, 1e9)
            decision = self.policy.decide(attempt, failure, 0, self.rnd)
            if isinstance(decision, Failed):
                break
            self.retries += 1
            if progress >= AttemptProgress.sent:
                assert is_idempotent
        if not is_idempotent:
            assert may_have_run <= 1
        if isinstance(decision, Failed) and decision.ran == Ran.not_run:
            assert steps[tries - 1] < AttemptProgress.sent

    @invariant()
    def retries_stay_within_the_budget(self):
        allowed = self.options.budget_burst
        allowed += self.options.budget_ratio * self.first_tries
        assert self.retries <= allowed + 1e-6


TestRetries = RetryMachine.TestCase
