"""Result codes, and outcomes that are either Done or Failed with a code.

docs/reference/result-codes.md lists the codes for callers and operators.
"""

from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import Generic, TypeVar

ValueT = TypeVar('ValueT')


class Ran(StrEnum):
    """Whether a refused or failed request ran on a target."""

    not_run = 'not_run'
    ran = 'ran'
    unknown = 'unknown'


class ResultCode(IntEnum):
    """Result codes.

    1xx: request, 2xx: key or model name, 3xx: limits, 4xx: target, idempotency
    or conflict, 5xx: this instance or the platform.
    """

    malformed_json = 101
    wrong_content_type = 102
    body_too_large = 103
    header_too_large = 104
    body_timeout = 105
    unknown_route = 106
    missing_field = 107
    method_not_allowed = 108
    key_missing = 201
    key_malformed = 202
    key_unknown = 203
    key_withdrawn = 204
    workspace_forbidden = 205
    operator_unauthorized = 206
    adapter_unknown = 210
    version_unknown = 211
    selector_empty = 212
    rate_exceeded = 301
    larger_than_burst = 302
    queue_full = 303
    deadline_unreachable = 304
    limits_unavailable = 305
    no_target = 401
    adapter_load_failed = 402
    target_unreachable = 403
    target_garbage = 404
    target_wrong_adapter = 405
    target_timeout = 406
    target_interrupted = 407
    outcome_unknown = 408
    target_refused = 409
    idempotency_in_progress = 410
    idempotency_mismatch = 411
    idempotency_unavailable = 412
    fencing_old = 413
    answer_not_kept = 414
    conflict = 420
    in_use = 421
    object_unknown = 422
    object_invalid = 423
    draining = 501
    configuration_missing = 502
    platform_unavailable = 503
    internal = 504
    configuration_stale = 505
    function_unavailable = 506


@dataclass(frozen=True, slots=True)
class ResultRow:
    """The presentation of a result code: HTTP status, sentence, `ran`."""

    status: int
    sentence: str
    ran: Ran = Ran.not_run


_Code = ResultCode
RESULTS: dict[ResultCode, ResultRow] = {
    _Code.malformed_json: ResultRow(400, 'The body is not valid JSON.'),
    _Code.wrong_content_type: ResultRow(415, 'Send application/json.'),
    _Code.body_too_large: ResultRow(413, 'The body is too large.'),
    _Code.header_too_large: ResultRow(431, 'The headers are too large.'),
    _Code.body_timeout: ResultRow(408, 'The body did not arrive in time.'),
    _Code.unknown_route: ResultRow(404, 'No route has this path.'),
    _Code.missing_field: ResultRow(422, 'A field is missing or invalid.'),
    _Code.method_not_allowed: ResultRow(405, 'The method is not allowed.'),
    _Code.key_missing: ResultRow(401, 'Present a key as a bearer token.'),
    _Code.key_malformed: ResultRow(401, 'The key is malformed.'),
    _Code.key_unknown: ResultRow(401, 'The key is unknown.'),
    _Code.key_withdrawn: ResultRow(401, 'The key was withdrawn.'),
    _Code.workspace_forbidden: ResultRow(
        403,
        'The key belongs to another workspace.',
    ),
    _Code.operator_unauthorized: ResultRow(
        401,
        'Present an operator credential.',
    ),
    _Code.adapter_unknown: ResultRow(404, 'No such adapter for this key.'),
    _Code.version_unknown: ResultRow(404, 'The adapter has no such version.'),
    _Code.selector_empty: ResultRow(404, 'The selector matches nothing.'),
    _Code.rate_exceeded: ResultRow(429, 'The workspace is over its rate.'),
    _Code.larger_than_burst: ResultRow(
        413,
        'The request needs more tokens than the burst of the workspace.',
    ),
    _Code.queue_full: ResultRow(503, 'The queue of the target is full.'),
    _Code.deadline_unreachable: ResultRow(
        503,
        'The request cannot be served before its deadline.',
    ),
    _Code.limits_unavailable: ResultRow(
        503,
        'No share of the rate can be counted here at present.',
    ),
    _Code.no_target: ResultRow(503, 'No target can serve the request.'),
    _Code.adapter_load_failed: ResultRow(503, 'The adapter failed to load.'),
    _Code.target_unreachable: ResultRow(502, 'The target is unreachable.'),
    _Code.target_garbage: ResultRow(
        502,
        'The target gave an invalid answer.',
        Ran.ran,
    ),
    _Code.target_wrong_adapter: ResultRow(
        502,
        'The target answered for another adapter.',
        Ran.unknown,
    ),
    _Code.target_timeout: ResultRow(
        504,
        'The target did not answer in time.',
        Ran.unknown,
    ),
    _Code.target_interrupted: ResultRow(
        502,
        'The answer of the target broke off.',
        Ran.ran,
    ),
    _Code.outcome_unknown: ResultRow(
        502,
        'The call may have run; do not repeat it blindly.',
        Ran.unknown,
    ),
    _Code.target_refused: ResultRow(503, 'The target refused the call.'),
    _Code.idempotency_in_progress: ResultRow(
        409,
        'A request with this idempotency key is in progress.',
        Ran.unknown,
    ),
    _Code.idempotency_mismatch: ResultRow(
        422,
        'The idempotency key was used with another request.',
    ),
    _Code.idempotency_unavailable: ResultRow(
        503,
        'Idempotency keys cannot be recorded at present.',
    ),
    _Code.fencing_old: ResultRow(
        503,
        'A newer steward gives the orders.',
    ),
    _Code.answer_not_kept: ResultRow(
        409,
        'The request ran once before; its answer was too large to keep.',
        Ran.ran,
    ),
    _Code.conflict: ResultRow(409, 'The object has changed meanwhile.'),
    _Code.in_use: ResultRow(409, 'The object is in use.'),
    _Code.object_unknown: ResultRow(404, 'There is no such object.'),
    _Code.object_invalid: ResultRow(422, 'The object is invalid.'),
    _Code.draining: ResultRow(503, 'This instance is leaving.'),
    _Code.configuration_missing: ResultRow(
        503,
        'No configuration has arrived yet.',
    ),
    _Code.platform_unavailable: ResultRow(
        503,
        'The platform does not answer.',
    ),
    _Code.internal: ResultRow(500, 'An internal error.', Ran.unknown),
    _Code.configuration_stale: ResultRow(
        503,
        'The configuration here is too old to trust keys.',
    ),
    _Code.function_unavailable: ResultRow(
        501,
        'This process does not offer the function.',
    ),
}


@dataclass(frozen=True, slots=True)
class Done(Generic[ValueT]):
    """A successful outcome."""

    value: ValueT  # noqa: WPS110


@dataclass(frozen=True, slots=True)
class Failed:
    """A failed outcome; `retry_after` is in seconds."""

    code: ResultCode
    detail: str = ''
    ran: Ran = Ran.not_run
    retry_after: float | None = None

    @classmethod
    def of(cls, code: ResultCode, detail: str = '') -> 'Failed':
        """Create a failure with the `ran` that the table has for its code."""
        return cls(code, detail, RESULTS[code].ran)

    @property
    def row(self) -> ResultRow:
        """Return the table row of the code."""
        return RESULTS[self.code]


Outcome = Done[ValueT] | Failed
