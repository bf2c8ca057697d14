"""Routes of the callers' API."""

from starlette.applications import Starlette
from starlette.routing import Route

from mintlanding.configuration.keys import KeyHasher
from mintlanding.engines.headers import CredentialFilter
from mintlanding.entry.authentication import Authenticator, KeyNames
from mintlanding.entry.completions import CompletionEndpoint
from mintlanding.entry.context import EntryContext
from mintlanding.entry.dispatch import Dispatcher
from mintlanding.entry.endpoint import EndpointContext
from mintlanding.entry.fallback import (
    FallbackEndpoint,
    HealthEndpoint,
    MethodEndpoint,
)
from mintlanding.entry.model_list import ModelListEndpoint
from mintlanding.entry.services import ServiceEndpoint

KEY_HEADERS = ('x-api-key', 'api-key')


def build_app(context: EntryContext, dispatcher: Dispatcher) -> Starlette:
    """Return the ASGI application of the callers' API."""
    names = KeyNames(
        KEY_HEADERS,
        tuple(context.entry.key_query_names),
        tuple(context.entry.key_cookie_names),
    )
    shared = EndpointContext(
        _build_authenticator(context, names),
        context.requests,
        context.metrics,
    )
    completions = MethodEndpoint(
        shared,
        CompletionEndpoint(shared, context, dispatcher),
        'POST',
    )
    models = MethodEndpoint(
        shared,
        ModelListEndpoint(shared, context.view),
        'GET',
    )
    credentials = CredentialFilter.from_config(
        KEY_HEADERS,
        names.cookies,
        names.queries,
    )
    services = ServiceEndpoint(shared, context, credentials)
    app = Starlette(
        routes=[
            Route('/v1/completions', completions),
            Route('/v1/chat/completions', completions),
            Route('/v1/models', models),
            Route('/services/{service}/{path:path}', services),
            Route('/healthz', HealthEndpoint(shared, context.view)),
        ],
    )
    app.router.redirect_slashes = False
    app.router.default = FallbackEndpoint(shared)
    return app


def _build_authenticator(
    context: EntryContext,
    names: KeyNames,
) -> Authenticator:
    return Authenticator(
        context.view,
        KeyHasher.from_config([context.cfg.key_pepper]),
        names,
        context.cfg.staleness.refuse_after,
    )
