"""What a found record means for a request; plain code without I/O."""

from collections.abc import Container
from dataclasses import dataclass, replace

import msgspec

from mintlanding.core.results import Failed, ResultCode
from mintlanding.idempotency.models import (
    IdempotencyOptions,
    IdempotencyRecord,
    IdempotencyState,
    Replay,
    StoredAnswer,
)

_SHORTEST_WAIT = 1.0
_LONGEST_WAIT = 5.0


@dataclass(frozen=True, slots=True)
class Own:
    """The record is this claim's own: its write took effect."""


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The record is an earlier claim of this process that was never sent."""


Finding = Own | Abandoned | Replay | Failed


def examine(
    found: IdempotencyRecord,
    mine: IdempotencyRecord,
    abandoned: Container[str],
    wall: float,
) -> Finding:
    """Decide what a record found under the request's key means."""
    if found.claim_id == mine.claim_id:
        return Own()
    if found.claim_id in abandoned:
        return Abandoned()
    if found.fingerprint != mine.fingerprint:
        return Failed.of(ResultCode.idempotency_mismatch)
    if found.state == IdempotencyState.done and found.answer is not None:
        return replay(found.answer)
    if found.state == IdempotencyState.claimed and wall < found.until:
        return in_progress(found.until - wall)
    return Failed.of(
        ResultCode.outcome_unknown,
        'an earlier request with this idempotency key may have run',
    )


def replay(answer: StoredAnswer) -> Replay | Failed:
    """Return the kept answer, or say that the order ran without one."""
    if answer.is_cut:
        detail = f'the answer had status {answer.status}'
        return Failed.of(ResultCode.answer_not_kept, detail)
    return Replay(answer)


def in_progress(left: float) -> Failed:
    """Return the failure for a request that another one is ahead of."""
    failure = Failed.of(ResultCode.idempotency_in_progress)
    return replace(failure, retry_after=_come_back(left))


def unavailable(options: IdempotencyOptions, detail: str) -> Failed:
    """Return the failure of an order that cannot be recorded; it did not run.

    The caller is told when to come back.
    """
    return Failed(
        ResultCode.idempotency_unavailable,
        detail,
        retry_after=options.come_back,
    )


def keep_answer(answer: StoredAnswer, longest: int) -> StoredAnswer:
    """Return the answer without a body that is too large to keep."""
    if len(answer.body) <= longest:
        return answer
    return msgspec.structs.replace(answer, body=b'', is_cut=True)


def _come_back(left: float) -> float:
    return max(_SHORTEST_WAIT, min(left, _LONGEST_WAIT))
