"""Call the administration API from the command line."""

import asyncio
import json
import os
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Self
from urllib.parse import quote, urlencode

from mintlanding.cli.exceptions import CommandError, ExitCode
from mintlanding.configuration.write_ids import new_write_id
from mintlanding.core.exceptions import RequestNotSent, ResponseLost
from mintlanding.core.http_client import HttpClient, HttpRequest, HttpResponse
from mintlanding.core.results import Ran, ResultCode

URL_VARIABLE = 'MINTLANDING_ADMIN'
TOKEN_VARIABLE = 'MINTLANDING_TOKEN'  # noqa: S105
DEFAULT_URL = 'http://127.0.0.1:8090'
ANSWER_SECONDS = 60
MAX_SENDS = 3
_FIRST_FAILURE = 400
_EXIT_CODES: dict[int, ExitCode] = {
    ResultCode.operator_unauthorized: ExitCode.unauthorized,
    ResultCode.conflict: ExitCode.conflict,
    ResultCode.object_unknown: ExitCode.unknown_object,
    ResultCode.platform_unavailable: ExitCode.unavailable,
    ResultCode.function_unavailable: ExitCode.not_offered,
}


@dataclass(frozen=True, slots=True, repr=False)
class AdminClient:
    """An operator's connection; the token comes from file or environment."""

    url: str
    token: str

    @classmethod
    def from_environment(
        cls,
        url: str,
        token_file: str,
        environment: Mapping[str, str] = os.environ,
    ) -> Self:
        """Take the address and the token; options go before variables."""
        token = environment.get(TOKEN_VARIABLE, '')
        if token_file:
            token = _read_token(token_file)
        if not token:
            raise CommandError(
                ExitCode.usage,
                'no operator token is set',
                f'set {TOKEN_VARIABLE} or give --token-file',
            )
        found = url or environment.get(URL_VARIABLE, '') or DEFAULT_URL
        return cls(found.rstrip('/'), token)

    def get(self, path: str, **query: Any) -> dict[str, Any]:
        """Read."""
        return self._request('GET', _with_query(path, query))

    def change(
        self,
        method: str,
        path: str,
        body: object = None,
        version: int | None = None,
        query: Mapping[str, Any] | None = None,
    ) -> dict[str, Any]:
        """Write under one write id, so that a repeat takes effect once."""
        headers = [('Write-Id', new_write_id(time.time()))]
        if version is not None:
            headers.append(('If-Match', f'"{version}"'))
        return self._request(
            method, _with_query(path, query or {}), body, headers
        )

    def call_once(self, method: str, path: str, body: object) -> dict[str, Any]:
        """Write what cannot be repeated."""
        return self._request(method, path, body, sends=1)

    def pages(self, path: str, **query: Any) -> Iterator[dict[str, Any]]:
        """Go through all pages of a list."""
        cursor = ''
        while True:
            page = self.get(path, cursor=cursor, **query)
            yield page
            cursor = page['next_cursor']
            if not cursor:
                return

    def _request(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: list[tuple[str, str]] | None = None,
        sends: int = MAX_SENDS,
    ) -> dict[str, Any]:
        content = b'' if body is None else json.dumps(body).encode()
        call = HttpRequest(
            method,
            f'{self.url}{path}',
            [
                ('Authorization', f'Bearer {self.token}'),
                ('Content-Type', 'application/json'),
                *(headers or []),
            ],
            content,
            response_timeout=ANSWER_SECONDS,
        )
        return _parse(asyncio.run(self._send(call, sends)))

    async def _send(self, call: HttpRequest, sends: int) -> HttpResponse:
        client = HttpClient.from_config()
        try:
            return await self._send_until_answered(client, call, sends)
        finally:
            await client.close()

    async def _send_until_answered(
        self,
        client: HttpClient,
        call: HttpRequest,
        sends: int,
    ) -> HttpResponse:
        for left in reversed(range(sends)):
            try:
                return await client.call(call)
            except RequestNotSent as exc:
                raise self._unreachable(exc) from exc
            except ResponseLost as lost:
                if not left:
                    raise _outcome_unknown(lost) from lost
        raise AssertionError('at least one send')

    def _unreachable(self, exc: Exception) -> CommandError:
        return CommandError(
            ExitCode.unavailable,
            f'cannot reach {self.url}: {exc}',
            f'set {URL_VARIABLE} or --url to the administration API',
        )


def object_path(collection: str, name: str) -> str:
    """Return the path of one object."""
    return f'/v1/{collection}/{quote(name, safe="@")}'


def _outcome_unknown(exc: Exception) -> CommandError:
    return CommandError(
        ExitCode.outcome_unknown,
        f'no whole answer came: {exc}',
        'the change may have taken effect: look with `mintlanding history`',
    )


def _read_token(path: str) -> str:
    try:
        return Path(path).read_text(encoding='utf-8').strip()
    except (OSError, UnicodeDecodeError) as exc:
        raise CommandError(
            ExitCode.usage,
            f'cannot read the token: {exc}',
            'name a file that holds the operator token only',
        ) from exc


def _with_query(path: str, query: Mapping[str, Any]) -> str:
    kept = {
        name: held for name, held in query.items() if held not in {'', None}
    }
    return f'{path}?{urlencode(kept)}' if kept else path


def _parse(answer: HttpResponse) -> dict[str, Any]:
    try:
        found = json.loads(answer.body)
    except ValueError as exc:
        raise _foreign_answer(answer) from exc
    if not isinstance(found, dict):
        raise _foreign_answer(answer)
    if answer.status >= _FIRST_FAILURE:
        raise _refused(answer, found)
    return found


def _refused(answer: HttpResponse, found: dict[str, Any]) -> CommandError:
    error = found.get('error')
    if not isinstance(error, dict) or 'message' not in error:
        return _foreign_answer(answer)
    details = [
        f'  {each["place"]}: {each["message"]} (hint: {each["hint"]})'
        for each in error.get('mistakes', ())
    ]
    exit_code = _EXIT_CODES.get(int(error.get('code', 0)), ExitCode.refused)
    if error.get('ran') == Ran.unknown:
        exit_code = ExitCode.outcome_unknown
    head = error['message']
    if details and error.get('mistakes'):
        head = f'refused, {len(error["mistakes"])} mistake(s)'
    return CommandError(
        exit_code,
        f'{head} [{error.get("code")} {error.get("type")}]',
        error.get('hint', ''),
        details,
    )


def _foreign_answer(answer: HttpResponse) -> CommandError:
    return CommandError(
        ExitCode.unavailable,
        f'the answer (HTTP {answer.status}) is not from mintlanding',
        f'point {URL_VARIABLE} at the administration API',
    )
