"""Codec of request and response headers, and of orders to engines."""

import msgspec

from mintlanding.core.borders import ValueBounds, border
from mintlanding.core.bounds import MAX_AMOUNT, MAX_COUNT, MAX_FIELD_BYTES
from mintlanding.core.numbers import parse_count
from mintlanding.http1.models import Headers, ResponseHead, header_value
from mintlanding.residency.models import Order, OrderResult
from mintlanding.traffic.header_fields import (
    CallerFields,
    HopFields,
    TargetLoadReport,
    TargetResponse,
)
from mintlanding.traffic.models import AdapterName, Demand

_MILLISECONDS = 1000
_PERCENT = 100
_REQUEST_ID = b'x-request-id'
_DEADLINE = b'x-deadline-ms'
_MODEL = b'x-model'
_TOKENS = b'x-token-counts'
_PREFIX = b'x-prompt-prefix'
_LAST_EVENT = b'last-event-id'
_RESUMES = b'resumes'
_STAMP = b'x-response-stamp'
_NOT_RUN = b'x-not-run'
_LOAD = b'x-server-load'
_LIMIT = b'server-limit'
_LEAVING = b'server-leaving'
_BRITTLE = b'server-brittle'
_RETRY_AFTER = b'retry-after'
_SCHEME = 'Token '
# Set only by the relay; a caller's values are dropped.
_OWN_HEADERS = frozenset(
    (
        b'x-tenant',
        b'x-expect-instance',
        b'x-expect-version',
        b'x-request-priority',
        b'x-hold',
        b'x-pin-ms',
        b'x-kv-backup',
        b'x-not-run',
        b'kv-from',
        b'kv-fetch',
        b'wait-ms',
        b'authorization',
        _DEADLINE,
    ),
)
_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'host',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)
# Always passed on, even if a caller's Connection header names them.
_KEPT_HEADERS = frozenset(
    (_REQUEST_ID, _MODEL, _TOKENS, _PREFIX, _LAST_EVENT, b'content-type'),
)
_MISDIRECTED = 421
_UNAVAILABLE = 503
# Engines' priorities range from 0 to this; the middle one is their default.
_LOWEST_PRIORITY = 9


# The operator's limits bound the fields of callers.
@border('caller-fields', None, ValueBounds(text_bytes=MAX_FIELD_BYTES))
def read_caller(headers: Headers) -> CallerFields:
    """Decode a caller's headers; treat invalid ones as absent."""
    scheme, _, key = _text(headers, b'authorization').partition(' ')
    is_key = f'{scheme} '.lower() == _SCHEME.lower()
    prompt, _, output = _text(headers, _TOKENS).partition(',')
    deadline = _text(headers, _DEADLINE)
    return CallerFields(
        request_id=_text(headers, _REQUEST_ID),
        host=_text(headers, b'host'),
        key=key.strip() if is_key else '',
        deadline=_milliseconds(deadline),
        adapter=AdapterName.parse(_text(headers, _MODEL)),
        demand=_demand(prompt, output),
        parts=_parts(_text(headers, _PREFIX)),
        last_event=_text(headers, _LAST_EVENT),
        resumes=_text(headers, _RESUMES),
    )


def target_request_head(
    method: bytes,
    target: bytes,
    headers: Headers,
    body_bytes: int,
    fields: HopFields,
) -> bytes:
    """Encode the head of a request to a target."""
    dropped = _HOP_HEADERS | _OWN_HEADERS | _named_hop_headers(headers)
    if fields.last_event:
        dropped |= {_LAST_EVENT}
    kept = [each for each in headers if each[0] not in dropped]
    kept.extend(_own_headers(fields))
    if body_bytes or method not in {b'GET', b'HEAD'}:
        kept.append((b'content-length', b'%d' % body_bytes))
    lines = [b'%b %b HTTP/1.1\r\n' % (method, target)]
    lines.append(b'host: %b\r\n' % header_value(headers, b'host'))
    lines.extend(b'%b: %b\r\n' % each for each in kept)
    lines.append(b'\r\n')
    return b''.join(lines)


@border('response-fields', None, ValueBounds(text_bytes=MAX_FIELD_BYTES))
def read_response(head: ResponseHead, request_id: str) -> TargetResponse:
    """Decode the head of a target's response to a request."""
    echoed = head.get(_REQUEST_ID).decode('latin-1')
    is_misdirected = head.status == _MISDIRECTED
    named_limit = head.get(_LIMIT)
    limit = _number(named_limit)
    named_load = head.get(_LOAD)
    load = _load(named_load)
    named_brittle = head.get(_BRITTLE)
    brittle = _number(named_brittle)
    return TargetResponse(
        status=head.status,
        matches_request=not echoed or echoed == request_id,
        is_signed=head.get(_STAMP) != b'',
        is_not_run=is_misdirected or head.get(_NOT_RUN) != b'',
        is_misdirected=is_misdirected,
        target=head.get(b'x-instance-id').decode('latin-1'),
        load=load,
        limit=limit,
        has_invalid_limit=named_limit != b'' and limit is None,
        is_leaving=head.get(_LEAVING) == b'1',
        pause=_pause(head),
        brittle=brittle,
        has_invalid_brittle=named_brittle != b'' and brittle is None,
        names_request=echoed != '' and echoed == request_id,
        has_invalid_load=named_load != b'' and load is None,
    )


