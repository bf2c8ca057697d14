"""Which requests may be retried, when, and how often."""

import random
from dataclasses import dataclass

from mintlanding.core.results import Failed, Ran, ResultCode
from mintlanding.routing.models import Attempt, AttemptProgress, RetryAfter


@dataclass(frozen=True, slots=True)
class RetryOptions:
    """Attempts per request, and retries as a share of first attempts.

    `initial_pause` is the longest pause in seconds before the first retry; it
    doubles with each further one.
    """

    tries: int = 3
    budget_ratio: float = 0.1
    budget_burst: float = 10
    initial_pause: float = 0.02


class RetryBudget:
    """A token bucket that first attempts fill and retries empty.

    In a lasting overload each first attempt pays for `budget_ratio` retries, so
    that retries add no more than that share to the load of the targets.
    """

    def __init__(self, options: RetryOptions) -> None:
        """Start with a full bucket."""
        self._options = options
        self.level = options.budget_burst

    def note_first_attempt(self) -> None:
        """Add the share of a retry that a first attempt pays for."""
        refilled = self.level + self._options.budget_ratio
        self.level = min(self._options.budget_burst, refilled)

    def take(self) -> bool:
        """Take one retry; return whether the bucket held one."""
        if self.level < 1:
            return False
        self.level -= 1
        return True


class RetryPolicy:
    """Decide after a failed attempt whether to retry on another target."""

    def __init__(self, options: RetryOptions) -> None:
        """Start with a full budget."""
        self._options = options
        self.budget = RetryBudget(options)

    def decide(
        self,
        attempt: Attempt,
        failure: Failed,
        now: float,
        rnd: random.Random,
    ) -> RetryAfter | Failed:
        """Return when to retry, or the failure to return to the caller.

        The budget is checked last, so that only a retry that is otherwise
        allowed takes from it.
        """
        final = with_proven_ran(attempt, failure)
        if not may_repeat(attempt) or attempt.tries >= self._options.tries:
            return final
        pause = self._pause(attempt, rnd)
        if now + pause >= attempt.deadline or not self.budget.take():
            return final
        return RetryAfter(pause)

    def _pause(self, attempt: Attempt, rnd: random.Random) -> float:
        max_pause = self._options.initial_pause * 2 ** (attempt.tries - 1)
        return attempt.retry_after + rnd.uniform(0, max_pause)


def may_repeat(attempt: Attempt) -> bool:
    """Return whether a second run is impossible or harmless."""
    if attempt.progress <= AttemptProgress.refused:
        return True
    return (
        attempt.is_idempotent and attempt.progress < AttemptProgress.answering
    )


def with_proven_ran(attempt: Attempt, failure: Failed) -> Failed:
    """Return the failure with the `ran` that the attempt's progress proves."""
    if attempt.progress <= AttemptProgress.refused:
        return _with_ran(failure, Ran.not_run)
    if failure.ran != Ran.not_run:
        return failure
    if attempt.progress == AttemptProgress.sent and not attempt.is_idempotent:
        return Failed.of(ResultCode.outcome_unknown, failure.detail)
    return _with_ran(failure, Ran.unknown)


def _with_ran(failure: Failed, ran: Ran) -> Failed:
    return Failed(failure.code, failure.detail, ran, failure.retry_after)
