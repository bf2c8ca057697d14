"""Decide what an existing record means for a request; no I/O."""

from collections.abc import Container
from dataclasses import dataclass, replace

import msgspec

from mintlanding.core.results import Failed, ResultCode
from mintlanding.idempotency.models import (
    IdempotencyOptions,
    IdempotencyRecord,
    IdempotencyState,
    Replay,
    StoredResponse,
)

_MIN_RETRY_AFTER = 1.0
_MAX_RETRY_AFTER = 5.0


@dataclass(frozen=True, slots=True)
class OwnRecord:
    """The record is that of this claim, whose write took effect."""


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The record is an earlier claim of this process that was never sent."""


Finding = OwnRecord | Abandoned | Replay | Failed


def examine(
    found: IdempotencyRecord,
    own: IdempotencyRecord,
    abandoned: Container[str],
    wall_time: float,
) -> Finding:
    """Decide what the record found under the request's key means."""
    if found.claim_id == own.claim_id:
        return OwnRecord()
    if found.claim_id in abandoned:
        return Abandoned()
    if found.fingerprint != own.fingerprint:
        return Failed.of(ResultCode.idempotency_mismatch)
    if found.state == IdempotencyState.done and found.answer is not None:
        return replay(found.answer)
    if found.state == IdempotencyState.claimed and wall_time < found.until:
        return in_progress(found.until - wall_time)
    return Failed.of(
        ResultCode.outcome_unknown,
        'an earlier request with this idempotency key may have run',
    )


def replay(answer: StoredResponse) -> Replay | Failed:
    """Return the stored response, or a failure if its body was not kept."""
    if answer.is_cut:
        detail = f'the response had status {answer.status}'
        return Failed.of(ResultCode.answer_not_kept, detail)
    return Replay(answer)


def in_progress(remaining: float) -> Failed:
    """Return the failure while another request with the key is pending."""
    failure = Failed.of(ResultCode.idempotency_in_progress)
    return replace(failure, retry_after=_retry_after(remaining))


def unavailable(options: IdempotencyOptions, detail: str) -> Failed:
    """Return the failure of a request that cannot be recorded.

    The request did not run, and the caller is told when to retry.
    """
    return Failed(
        ResultCode.idempotency_unavailable,
        detail,
        retry_after=options.retry_after,
    )


def limit_body(answer: StoredResponse, max_bytes: int) -> StoredResponse:
    """Return the response, without its body if that is too large to keep."""
    if len(answer.body) <= max_bytes:
        return answer
    return msgspec.structs.replace(answer, body=b'', is_cut=True)


def _retry_after(remaining: float) -> float:
    return max(_MIN_RETRY_AFTER, min(remaining, _MAX_RETRY_AFTER))
