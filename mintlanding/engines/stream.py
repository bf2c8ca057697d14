"""A streamed response of an engine."""

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
_MAX_BUFFERED_BYTES = 1 << 20


class StreamBroken(TargetError):
    """The stream ended before its end marker, or timed out."""


class EngineStream:
    """Complete server-sent events of one response; only the first is parsed.

    `offset` counts the tokens that were forwarded, for a later resume. Closing
    the stream closes the connection; the engine continues until it is told to
    cancel.
    """

    def __init__(
        self, answer: StreamedResponse, silence: float, offset: int
    ) -> None:
        """Wrap an open response; `silence` seconds without bytes break it."""
        self.status = answer.status
        self.headers = answer.headers
        self.is_complete = False
        self._answer = answer
        self._events = self._whole_events()
        self._silence = silence
        self._start = offset
        self._latest = b''
        self._first_events = b''
        self._last_read_at = 0.0
        self._has_timed_out = False
        self._is_reading = True
        self._timer: asyncio.TimerHandle | None = None

    @property
    def offset(self) -> int:
        """Return how many tokens have been forwarded."""
        for line in reversed(self._latest.split(b'\n')):
            number = line.removeprefix(_ID_FIELD).strip()
            if line.startswith(_ID_FIELD) and number.isdigit():
                return int(number)
        return self._start

    async def open(self) -> AnswerHead | None:
        """Read up to the first data; return None if that is the end marker."""
        buffer = b''
        async for events in self._events:
            buffer += events
            payload = _first_data(events)
            if payload is not None:
                self._first_events = buffer
                is_end = payload == b'[DONE]'
                return None if is_end else _decode_head(payload)
        if buffer.replace(_PING, b''):
            raise TargetError('the stream has no data')
        raise StreamBroken('the stream ended before its first data')

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the response; raise StreamBroken when it ends too early."""
        first_events, self._first_events = self._first_events, b''
        if first_events:
            yield self._note(first_events)
        if not self.is_complete:
            async for events in self._events:
                yield self._note(events)
                if self.is_complete:
                    break
        self.close()
        if not self.is_complete:
            raise StreamBroken('the stream ended without its end marker')

    def close(self) -> None:
        """Close the connection."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._answer.close()

    async def _whole_events(self) -> AsyncIterator[bytes]:
        buffer = b''
        loop = asyncio.get_running_loop()
        self._start_timer()
        try:
            async for chunk in self._answer.iter_chunks():
                self._is_reading = False
                buffer += chunk
                end = buffer.rfind(_EVENT_END) + len(_EVENT_END)
                if end >= len(_EVENT_END):
                    yield buffer[:end]
                    buffer = buffer[end:]
                if len(buffer) > _MAX_BUFFERED_BYTES:
                    raise StreamBroken('an event is too large')
                self._is_reading = True
                self._last_read_at = loop.time()
        except ResponseLost as exc:
            reason = (
                'no bytes before the timeout'
                if self._has_timed_out
                else str(exc)
            )
            raise StreamBroken(reason) from exc

    def _note(self, events: bytes) -> bytes:
        end = events.find(_STREAM_END)
        if end >= 0:
            # Some engines send the response twice; drop the second one.
            self.is_complete = True
            events = events[: end + len(_STREAM_END)]
        if _ID_FIELD in events:
            self._latest = events
        return events

    def _start_timer(self) -> None:
        if self._timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._last_read_at = loop.time()
        self._timer = loop.call_later(self._silence, self._check_silence)

    def _check_silence(self) -> None:
        loop = asyncio.get_running_loop()
        remaining = self._last_read_at + self._silence - loop.time()
        if not self._is_reading:
            # The caller reads slowly, which is no fault of the engine.
            remaining = self._silence
        if remaining > 0:
            self._timer = loop.call_later(remaining, self._check_silence)
            return
        self._timer = None
        self._has_timed_out = True
        self._answer.close()


def _first_data(events: bytes) -> bytes | None:
    for line in events.split(b'\n'):
        if line.startswith(_DATA_FIELD):
            return line.removeprefix(_DATA_FIELD).strip()
    return None


def _decode_head(payload: bytes) -> AnswerHead:
    try:
        return msgspec.json.decode(payload, type=AnswerHead)
    except msgspec.DecodeError as exc:
        raise TargetError(f'invalid first event: {exc}') from exc
