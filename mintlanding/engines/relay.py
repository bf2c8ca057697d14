"""Forward a stream, resuming it when its connection breaks."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

from mintlanding.core.results import Done, Failed, Ran
from mintlanding.engines.client import EngineClient, OpenedResponse
from mintlanding.engines.stream import EngineStream, StreamBroken
from mintlanding.placement.messages import AdapterRef

RESUME_PAUSES = (0.0, 0.2, 1.0)


@dataclass(slots=True)
class StreamRelay:
    """One response, resumed at its offset when its connection breaks.

    Each token is forwarded once and in order. `resumes` counts how often the
    stream was resumed.
    """

    client: EngineClient
    opened: OpenedResponse
    ref: AdapterRef
    request_id: str
    resumes: int = 0

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the response; raise StreamBroken if it cannot be resumed."""
        while True:
            try:
                async for chunk in self.opened.chunks():
                    yield chunk
            except StreamBroken as exc:
                await self._resume(exc)
            else:
                return

    async def cancel(self) -> None:
        """Close the stream and cancel the generation on the engine."""
        self.opened.close()
        if not self.opened.is_complete:
            await self.client.cancel(self.request_id)

    async def _resume(self, broken: StreamBroken) -> None:
        self.opened.close()
        offset = self.opened.offset
        for pause in RESUME_PAUSES:
            await asyncio.sleep(pause)
            outcome = await self.client.resume(
                self.ref,
                self.request_id,
                offset,
            )
            if isinstance(outcome, Done):
                self.opened = outcome.value
                self.resumes += 1
                return
            if _is_final(outcome):
                break
        raise StreamBroken(f'cannot resume at token {offset}: {broken}')


def is_stream(opened: OpenedResponse) -> bool:
    """Return whether a response is a stream of events."""
    return isinstance(opened, EngineStream)


def _is_final(outcome: Failed) -> bool:
    # The engine no longer knows the stream, so that a retry cannot help.
    return outcome.ran is Ran.not_run and outcome.detail == 'unknown_stream'
