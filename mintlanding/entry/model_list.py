"""`GET /v1/models`: the adapters that a key gives access to."""

from mintlanding.configuration.models import Adapter
from mintlanding.core.results import Failed
from mintlanding.entry.endpoint import Endpoint, EndpointContext
from mintlanding.entry.exchange import Exchange
from mintlanding.entry.view import EntryView

OK_STATUS = 200


class ModelListEndpoint(Endpoint):
    """List own and shared adapters in the format of the OpenAI API."""

    def __init__(self, shared: EndpointContext, view: EntryView) -> None:
        """List the adapters of `view`."""
        super().__init__(shared)
        self._view = view

    async def serve(self, exchange: Exchange) -> None:
        """Send the list of adapters."""
        key = self.authenticator.authenticate(exchange)
        if isinstance(key, Failed):
            await self.fail(exchange, key)
            return
        directory = self._view.directory
        own = directory.adapters_of(key.value.workspace)
        shared = [
            each
            for each in directory.shared_adapters()
            if each.workspace != key.value.workspace
        ]
        listed = [_describe(each) for each in (*own, *shared)]
        await exchange.send_json(OK_STATUS, {'object': 'list', 'data': listed})


def _describe(adapter: Adapter) -> dict[str, object]:
    return {
        'id': adapter.name,
        'object': 'model',
        'created': 0,
        'owned_by': adapter.workspace,
    }
