"""ASGI application of the administration API.

It validates a call, runs its operation and builds the response.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from pydantic import ValidationError
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from mintlanding.admin import changes, fleet, objects
from mintlanding.admin.authentication import OperatorDirectory
from mintlanding.admin.context import AdminContext
from mintlanding.admin.errors import (
    JSON,
    Refusal,
    build_refusal,
    build_validation_refusal,
)
from mintlanding.admin.openapi import describe_api
from mintlanding.admin.operations import OPERATIONS, Call, Operation
from mintlanding.admin.schemas import ObjectSchema, Schema
from mintlanding.core.borders import ValueBounds, border
from mintlanding.core.bounds import MAX_FLOAT
from mintlanding.core.logs import Logger
from mintlanding.core.results import Done, Failed, Outcome, ResultCode

MAX_BODY_BYTES = 32 << 20
BODY_SECONDS = 30
WRITE_ID_HEADER = 'write-id'
OPERATION_MODULES = (changes, fleet, objects)

_METHOD_STATUS = 405
_logger = Logger('admin')

Endpoint = Callable[[Request], Awaitable[Response]]


class AdminEndpoint:
    """Serve the registered operations to operators."""

    def __init__(
        self, context: AdminContext, operators: OperatorDirectory
    ) -> None:
        """Serve the operations on `context` to `operators`."""
        self._context = context
        self._operators = operators

    def build(self) -> Starlette:
        """Return the ASGI application."""
        by_path: dict[str, dict[str, Operation]] = {}
        for _, each in OPERATIONS:
            by_path.setdefault(each.path, {})[each.method] = each
        routes = [
            Route('/openapi.json', self._serve_description, methods=['GET'])
        ]
        routes.extend(
            Route(path, self._build_endpoint(methods), methods=list(methods))
            for path, methods in sorted(by_path.items(), reverse=True)
        )
        return Starlette(
            routes=routes,
            exception_handlers={
                HTTPException: _handle_http_exception,
                Exception: _handle_internal_error,
            },
        )

    def _build_endpoint(self, methods: dict[str, Operation]) -> Endpoint:
        async def endpoint(request: Request) -> Response:
            method = 'GET' if request.method == 'HEAD' else request.method
            return await self._run_operation(methods[method], request)

        return endpoint

    async def _serve_description(self, request: Request) -> Response:
        return JSONResponse(describe_api())

    async def _run_operation(
        self, operation: Operation, request: Request
    ) -> Response:
        header = request.headers.get('authorization', '')
        operator = self._operators.authenticate(header)
        if isinstance(operator, Failed):
            return Refusal(operator).to_response()
        call = await _check_call(operation, request, operator.value)
        if isinstance(call, Refusal):
            return call.to_response()
        answer = await operation.handler(self._context, call)
        if isinstance(answer, Refusal):
            return answer.to_response()
        return _build_response(operation, answer)


async def _check_call(
    operation: Operation,
    request: Request,
    operator: str,
) -> Call | Refusal:
    body: Any = None
    if operation.body is not None:
        received = await _read_body(request)
        if isinstance(received, Failed):
            return Refusal(received)
        parsed = _parse(operation.body, received.value)
        if isinstance(parsed, Refusal):
            return parsed
        body = parsed
    try:
        query = operation.query.model_validate(dict(request.query_params))
    except ValidationError as exc:
        found = build_validation_refusal(exc, 'query')
        failed = found.failure
        failure = Failed.of(ResultCode.missing_field, failed.detail)
        return Refusal(failure, found.mistakes)
    return Call(
        operator,
        dict(request.path_params),
        query,
        body,
        request.headers.get('if-match'),
        request.headers.get(WRITE_ID_HEADER, ''),
    )


async def _read_body(request: Request) -> Outcome[bytes]:
    content_type = request.headers.get('content-type', '')
    if content_type.partition(';')[0].strip().lower() != JSON:
        return Failed.of(ResultCode.wrong_content_type)
    received = bytearray()
    try:
        async with asyncio.timeout(BODY_SECONDS):
            async for chunk in request.stream():
                received += chunk
                if len(received) > MAX_BODY_BYTES:
                    return Failed.of(ResultCode.body_too_large)
    except (TimeoutError, ClientDisconnect):
        return Failed.of(ResultCode.body_timeout)
    return Done(bytes(received))


# Whole numbers are versions and counts; the checks of a change bound amounts.
@border(
    'administration',
    ValidationError,
    ValueBounds(2**53, -MAX_FLOAT, MAX_FLOAT),
)
def decode_body(model: type[Schema], received: bytes) -> Schema:
    """Decode the body of a call; raise ValidationError."""
    return model.model_validate_json(received, strict=True)


def _parse(model: type[Schema], received: bytes) -> Schema | Refusal:
    try:
        return decode_body(model, received)
    except ValidationError as exc:
        return build_validation_refusal(exc, 'body')


def _build_response(operation: Operation, answer: Schema) -> Response:
    headers = {}
    if isinstance(answer, ObjectSchema):
        headers['ETag'] = f'"{answer.version}"'
    return Response(
        answer.model_dump_json(),
        status_code=operation.status,
        media_type=JSON,
        headers=headers,
    )


async def _handle_http_exception(request: Request, exc: Exception) -> Response:
    status = getattr(exc, 'status_code', 0)
    headers = dict(getattr(exc, 'headers', None) or {})
    code = ResultCode.unknown_route
    if status == _METHOD_STATUS:
        code = ResultCode.method_not_allowed
    detail = f'{request.method} {request.url.path}'
    return Refusal(Failed.of(code, detail), headers=headers).to_response()


async def _handle_internal_error(request: Request, exc: Exception) -> Response:
    _logger.error('Operation failed with an internal error.', reason=repr(exc))
    return build_refusal(ResultCode.internal).to_response()
