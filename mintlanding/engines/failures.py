"""Convert errors of targets to failures."""

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


def from_call_error(exc: MintlandingError, lost_code: ResultCode) -> Failed:
    """Return a call's failure; `lost_code` is the code without a response."""
    detail = str(exc)
    if isinstance(exc, RequestNotSent):
        return Failed(ResultCode.target_unreachable, detail, Ran.not_run)
    if isinstance(exc, ResponseTimeout):
        return Failed(ResultCode.target_timeout, detail, Ran.unknown)
    if isinstance(exc, InvalidResponse):
        return Failed(ResultCode.target_garbage, detail, Ran.unknown)
    return Failed(lost_code, detail, Ran.unknown)


def from_invalid_response(exc: TargetError) -> Failed:
    """Return the failure of a response that is incomplete or invalid."""
    if isinstance(exc, StreamBroken):
        return Failed(ResultCode.target_interrupted, str(exc), Ran.unknown)
    return Failed.of(ResultCode.target_garbage, str(exc))


def from_error_response(status: int, body: bytes) -> Failed:
    """Return the failure that an engine's error response describes."""
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
