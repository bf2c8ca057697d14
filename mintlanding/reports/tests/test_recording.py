"""Rings, top keys, histograms and the gathering over peers."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mintlanding.core.clock import ManualClock, SystemClock
from mintlanding.core.results import Failed, ResultCode
from mintlanding.peers.auth import PeerKeyring
from mintlanding.peers.client import PeerClient
from mintlanding.peers.messages import Empty
from mintlanding.peers.server import PeerServer
from mintlanding.reports.histograms import HistogramSum, decode, percentile
from mintlanding.reports.messages import (
    FLEET_REPORT,
    RECORD_SAMPLES,
    RequestSample,
)
from mintlanding.reports.meters import RequestMeter
from mintlanding.reports.models import ReportSettings
from mintlanding.reports.recorder import Recorder
from mintlanding.reports.rings import CountRing
from mintlanding.reports.samples import SampleBuffer
from mintlanding.reports.service import ReportService
from mintlanding.reports.top_keys import TopKeys


@given(
    st.lists(st.tuples(st.integers(0, 90), st.booleans())), st.integers(0, 200)
)
def test_ring_counts_what_is_young_enough(events, rest):
    ring, now, seen = CountRing(10, 6), 0, []
    for gap, is_bad in events:
        now += gap
        ring.add(is_bad, now)
        seen.append((now // 10, is_bad))
    now += rest
    for buckets in range(1, 7):
        young = [bad for place, bad in seen if place > now // 10 - buckets]
        counts = ring.sum(buckets * 10, now)
        assert (counts.total, counts.bad) == (len(young), sum(young))


@given(st.lists(st.integers(0, 30), max_size=300), st.integers(1, 8))
def test_frequent_key_is_never_missed(keys, size):
    top = TopKeys(size)
    for key in keys:
        top.add(key)
    true = Counter(keys)
    found = {each.key: each for each in top.entries()}
    assert len(found) <= size
    for key, count in true.items():
        if count * size > len(keys):
            assert key in found
    for key, entry in found.items():
        assert entry.count - entry.overcount <= true[key] <= entry.count


@given(st.binary(max_size=200))
def test_broken_histogram_counts_as_empty(raw):
    assert decode(raw) is None or percentile(raw, 50) is not None
    total = HistogramSum()
    total.add(raw)
    assert total.encode() == b'' or decode(raw) is not None


def test_full_buffer_drops_and_says_so():
    buffer = SampleBuffer(2)
    assert buffer.take() is None
    for _ in range(5):
        buffer.add(RequestSample('ws', 'planner'))
    batch = buffer.take()
    assert (len(batch.samples), batch.dropped) == (2, 3)
    assert buffer.take() is None


async def test_fleet_report_adds_up_all_that_answer():
    keyring = PeerKeyring.from_config('i-1', ['a secret of sixteen'])
    peers = PeerClient(keyring)
    clock, addresses, servers = ManualClock(100), ['127.0.0.1:1'], []
    settings = ReportSettings()
    for number in range(2):
        recorder = Recorder(settings, f'i-{number}', 0)
        server = PeerServer(keyring, SystemClock())
        service = ReportService(recorder, peers, lambda: addresses, clock)
        service.add_to(server)
        port = 0
        await server.start('127.0.0.1', port)
        port = server._server._server.sockets[0].getsockname()[1]
        addresses.append(f'127.0.0.1:{port}')
        servers.append(server)
    buffer = SampleBuffer()
    buffer.add(RequestSample('ws', 'planner', is_available=False))
    for address in addresses[1:]:
        batch = buffer.take() or _one_more(buffer)
        await peers.call(address, RECORD_SAMPLES, batch, 5)
    snapshot = await peers.call(addresses[1], FLEET_REPORT, Empty(), 10)
    peers.close()
    for server in servers:
        await server.stop()
    assert snapshot.remembered == {'i-0': 100, 'i-1': 100}
    assert snapshot.missing == ('127.0.0.1:1',)
    counts = snapshot.series[0].windows['5m']
    assert (counts.total, counts.bad) == (2, 2)


def _one_more(buffer):
    buffer.add(RequestSample('ws', 'planner', is_available=False))
    return buffer.take()


_OUTCOMES = {
    ResultCode.rate_exceeded: (True, True, False),
    ResultCode.idempotency_mismatch: (True, True, False),
    ResultCode.queue_full: (True, True, True),
    ResultCode.limits_unavailable: (True, True, True),
    ResultCode.no_target: (False, False, False),
    ResultCode.target_interrupted: (False, False, False),
    ResultCode.internal: (False, False, False),
}


@pytest.mark.parametrize('code', _OUTCOMES)
def test_failure_is_counted_by_its_code(code):
    samples = SampleBuffer()
    meter = RequestMeter(samples, ManualClock(), 'ws', 'planner', 'tiles')
    meter.fail(Failed.of(code))
    (sample,) = samples.take().samples
    shown = (
        sample.is_available,
        sample.is_refused,
        sample.is_wrongly_refused,
    )
    assert shown == _OUTCOMES[code]
    assert sample.first_token is None


def test_times_of_an_answer_are_taken():
    clock, samples = ManualClock(10), SampleBuffer()
    meter = RequestMeter(samples, clock, 'ws', 'planner', 'tiles')
    clock.advance(0.5)
    meter.note_first_token(stalled=0.25)
    clock.advance(0.9)
    meter.end(tokens=10)
    (sample,) = samples.take().samples
    assert (sample.first_token, sample.load_stall) == (0.5, 0.25)
    assert sample.between_tokens == pytest.approx(0.1)
    assert sample.is_available
