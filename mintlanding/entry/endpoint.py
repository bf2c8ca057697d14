"""Base class of the callers' endpoints."""

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
from mintlanding.entry.exchange import CallerDisconnectedError, Exchange
from mintlanding.entry.open_requests import OpenRequest, OpenRequests

_logger = Logger('entry')


@dataclass(frozen=True, slots=True)
class EndpointContext:
    """Components that all endpoints share."""

    authenticator: Authenticator
    requests: OpenRequests
    metrics: Metrics


class Endpoint(ABC):
    """An ASGI application for one kind of route; answers exactly once.

    The caller's connection is watched while the request runs. The request is
    cancelled when the caller disconnects or its key is withdrawn.
    """

    def __init__(self, shared: EndpointContext) -> None:
        """Use the components that all endpoints share."""
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
        except CallerDisconnectedError:
            self.metrics.count('entry.callers_vanished')
        except Exception as exc:
            _logger.error(
                'Request failed with an internal error.',
                **_describe_exception(exc),
            )
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
        handler: Callable[[OpenRequest], Awaitable[None]],
    ) -> None:
        """Run the handler; cancel it on a withdrawal or a disconnect."""
        with self.requests.track(exchange.request_id, key_id) as open_request:
            watcher = asyncio.create_task(_watch_caller(exchange, open_request))
            try:
                await handler(open_request)
            except asyncio.CancelledError:
                if not open_request.uncancel_if_ended():
                    raise
                await self._end_exchange(exchange, open_request)
            finally:
                watcher.cancel()

    async def _end_exchange(
        self, exchange: Exchange, open_request: OpenRequest
    ) -> None:
        failure = open_request.build_failure()
        if failure is None:
            raise CallerDisconnectedError
        await self.fail(exchange, failure)

    async def _fail_safely(
        self,
        exchange: Exchange,
        failure: Failed,
    ) -> None:
        try:
            await self.fail(exchange, failure)
        except CallerDisconnectedError:
            self.metrics.count('entry.callers_vanished')


async def _watch_caller(exchange: Exchange, open_request: OpenRequest) -> None:
    await exchange.wait_for_disconnect()
    open_request.disconnect()


def _describe_exception(exc: Exception) -> dict[str, str]:
    """Return type and place; the message may contain what a caller sent."""
    frames = traceback.extract_tb(exc.__traceback__)
    place = f'{frames[-1].name}:{frames[-1].lineno}' if frames else ''
    return {'kind': type(exc).__name__, 'place': place}
