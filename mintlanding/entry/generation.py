"""A generation that runs on a worker under a reservation."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from mintlanding.core.results import Done
from mintlanding.engines.client import EngineClient, OpenedAnswer
from mintlanding.engines.models import GenerateRequest
from mintlanding.engines.stream import StreamBroken

MAX_RESUMES = 3


@dataclass(slots=True)
class Generation:
    """A generation that runs on a worker under a reservation."""

    req: GenerateRequest
    engine: EngineClient
    answer: OpenedAnswer
    worker: str
    stalled: float = 0
    resumes: int = 0
    is_broken: bool = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the answer; a broken stream is resumed at its offset.

        Raises StreamBroken when it cannot be resumed.
        """
        while True:
            try:
                async for chunk in self.answer.chunks():
                    yield chunk
            except StreamBroken:
                await self._resume()
            else:
                return

    async def abandon(self) -> None:
        """Tell the engine that nobody waits for the rest of the answer."""
        self.answer.close()
        if not self.answer.is_complete:
            await self.engine.cancel(self.req.request_id)

    async def _resume(self) -> None:
        offset = self.answer.offset
        while self.resumes < MAX_RESUMES:
            self.resumes += 1
            opened = await self.engine.resume(
                self.req.ref,
                self.req.request_id,
                offset,
            )
            if isinstance(opened, Done):
                self.answer = opened.value
                return
        self.is_broken = True
        raise StreamBroken('the stream could not be resumed')
