"""Client of one plain service, whose calls run at most once."""

from dataclasses import dataclass

from mintlanding.core.exceptions import MintlandingError
from mintlanding.core.http_client import HttpRequest
from mintlanding.core.results import Done, Outcome, ResultCode
from mintlanding.engines import failures
from mintlanding.engines.base import TargetClient
from mintlanding.engines.headers import Headers
from mintlanding.engines.models import PlainAnswer

_LOST_CODES = {
    True: ResultCode.target_interrupted,
    False: ResultCode.outcome_unknown,
}
_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))


@dataclass(frozen=True, slots=True)
class PlainClient(TargetClient):
    """Calls on one service, each on a connection of its own.

    A call that may not be repeated is sent once: unless no connection came
    about, a missing answer is `outcome_unknown`.
    """

    async def call(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        repeatable: bool = False,
    ) -> Outcome[PlainAnswer]:
        """Return the service's answer, whatever its status.

        `path` includes the query. Nothing is sent twice here: a call with a
        safe method, or one that is repeatable, fails with
        `target_interrupted` where another fails with `outcome_unknown`, and
        the caller's retry budget decides.
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
            return failures.of_call(exc, _LOST_CODES[may_repeat])
        return Done(PlainAnswer(answer.status, answer.headers, answer.body))

    async def close(self) -> None:
        """Close what is open."""
        await self.client.close()
