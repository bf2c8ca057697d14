"""Error responses of the administration API."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from pydantic import ValidationError
from starlette.responses import Response

from mintlanding.admin.messages import ErrorAnswer, ErrorBody, Mistake
from mintlanding.admin.schemas import ObjectSchema
from mintlanding.core.checks import CheckMessage
from mintlanding.core.results import Failed, ResultCode

JSON = 'application/json'
_MALFORMED = 'json_invalid'
_HINTS = {
    ResultCode.operator_unauthorized: (
        'send "Authorization: Bearer TOKEN" with an operator token'
    ),
    ResultCode.wrong_content_type: 'send "Content-Type: application/json"',
    ResultCode.conflict: (
        'read the object again, merge your change and send its version'
    ),
    ResultCode.in_use: 'delete or change what uses it in the same apply',
    ResultCode.object_unknown: 'list the kind to see the names there are',
    ResultCode.platform_unavailable: (
        'the key-value service is down or slow: try again later; '
        'a change repeated with its write id takes effect once'
    ),
    ResultCode.unknown_route: 'GET /openapi.json describes all routes',
    ResultCode.method_not_allowed: 'GET /openapi.json describes all routes',
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """A failure, with details that help an operator to correct the request."""

    failure: Failed
    mistakes: tuple[Mistake, ...] = ()
    current: ObjectSchema | None = None
    write_id: str | None = None
    headers: dict[str, str] = field(default_factory=dict)

    def to_response(self) -> Response:
        """Return the HTTP response for the failure."""
        failed = self.failure
        detail = f' {failed.detail}' if failed.detail else ''
        body = ErrorBody(
            code=int(failed.code),
            type=failed.code.name,
            message=f'{failed.row.sentence}{detail}',
            ran=failed.ran.value,
            hint=_HINTS.get(failed.code, ''),
            retry_after=failed.retry_after,
            write_id=self.write_id,
            mistakes=self.mistakes,
            current=self.current,
        )
        answer = ErrorAnswer(error=body)
        return Response(
            answer.model_dump_json(exclude_none=True),
            status_code=failed.row.status,
            media_type=JSON,
            headers=self._headers(),
        )

    def _headers(self) -> dict[str, str]:
        headers = dict(self.headers)
        if self.failure.retry_after is not None:
            seconds = max(1, math.ceil(self.failure.retry_after))
            headers['Retry-After'] = str(seconds)
        if self.failure.code is ResultCode.operator_unauthorized:
            headers['WWW-Authenticate'] = 'Bearer'
        return headers


def build_refusal(code: ResultCode, detail: str = '') -> Refusal:
    """Build a refusal from a result code."""
    return Refusal(Failed.of(code, detail))


def build_check_refusal(messages: Iterable[CheckMessage]) -> Refusal:
    """Build a refusal that lists every failed check of a change."""
    found = tuple(messages)
    in_use = all(message.check_id == 'C004' for message in found)
    code = ResultCode.in_use if in_use else ResultCode.object_invalid
    mistakes = tuple(
        Mistake(
            place=each.place,
            message=each.message,
            hint=each.hint,
            check_id=each.check_id,
        )
        for each in found
    )
    detail = '; '.join(f'{each.place} {each.message}' for each in found[:3])
    return Refusal(Failed.of(code, detail), mistakes)


def build_validation_refusal(exc: ValidationError, place: str) -> Refusal:
    """Build a refusal from the errors of a request model."""
    found = exc.errors(include_url=False, include_context=False)
    if any(each['type'] == _MALFORMED for each in found):
        return build_refusal(ResultCode.malformed_json, str(found[0]['msg']))
    mistakes = tuple(
        Mistake(
            place='.'.join((place, *(str(part) for part in each['loc']))),
            message=str(each['msg']),
            hint='GET /openapi.json describes the field',
        )
        for each in found
    )
    shown = '; '.join(f'{each.place}: {each.message}' for each in mistakes[:3])
    return Refusal(Failed.of(ResultCode.object_invalid, shown), mistakes)
