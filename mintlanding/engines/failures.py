"""Turn what goes wrong with a target into outcomes."""

import msgspec

from mintlanding.core.exceptions import (
    InvalidResponse,
    MintlandingError,
    RequestNotSent,
    ResponseTimeout,
    TargetError,
)
from mintlanding.core.results import Failed, Ran, ResultCode
from mintlanding.engines.messages import ErrorBody, ErrorDetail
from mintlanding.engines.stream import StreamBroken

_REFUSALS = {
    'old_fencing': ResultCode.fencing_old,
    'load_failed': ResultCode.adapter_load_failed,
}


def of_call(exc: MintlandingError, lost: ResultCode) -> Failed:
    """Return the failure of a call; `lost` is the code without an answer."""
    detail = str(exc)
    if isinstance(exc, RequestNotSent):
        return Failed(ResultCode.target_unreachable, detail, Ran.not_run)
    if isinstance(exc, ResponseTimeout):
        return Failed(ResultCode.target_timeout, detail, Ran.unknown)
    if isinstance(exc, InvalidResponse):
        return Failed(ResultCode.target_garbage, detail, Ran.unknown)
    return Failed(lost, detail, Ran.unknown)


def of_answer(exc: TargetError) -> Failed:
    """Return the failure of an answer that breaks off or is garbled."""
    if isinstance(exc, StreamBroken):
        return Failed(ResultCode.target_interrupted, str(exc), Ran.unknown)
    return Failed.of(ResultCode.target_garbage, str(exc))


def of_refusal(status: int, body: bytes) -> Failed:
    """Return the failure that an engine's error answer tells of."""
    detail = _error_detail(body)
    if detail is None:
        return Failed(
            ResultCode.target_garbage, f'status {status}', Ran.unknown
        )
    default = ResultCode.target_refused
    return Failed(
        _REFUSALS.get(detail.code, default),
        detail.code,
        Ran.ran if detail.ran else Ran.not_run,
        detail.retry_after,
    )


def _error_detail(body: bytes) -> ErrorDetail | None:
    try:
        return msgspec.json.decode(body, type=ErrorBody).error
    except msgspec.DecodeError:
        return None
