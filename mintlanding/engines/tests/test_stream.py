"""Events are forwarded whole, however the bytes are split."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mintlanding.core.exceptions import TargetError
from mintlanding.engines.stream import EngineStream, StreamBroken

_EVENTS = [
    b'id: %d\ndata: {"model":"a@1","id":"r"}\n\n' % n for n in range(1, 9)
]
_END = b'data: [DONE]\n\n'


class _Answer:
    status = 200
    headers = ()
    is_closed = False

    def __init__(self, pieces):
        self._pieces = pieces

    async def iter_chunks(self):
        for piece in self._pieces:
            yield piece

    def close(self):
        self.is_closed = True


async def _relay(pieces):
    stream = EngineStream(_Answer(pieces), 60, 0)
    forwarded = []
    try:
        await stream.open()
        async for chunk in stream.chunks():
            forwarded.append(chunk)
    except StreamBroken:
        return forwarded, stream
    finally:
        stream.close()
    return forwarded, stream


def _cut(raw, places):
    cuts = sorted({0, len(raw), *(place % (len(raw) + 1) for place in places)})
    return [raw[a:b] for a, b in zip(cuts, cuts[1:], strict=False)]


@given(
    st.integers(1, 8),
    st.lists(st.integers(0, 2000), max_size=20),
    st.integers(0, 2000),
    st.booleans(),
)
def test_events_come_whole_and_offset_counts_them(count, places, lost, pings):
    ping = b': ping\n\n' if pings else b''
    whole = b''.join(ping + event for event in _EVENTS[:count])
    raw = (whole + _END)[: len(whole + _END) - lost % len(whole)]
    forwarded, stream = asyncio.run(_relay(_cut(raw, places)))
    out = b''.join(forwarded)
    assert raw.startswith(out)
    assert stream.is_complete == (raw == whole + _END)
    if forwarded:
        assert all(chunk.endswith(b'\n\n') for chunk in forwarded)
        assert stream.offset == out.count(b'id: ')


@given(st.lists(st.integers(0, 2000), max_size=20))
def test_what_follows_the_end_is_dropped(places):
    once = b''.join(_EVENTS) + _END
    forwarded, _ = asyncio.run(_relay(_cut(once + once, places)))
    assert b''.join(forwarded) == once


@pytest.mark.parametrize(
    'pieces',
    [
        [b'data: nonsense\n\n'],
        [b'data: {"id":"r"}\n\n'],
        [b'data: \xff\n\n'],
        [b''],
        [b': ping\n\n'],
        [b'x' * 600_000, b'x' * 600_000],
    ],
)
async def test_invalid_beginning_is_an_error(pieces):
    with pytest.raises(TargetError):
        await EngineStream(_Answer(pieces), 60, 0).open()


async def test_slow_reader_does_not_time_out_the_engine():
    answer = _Answer([*_EVENTS, _END])
    stream = EngineStream(answer, 0.005, 0)
    await stream.open()
    async for _ in stream.chunks():
        await asyncio.sleep(0.012)
        assert not answer.is_closed or stream.is_complete
    assert stream.is_complete
