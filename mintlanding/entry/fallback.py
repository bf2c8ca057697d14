"""Paths and methods that lead nowhere, and the balancer's health check."""

from mintlanding.core.results import Failed, ResultCode
from mintlanding.entry.endpoint import Endpoint, EndpointParts
from mintlanding.entry.exchange import Exchange
from mintlanding.entry.view import EntryView

OK_STATUS = 200
UNAVAILABLE_STATUS = 503


class FallbackEndpoint(Endpoint):
    """Answer in the one JSON shape of errors."""

    async def serve(self, exchange: Exchange) -> None:
        """Refuse."""
        await self.fail(
            exchange,
            Failed.of(ResultCode.unknown_route, exchange.path),
        )


class MethodEndpoint(Endpoint):
    """Let one method pass to an endpoint; refuse the others."""

    def __init__(self, shared: EndpointParts, inner: Endpoint, method: str):
        """Guard `inner`."""
        super().__init__(shared)
        self._inner = inner
        self._method = method

    async def serve(self, exchange: Exchange) -> None:
        """Pass on or refuse."""
        if exchange.method == self._method:
            await self._inner.serve(exchange)
            return
        await self.fail(
            exchange,
            Failed.of(ResultCode.method_not_allowed, f'Use {self._method}.'),
        )


class HealthEndpoint(Endpoint):
    """Tell the balancer whether requests can be served."""

    def __init__(self, shared: EndpointParts, view: EntryView) -> None:
        """Look at the view."""
        super().__init__(shared)
        self._view = view

    async def serve(self, exchange: Exchange) -> None:
        """Answer 200 once a configuration is here."""
        is_ready = self._view.is_ready
        await exchange.send_json(
            OK_STATUS if is_ready else UNAVAILABLE_STATUS,
            {
                'ready': is_ready,
                'revision': self._view.directory.revision,
                'stale_seconds': round(self._view.stale_seconds, 1),
            },
        )
