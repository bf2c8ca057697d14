"""A client of the administration API for the demo."""

import hashlib
from dataclasses import dataclass, field
from typing import Any

import msgspec

from demo.fleet import Fleet
from mintlanding.configuration.models import AnyObject
from mintlanding.core.exceptions import MintlandingError
from mintlanding.core.http_client import HttpClient, HttpRequest

OPERATOR = 'demo'
TOKEN = 'demo-operator-token'  # noqa: S105
APPLY_SECONDS = 60
ERROR_STATUS = 400
OBJECTS_PER_APPLY = 10_000


class OperatorError(MintlandingError):
    """The administration API refused a call."""


def operators() -> dict[str, str]:
    """Return the names and token hashes of operators for the settings."""
    return {OPERATOR: hashlib.sha256(TOKEN.encode()).hexdigest()}


@dataclass(slots=True)
class Operator:
    """Calls the administration API as one operator."""

    fleet: Fleet
    http: HttpClient = field(default_factory=HttpClient.from_config)

    async def apply(self, objects: list[AnyObject]) -> int:
        """Apply objects in batches; return the last revision.

        Each batch takes effect as a whole or not at all.
        """
        revision = 0
        for start in range(0, len(objects), OBJECTS_PER_APPLY):
            batch = objects[start : start + OBJECTS_PER_APPLY]
            bodies = [_as_document(each) for each in batch]
            response = await self.call('POST', '/v1/apply', {'objects': bodies})
            revision = int(response['revision'])
        return revision

    async def grant_key(self, workspace: str) -> tuple[str, str]:
        """Grant a key; return its public id and its text."""
        response = await self.call('POST', '/v1/keys', {'workspace': workspace})
        return str(response['id']), str(response['key'])

    async def withdraw_key(self, key_id: str) -> int:
        """Withdraw a key; return the revision."""
        response = await self.call('POST', f'/v1/keys/{key_id}/withdraw')
        return int(response['revision'])

    async def status(self) -> dict[str, Any]:
        """Return the revision in force at each daemon."""
        return await self.call('GET', '/v1/status')

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
    ) -> dict[str, Any]:
        """Call the API; raise OperatorError for an error status."""
        headers = [
            ('content-type', 'application/json'),
            ('authorization', f'Bearer {TOKEN}'),
        ]
        encoded = b'' if body is None else msgspec.json.encode(body)
        request = HttpRequest(
            method,
            self.fleet.admin_url + path,
            headers,
            encoded,
            response_timeout=APPLY_SECONDS,
        )
        response = await self.http.call(request)
        if response.status >= ERROR_STATUS:
            raise OperatorError(response.body.decode())
        found: dict[str, Any] = msgspec.json.decode(response.body)
        return found


def _as_document(body: AnyObject) -> dict[str, Any]:
    document: dict[str, Any] = msgspec.to_builtins(body)
    document.pop('version', None)
    return document
