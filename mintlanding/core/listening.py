"""Listen at an address, and say which one if it is not available."""

import asyncio
import os
from collections.abc import Callable

from mintlanding.core.exceptions import AddressNotAvailable
from mintlanding.core.logs import Logger

# Connections that wait to be accepted.
_BACKLOG = 100


async def listen(
    make_protocol: Callable[[], asyncio.BaseProtocol],
    host: str,
    port: int,
    backlog: int = _BACKLOG,
) -> asyncio.Server:
    """Listen; raise AddressNotAvailable if the address cannot be bound."""
    loop = asyncio.get_running_loop()
    try:
        return await loop.create_server(
            make_protocol, host, port, backlog=backlog
        )
    except OSError as exc:
        reason = os.strerror(exc.errno) if exc.errno else str(exc)
        Logger('listener').error(
            'Address not available.', address=f'{host}:{port}', reason=reason
        )
        raise AddressNotAvailable(
            f'cannot listen at {host}:{port}: {reason}; end the process that '
            'uses the address, or set another one'
        ) from exc
