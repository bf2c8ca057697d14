"""Client of one plain service, which sends each request at most once."""

from dataclasses import dataclass

from mintlanding.core.exceptions import MintlandingError
from mintlanding.core.http_client import HttpRequest
from mintlanding.core.results import Done, Outcome, ResultCode
from mintlanding.engines import failures
from mintlanding.engines.base import TargetClient
from mintlanding.engines.headers import Headers
from mintlanding.engines.models import PlainResponse

_LOST_CODES = {
    True: ResultCode.target_interrupted,
    False: ResultCode.outcome_unknown,
}
_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))


@dataclass(frozen=True, slots=True)
class PlainClient(TargetClient):
    """Requests to one service, each on its own connection.

    Nothing is retried here. Without a response, a request that may not be
    repeated fails with `outcome_unknown`, unless no connection was made.
    """

    async def call(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        repeatable: bool = False,
    ) -> Outcome[PlainResponse]:
        """Return the service's response, whatever its status.

        `path` includes the query. Without a response, a request that has a safe
        method or is repeatable fails with `target_interrupted`, any other with
        `outcome_unknown`; the caller decides about a retry.
        """
        may_repeat = repeatable or method in _SAFE_METHODS
        call = HttpRequest(
            method,
            self.url + path,
            headers,
            body,
            self.timeouts.connect,
            self.timeouts.first,
        )
        try:
            answer = await self.client.call(call)
        except MintlandingError as exc:
            return failures.from_call_error(exc, _LOST_CODES[may_repeat])
        return Done(PlainResponse(answer.status, answer.headers, answer.body))

    async def close(self) -> None:
        """Close all connections."""
        await self.client.close()
