"""OpenAPI description, generated from the operations and their models."""

from typing import Any

from pydantic.json_schema import models_json_schema

import mintlanding
from mintlanding.admin.messages import ErrorAnswer
from mintlanding.admin.operations import OPERATIONS, Operation
from mintlanding.admin.schemas import Schema
from mintlanding.core.results import RESULTS, ResultCode

OPENAPI_VERSION = '3.1.0'
_REFS = '#/components/schemas/{model}'
_JSON = 'application/json'
_PATH_NAME = '^[^/]{1,256}$'

_Document = dict[str, Any]


def describe_api() -> _Document:
    """Return the OpenAPI document of the API."""
    operations = [operation for _, operation in OPERATIONS]
    models: set[type[Schema]] = {ErrorAnswer}
    for each in operations:
        models |= {each.answer, each.query}
        models |= {each.body} if each.body else set()
    ordered = sorted(models, key=lambda model: model.__name__)
    _, definitions = models_json_schema(
        [(model, 'validation') for model in ordered],
        ref_template=_REFS,
    )
    paths: dict[str, _Document] = {}
    for each in operations:
        described = _describe_operation(each, definitions['$defs'])
        paths.setdefault(each.path, {})[each.method.lower()] = described
    return {
        'openapi': OPENAPI_VERSION,
        'info': {
            'title': 'mintlanding administration API',
            'version': mintlanding.__version__,
        },
        'paths': paths,
        'components': {
            'schemas': definitions['$defs'],
            'securitySchemes': {
                'operator': {'type': 'http', 'scheme': 'bearer'},
            },
        },
        'security': [{'operator': []}],
    }


def _describe_operation(
    operation: Operation,
    definitions: _Document,
) -> _Document:
    described: _Document = {
        'summary': operation.summary,
        'operationId': _operation_id(operation),
        'parameters': _parameters(operation, definitions),
        'responses': {
            str(operation.status): {
                'description': 'Done.',
                'content': {_JSON: {'schema': _ref(operation.answer)}},
            },
            **_failures(operation),
        },
    }
    if operation.body is not None:
        described['requestBody'] = {
            'required': True,
            'content': {_JSON: {'schema': _ref(operation.body)}},
        }
    return described


def _parameters(
    operation: Operation,
    definitions: _Document,
) -> list[_Document]:
    found: list[_Document] = [
        {
            'name': name,
            'in': 'path',
            'required': True,
            'schema': {'type': 'string', 'pattern': _PATH_NAME},
        }
        for name in operation.names
    ]
    query = definitions[operation.query.__name__]
    for name, schema in query.get('properties', {}).items():
        found.append(
            {
                'name': name,
                'in': 'query',
                'required': name in query.get('required', ()),
                'schema': schema,
            },
        )
    if operation.is_conditional:
        found.append(
            {
                'name': 'If-Match',
                'in': 'header',
                'description': 'The version that was read.',
                'schema': {'type': 'string', 'pattern': '^"[0-9]{1,15}"$'},
            },
        )
    return found


def _failures(operation: Operation) -> _Document:
    codes = {
        ResultCode.operator_unauthorized,
        ResultCode.missing_field,
        ResultCode.unknown_route,
        ResultCode.internal,
        ResultCode.function_unavailable,
        ResultCode.platform_unavailable,
        ResultCode.conflict,
    }
    if operation.body is not None:
        codes |= {
            ResultCode.malformed_json,
            ResultCode.wrong_content_type,
            ResultCode.body_too_large,
            ResultCode.body_timeout,
        }
    statuses: dict[int, list[str]] = {}
    for code in sorted(codes):
        statuses.setdefault(RESULTS[code].status, []).append(code.name)
    return {
        str(status): {
            'description': 'Refused, for example: {0}.'.format(
                ', '.join(names),
            ),
            'content': {_JSON: {'schema': _ref(ErrorAnswer)}},
        }
        for status, names in sorted(statuses.items())
    }


def _ref(model: type[Schema]) -> _Document:
    return {'$ref': _REFS.format(model=model.__name__)}


def _operation_id(operation: Operation) -> str:
    words = operation.path.replace('{', '').replace('}', '').split('/')[2:]
    joined = '_'.join(words).replace('-', '_')
    return f'{operation.method.lower()}_{joined}'
