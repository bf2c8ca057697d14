"""What may be tried again, where, and how often."""

import random
from dataclasses import dataclass

from mintlanding.core.results import Failed, Ran, ResultCode
from mintlanding.routing.models import Attempt, AttemptProgress, RetryAfter


@dataclass(frozen=True, slots=True)
class RetryOptions:
    """Tries for one request, and retries as a share of first tries.

    `first_pause` is the longest pause in seconds before the first retry; it
    doubles with each further one.
    """

    tries: int = 3
    budget_ratio: float = 0.1
    budget_burst: float = 10
    first_pause: float = 0.02


class RetryBudget:
    """A bucket that first tries fill and retries empty.

    In a lasting overload each first try pays for `budget_ratio` retries, so
    the load on the targets grows by no more than that share.
    """

    def __init__(self, options: RetryOptions) -> None:
        """Begin with a full bucket."""
        self._options = options
        self.level = options.budget_burst

    def note_first_try(self) -> None:
        """Add what one request earns."""
        earned = self.level + self._options.budget_ratio
        self.level = min(self._options.budget_burst, earned)

    def take(self) -> bool:
        """Take one retry, if the bucket holds one."""
        if self.level < 1:
            return False
        self.level -= 1
        return True


class RetryPolicy:
    """Decide after a failed attempt: another target or the final answer."""

    def __init__(self, options: RetryOptions) -> None:
        """Begin with a full budget."""
        self._options = options
        self.budget = RetryBudget(options)

    def decide(
        self,
        attempt: Attempt,
        failure: Failed,
        now: float,
        rnd: random.Random,
    ) -> RetryAfter | Failed:
        """Return when to retry, or the failure that the caller is told.

        The order matters: whether the request may run again comes before
        whether the budget allows it, and only an allowed retry is paid for.
        """
        final = with_proven_ran(attempt, failure)
        if not may_repeat(attempt) or attempt.tries >= self._options.tries:
            return final
        pause = self._pause(attempt, rnd)
        if now + pause >= attempt.deadline or not self.budget.take():
            return final
        return RetryAfter(pause)

    def _pause(self, attempt: Attempt, rnd: random.Random) -> float:
        longest = self._options.first_pause * 2 ** (attempt.tries - 1)
        return attempt.retry_after + rnd.uniform(0, longest)


def may_repeat(attempt: Attempt) -> bool:
    """Tell whether a second run is impossible or harmless."""
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
