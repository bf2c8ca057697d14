"""An answer of an engine that is handed on as it comes."""

import asyncio
from collections.abc import AsyncIterator

import msgspec

from mintlanding.core.exceptions import ResponseLost, TargetError
from mintlanding.core.http_client import StreamedResponse
from mintlanding.engines.messages import AnswerHead

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
_DATA_FIELD = b'data:'
_PING = b': ping\n\n'
_STREAM_END = b'data: [DONE]\n\n'
_MAX_HELD_BYTES = 1 << 20


class StreamBroken(TargetError):
    """The stream ended before its end marker, or went silent."""


class EngineStream:
    """Whole server-sent events of one answer, unparsed after the first.

    `offset` counts the tokens handed on, for a resume elsewhere. Closing it
    cuts the connection; the engine goes on until it is told to cancel.
    """

    def __init__(
        self, answer: StreamedResponse, silence: float, offset: int
    ) -> None:
        """Take an open answer; `silence` seconds without bytes break it."""
        self.status = answer.status
        self.headers = answer.headers
        self.is_complete = False
        self._answer = answer
        self._events = self._whole_events()
        self._silence = silence
        self._start = offset
        self._latest = b''
        self._first = b''
        self._heard = 0.0
        self._is_silent = False
        self._is_reading = True
        self._timer: asyncio.TimerHandle | None = None

    @property
    def offset(self) -> int:
        """Return how many tokens have been handed on."""
        for line in reversed(self._latest.split(b'\n')):
            number = line.removeprefix(_ID_FIELD).strip()
            if line.startswith(_ID_FIELD) and number.isdigit():
                return int(number)
        return self._start

    async def open(self) -> AnswerHead | None:
        """Read up to the first data; None when the stream is only an end."""
        held = b''
        async for events in self._events:
            held += events
            found = _first_data(events)
            if found is not None:
                self._first = held
                is_end = found == b'[DONE]'
                return None if is_end else _decode_head(found)
        if held.replace(_PING, b''):
            raise TargetError('the stream has no data')
        raise StreamBroken('the stream ended before its first data')

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the answer; raise StreamBroken when it ends too early."""
        first, self._first = self._first, b''
        if first:
            yield self._note(first)
        if not self.is_complete:
            async for events in self._events:
                yield self._note(events)
                if self.is_complete:
                    break
        self.close()
        if not self.is_complete:
            raise StreamBroken('the stream ended without its end marker')

    def close(self) -> None:
        """Cut the connection."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._answer.close()

    async def _whole_events(self) -> AsyncIterator[bytes]:
        held = b''
        loop = asyncio.get_running_loop()
        self._watch()
        try:
            async for piece in self._answer.iter_chunks():
                self._is_reading = False
                held += piece
                end = held.rfind(_EVENT_END) + len(_EVENT_END)
                if end >= len(_EVENT_END):
                    yield held[:end]
                    held = held[end:]
                if len(held) > _MAX_HELD_BYTES:
                    raise StreamBroken('an event is too large')
                self._is_reading = True
                self._heard = loop.time()
        except ResponseLost as exc:
            reason = 'no bytes in time' if self._is_silent else str(exc)
            raise StreamBroken(reason) from exc

    def _note(self, events: bytes) -> bytes:
        end = events.find(_STREAM_END)
        if end >= 0:
            # An engine may answer twice; what follows the end is dropped.
            self.is_complete = True
            events = events[: end + len(_STREAM_END)]
        if _ID_FIELD in events:
            self._latest = events
        return events

    def _watch(self) -> None:
        if self._timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._heard = loop.time()
        self._timer = loop.call_later(self._silence, self._check_silence)

    def _check_silence(self) -> None:
        loop = asyncio.get_running_loop()
        left = self._heard + self._silence - loop.time()
        if not self._is_reading:
            # The reader is slow, not the engine.
            left = self._silence
        if left > 0:
            self._timer = loop.call_later(left, self._check_silence)
            return
        self._timer = None
        self._is_silent = True
        self._answer.close()


def _first_data(events: bytes) -> bytes | None:
    for line in events.split(b'\n'):
        if line.startswith(_DATA_FIELD):
            return line.removeprefix(_DATA_FIELD).strip()
    return None


def _decode_head(found: bytes) -> AnswerHead:
    try:
        return msgspec.json.decode(found, type=AnswerHead)
    except msgspec.DecodeError as exc:
        raise TargetError(f'no answer head: {exc}') from exc