def response_headers(head: ResponseHead) -> Headers:
    """Return the headers of a response that are passed to the caller."""
    dropped = _HOP_HEADERS | _named_hop_headers(head.headers)
    kept = (dropped - {_STAMP, _REQUEST_ID}) | {_NOT_RUN}
    return [each for each in head.headers if each[0] not in kept]


def own_response_headers(request_id: str, retry_after: float) -> Headers:
    """Return the headers of a response of the instance itself."""
    headers: Headers = []
    if request_id:
        headers.append((_REQUEST_ID, request_id.encode('latin-1')))
    if retry_after > 0:
        headers.append((b'retry-after', b'%.2f' % retry_after))
    return headers


def order_request(
    order: Order,
    target: str,
    holder: str,
    fencing: int,
    host: str,
) -> bytes:
    """Encode an order to an engine."""
    fields = {
        'op': order.kind.value,
        'model': order.model,
        'expected': order.expected,
        'holder': holder,
        'fence': fencing,
    }
    if order.adapter:
        fields['adapter'] = order.adapter
    if order.version:
        fields['version'] = order.version
    body = msgspec.json.encode(fields)
    head = (
        'POST /v1/order HTTP/1.1\r\n'
        f'Host: {host}\r\n'
        f'X-Expect-Instance: {target}\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


def report_request(target: str, host: str) -> bytes:
    """Encode a request for an engine's report."""
    return (
        'GET /v1/report HTTP/1.1\r\n'
        f'Host: {host}\r\n'
        f'X-Expect-Instance: {target}\r\n\r\n'
    ).encode()


def order_result(status: int) -> OrderResult:
    """Decode the status of the response to an order."""
    if status == 202:
        return OrderResult.accepted
    if status == 200:
        return OrderResult.holds
    if status == 409:
        return OrderResult.conflict
    return OrderResult.rejected


def _own_headers(fields: HopFields) -> Headers:
    left = max(1, int(fields.time_left * _MILLISECONDS))
    headers: Headers = [
        (_DEADLINE, b'%d' % left),
        (b'x-expect-instance', fields.target.encode('latin-1')),
    ]
    if fields.workspace:
        headers.append((b'x-tenant', fields.workspace.encode('latin-1')))
    if fields.version:
        headers.append((b'x-expect-version', b'%d' % fields.version))
    if fields.priority is not None:
        priority = min(max(0, fields.priority), _LOWEST_PRIORITY)
        headers.append((b'x-request-priority', b'%d' % priority))
    if fields.last_event:
        headers.append((_LAST_EVENT, fields.last_event.encode('latin-1')))
    return headers


def _named_hop_headers(headers: Headers) -> frozenset[bytes]:
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b'connection'
        for token in value.split(b',')
    }
    return frozenset(named) - _KEPT_HEADERS


def _text(headers: Headers, name: bytes) -> str:
    return header_value(headers, name).decode('latin-1').strip()


def _milliseconds(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number / _MILLISECONDS if 0 < number <= MAX_AMOUNT else None


def _demand(prompt: str, output: str) -> Demand | None:
    prompt_tokens = _tokens(prompt.strip())
    output_tokens = _tokens(output.strip())
    if prompt_tokens is None or output_tokens is None:
        return None
    return Demand(prompt_tokens, output_tokens)


def _tokens(text: str) -> int | None:
    count = parse_count(text)
    return None if count is None or count > MAX_COUNT else count


def _parts(text: str) -> tuple[tuple[str, int], ...]:
    found: list[tuple[str, int]] = []
    for each in text.split(','):
        part, _, tokens = each.strip().partition(':')
        count = _tokens(tokens)
        if not part or count is None:
            return tuple(found)
        found.append((part, count))
    return tuple(found)


def _load(reported: bytes) -> TargetLoadReport | None:
    """Decode running, waiting, slots and, if given, percent of usual time."""
    counts = [
        parse_count(each.strip())
        for each in reported.decode('latin-1').split(',')
    ]
    match counts:
        case [int(running), int(waiting), int(slots)]:
            return TargetLoadReport(running, waiting, slots)
        case [int(running), int(waiting), int(slots), int(percent)]:
            # No work takes no time; 0 would make a target look infinitely fast.
            if percent > 0:
                slowdown = percent / _PERCENT
                return TargetLoadReport(running, waiting, slots, slowdown)
    return None


def _pause(head: ResponseHead) -> float:
    if head.status != _UNAVAILABLE:
        return 0
    return _number(head.get(_RETRY_AFTER)) or 0


def _number(text: bytes) -> float | None:
    """Return a number within the bounds of amounts."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number <= MAX_AMOUNT else None
