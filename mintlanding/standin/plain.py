"""Stand-in for a plain service; it records every call."""

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from mintlanding.standin.base import KINDS, Standin, reply_json
from mintlanding.standin.records import Record

_METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']
_RECORDED_BODY_BYTES = 512


class _OrderBody(msgspec.Struct):
    """Body of an order; its id counts how often it ran."""

    id: str | int = ''  # noqa: WPS125


@KINDS.register('plain')
class PlainStandin(Standin):
    """Echo what arrived, and count orders by id."""

    def routes(self) -> list[BaseRoute]:
        """Return a route for all paths and methods."""
        return [Route('/{path:path}', self._call, methods=_METHODS)]

    async def _call(self, req: Request) -> Response:
        body = await req.body()
        order = _order_id(body)
        self.records.add(
            Record(
                'call',
                request_id=req.headers.get('x-request-id', ''),
                method=req.method,
                path=req.url.path,
                headers=tuple(sorted(set(req.headers.keys()))),
                query=tuple(sorted(set(req.query_params.keys()))),
                body=body[:_RECORDED_BODY_BYTES].decode(errors='replace'),
                detail=order,
            ),
        )
        if order:
            self.records.count(f'order {order}')
        if self.faults.garbage:
            return Response(b'\x00garbage', 200, media_type='text/plain')
        return reply_json(
            {
                'method': req.method,
                'path': req.url.path,
                'order': order,
                'bytes': len(body),
            },
            int(req.query_params.get('status', '200')),
        )


def _order_id(body: bytes) -> str:
    try:
        return str(msgspec.json.decode(body, type=_OrderBody).id)
    except msgspec.DecodeError:
        return ''
