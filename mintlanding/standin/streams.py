"""Event stream of one run, starting at an offset."""

import asyncio
from collections.abc import AsyncIterator

from mintlanding.standin.engine_model import Run
from mintlanding.standin.faults import Faults
from mintlanding.standin.response_bodies import GARBAGE, ChunkWriter

_PING = b': ping\n\n'
_END = b'data: [DONE]\n\n'


async def stream_events(
    run: Run,
    offset: int,
    faults: Faults,
    ping_seconds: float,
) -> AsyncIterator[bytes]:
    """Yield an event per token, pings in between, and an end marker.

    A cancelled run's stream ends without its end marker.
    """
    if faults.garbage:
        yield GARBAGE
        return
    writer = ChunkWriter(run, faults)
    sent = offset
    while sent < run.total and not run.cancelled:
        if sent >= run.done:
            if not await _wait_for_change(run, ping_seconds):
                yield _PING
            continue
        ready = range(sent, run.done)
        sent = run.done
        yield b''.join(writer.write(number) for number in ready)
    if run.cancelled and sent < run.total:
        return
    yield _END
    if faults.answer_twice:
        yield b''.join(writer.write(number) for number in range(run.total))
        yield _END


async def _wait_for_change(run: Run, seconds: float) -> bool:
    try:
        async with asyncio.timeout(seconds):
            await run.changed.wait()
    except TimeoutError:
        return False
    return True
