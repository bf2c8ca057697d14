from pathlib import Path

import schemathesis
from hypothesis import settings
from schemathesis.checks import CHECKS, load_all_checks

from mintlanding.admin.objects import COLLECTIONS
from mintlanding.admin.openapi import describe_api
from mintlanding.admin.operations import OPERATIONS
from mintlanding.admin.ports import DaemonStatus
from mintlanding.admin.tests.conftest import TOKEN, AdminClient, Fleet
from mintlanding.core.checks import CHECKS as CHECK_FUNCTIONS

# Schemas cannot express references between objects, label selectors and
# versions, so the API may refuse an input that fits its schema.
_EXCLUDED_CHECKS = ('positive_data_acceptance',)

load_all_checks()
_CLIENT = AdminClient(Fleet(DaemonStatus('i1', 'a', 'live', 1)))
_SCHEMA = schemathesis.openapi.from_asgi('/openapi.json', _CLIENT.app)


def test_every_operation_is_described():
    paths = describe_api()['paths']
    described = {
        f'{method.upper()} {path}'
        for path, methods in paths.items()
        for method in methods
    }
    assert described == set(OPERATIONS.names())
    ids = [
        operation['operationId']
        for methods in paths.values()
        for operation in methods.values()
    ]
    assert len(ids) == len(set(ids))


def test_reference_page_lists_every_check_and_collection():
    page = (
        Path(__file__).parents[3] / 'docs/reference/admin-api.md'
    ).read_text()
    for name, check in CHECK_FUNCTIONS:
        if name.startswith('configuration.'):
            assert f'| `{check.__doc__[:4]}` |' in page
    for collection, kind in COLLECTIONS.items():
        assert f'| `/v1/{collection}` | `{kind}`' in page


@_SCHEMA.parametrize()
@settings(max_examples=8)
def test_api_conforms_to_its_description(case):
    excluded = [CHECKS.get_one(name) for name in _EXCLUDED_CHECKS]
    case.call_and_validate(
        headers={'Authorization': f'Bearer {TOKEN}'},
        excluded_checks=excluded,
    )
