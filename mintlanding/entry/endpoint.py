"""Base of the callers' endpoints: one exchange, answered exactly once."""

import asyncio
import traceback
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from starlette.types import Receive, Scope, Send

from mintlanding.core.logs import Logger
from mintlanding.core.metrics import Metrics
from mintlanding.core.results import Failed, ResultCode
from mintlanding.entry.authentication import Authenticator
from mintlanding.entry.exchange import CallerVanishedError, Exchange
from mintlanding.entry.open_requests import OpenRequest, OpenRequests

_logger = Logger('entry')


@dataclass(frozen=True, slots=True)
class EndpointParts:
    """What all endpoints share."""

    authenticator: Authenticator
    requests: OpenRequests
    metrics: Metrics


class Endpoint(ABC):
    """An ASGI application for one kind of route.

    The caller's connection is watched while the request runs: a caller that
    leaves ends its request, and so does the withdrawal of its key.
    """

    def __init__(self, shared: EndpointParts) -> None:
        """Take what all endpoints share."""
        self.authenticator = shared.authenticator
        self.requests = shared.requests
        self.metrics = shared.metrics

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one exchange."""
        exchange = Exchange(scope, receive, send)
        try:
            await self.serve(exchange)
        except CallerVanishedError:
            self.metrics.count('entry.callers_vanished')
        except Exception as exc:
            _logger.error('A request failed inside.', **_place(exc))
            await self._fail_safely(exchange, Failed.of(ResultCode.internal))

    @abstractmethod
    async def serve(self, exchange: Exchange) -> None:
        """Answer the exchange."""

    async def fail(self, exchange: Exchange, failure: Failed) -> None:
        """Answer with a failure and count it."""
        self.metrics.count(f'entry.results.{failure.code.name}')
        await exchange.fail(failure)

    async def run_tracked(
        self,
        exchange: Exchange,
        key_id: str,
        work: Callable[[OpenRequest], Awaitable[None]],
    ) -> None:
        """Run the work so that a withdrawal or a hang-up ends it."""
        with self.requests.track(exchange.request_id, key_id) as opened:
            watcher = asyncio.create_task(_watch_caller(exchange, opened))
            try:
                await work(opened)
            except asyncio.CancelledError:
                if not opened.claim_cancellation():
                    raise
                await self._end(exchange, opened)
            finally:
                watcher.cancel()

    async def _end(self, exchange: Exchange, opened: OpenRequest) -> None:
        failure = opened.truthful_failure()
        if failure is None:
            raise CallerVanishedError
        await self.fail(exchange, failure)

    async def _fail_safely(
        self,
        exchange: Exchange,
        failure: Failed,
    ) -> None:
        try:
            await self.fail(exchange, failure)
        except CallerVanishedError:
            self.metrics.count('entry.callers_vanished')


async def _watch_caller(exchange: Exchange, opened: OpenRequest) -> None:
    await exchange.wait_for_disconnect()
    opened.vanish()


def _place(exc: Exception) -> dict[str, str]:
    """Return type and place; the text may hold what a caller sent."""
    frames = traceback.extract_tb(exc.__traceback__)
    place = f'{frames[-1].name}:{frames[-1].lineno}' if frames else ''
    return {'kind': type(exc).__name__, 'place': place}
