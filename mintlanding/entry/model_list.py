"""`GET /v1/models`: the adapters that a key may use."""

from mintlanding.configuration.models import Adapter
from mintlanding.core.results import Failed
from mintlanding.entry.endpoint import Endpoint, EndpointParts
from mintlanding.entry.exchange import Exchange
from mintlanding.entry.view import EntryView

OK_STATUS = 200


class ModelListEndpoint(Endpoint):
    """List own and shared adapters in the shape OpenAI clients read."""

    def __init__(self, shared: EndpointParts, view: EntryView) -> None:
        """Look at the view."""
        super().__init__(shared)
        self._view = view

    async def serve(self, exchange: Exchange) -> None:
        """Answer with the list."""
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
