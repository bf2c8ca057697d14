"""Unknown paths, wrong methods, and the load balancer's health check."""

from mintlanding.core.results import Failed, ResultCode
from mintlanding.entry.endpoint import Endpoint, EndpointContext
from mintlanding.entry.exchange import Exchange
from mintlanding.entry.view import EntryView

OK_STATUS = 200
UNAVAILABLE_STATUS = 503


class FallbackEndpoint(Endpoint):
    """Answer unknown paths with an error in JSON."""

    async def serve(self, exchange: Exchange) -> None:
        """Answer that the route is unknown."""
        await self.fail(
            exchange,
            Failed.of(ResultCode.unknown_route, exchange.path),
        )


class MethodEndpoint(Endpoint):
    """Accept one HTTP method for an endpoint; reject the others."""

    def __init__(self, shared: EndpointContext, inner: Endpoint, method: str):
        """Accept `method` for the endpoint `inner`."""
        super().__init__(shared)
        self._inner = inner
        self._method = method

    async def serve(self, exchange: Exchange) -> None:
        """Serve the accepted method; answer others with an error."""
        if exchange.method == self._method:
            await self._inner.serve(exchange)
            return
        await self.fail(
            exchange,
            Failed.of(ResultCode.method_not_allowed, f'Use {self._method}.'),
        )


class HealthEndpoint(Endpoint):
    """Report to the load balancer whether requests can be served."""

    def __init__(self, shared: EndpointContext, view: EntryView) -> None:
        """Report the readiness of `view`."""
        super().__init__(shared)
        self._view = view

    async def serve(self, exchange: Exchange) -> None:
        """Answer 200 once a configuration has arrived, else 503."""
        is_ready = self._view.is_ready
        await exchange.send_json(
            OK_STATUS if is_ready else UNAVAILABLE_STATUS,
            {
                'ready': is_ready,
                'revision': self._view.directory.revision,
                'stale_seconds': round(self._view.stale_seconds, 1),
            },
        )
