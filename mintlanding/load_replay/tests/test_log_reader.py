"""Records from log lines: what is recorded, and what is counted instead."""

import json

import pytest
from eliot import MemoryLogger
from eliot.testing import swap_logger

from mintlanding.load_replay.exceptions import RecordError
from mintlanding.load_replay.log_reader import FleetFile, LogReader
from mintlanding.load_replay.models import EngineSpec
from mintlanding.node.request_log import RequestLog
from mintlanding.node.request_plan import RequestPlan
from mintlanding.traffic import models as traffic_models
from mintlanding.traffic.header_fields import CallerFields
from mintlanding.traffic.models import (
    AdapterName,
    Demand,
    Route,
    RouteKind,
    Service,
    Workspace,
)

LINE = {
    'timestamp': 100.5,
    'instance': 'n1',
    'message': 'request: Request ended.',
    'route': 'live',
    'service': 'engines',
    'has_engine': True,
    'outcome': 'served',
    'target': 'e1',
    'adapter': 'secret-adapter',
    'workspace': 'secret-workspace',
    'priority': 1,
    'prompt_tokens': 300,
    'output_tokens': 30,
    'objective': 0.815,
    'deadline': 5.092,
    'seconds': 0.5,
    'request': '',
}


def encode(**changes):
    return json.dumps({**LINE, **changes}).encode()


def read(*lines, fleet=None):
    reader = LogReader(fleet or FleetFile())
    for line in lines:
        reader.read_line(line)
    return reader


def test_arrivals_count_from_the_first_and_are_in_order():
    lines = (encode(timestamp=101.0), encode(seconds=0.75))
    record = read(*lines).make_record()
    assert [each.at_ms for each in record.requests] == [0, 750]


def test_names_become_numbers():
    """A record may be passed on; it must not name customers."""
    record = read(encode(), encode(workspace='w', adapter='')).make_record()
    assert 'secret' not in str(record)
    numbers = [(each.workspace, each.adapter) for each in record.requests]
    assert sorted(numbers) == [(0, 0), (1, -1)]


def test_zones_and_engines_come_from_the_fleet_file():
    engine = EngineSpec('e9', 32, 12, 'z2')
    fleet = FleetFile(engines=(engine,), instance_zones={'n1': 'z1'})
    record = read(encode(), fleet=fleet).make_record()
    assert record.header.engines == (engine,)
    assert record.requests[0].zone == 'z1'


def test_engines_without_a_fleet_file_are_the_targets():
    """A target that ran more than the usual slots has at least as many."""
    busy = [encode(target='e2', service='s2') for _ in range(20)]
    record = read(encode(), *busy).make_record()
    found = [
        (each.name, each.slots, each.service) for each in record.header.engines
    ]
    assert found == [('e1', 12, 'engines'), ('e2', 20, 's2')]
    assert record.header.services == ('engines', 's2')


@pytest.mark.parametrize(
    ('line', 'reason'),
    [
        (b'no braces', 'unreadable'),
        (encode()[:-9], 'unreadable'),
        (b'{"message": "\xff"}', 'unreadable'),
        (encode(prompt_tokens=-4), 'unreadable'),
        (encode(timestamp=1e308, seconds=-1e308), 'unreadable'),
        (encode(deadline=0), 'unreadable'),
        (b'{"message": "request: Request ended."}', 'without_fields'),
        (encode(workspace=None), 'without_fields'),
        (encode(message='request: Request refused.'), 'refused_before_routing'),
        (encode(message='node: Ready.'), 'other'),
        (encode(has_engine=False), 'plain'),
    ],
)
def test_line_that_is_not_recorded_is_counted(line, reason):
    reader = read(line, encode())
    assert getattr(reader.counts, reason) == 1
    assert reader.counts.recorded == 1
    assert len(reader.make_record().requests) == 1


def test_logs_without_requests_are_an_error():
    with pytest.raises(RecordError, match='no request to an engine'):
        read(b'').make_record()


def test_line_of_the_product_has_the_fields_of_a_record():
    """Renaming a field of the log line would empty all records."""

    class Req:
        arrived = 10.0
        is_disconnected = False

    plan = RequestPlan(
        Req(),
        CallerFields('r', 'h', '', None, AdapterName('base', 'a7'), None),
        Route('live', 'h', '/', RouteKind.stream, 5, 0.8, ()),
        Workspace('w', frozenset()),
        Service('engines', engine=traffic_models.EngineSpec(12, 10**6, 8, 0)),
        15.0,
        Demand(300, 30),
        target='e1',
    )
    memory = MemoryLogger()
    previous = swap_logger(memory)
    try:
        RequestLog().ended(plan, 'served', 10.5)
    finally:
        swap_logger(previous)
    (message,) = memory.messages
    reader = read(json.dumps(message).encode())
    (found,) = reader.make_record().requests
    assert (found.prompt_tokens, found.output_tokens) == (300, 30)
    assert (found.objective_ms, found.deadline_ms) == (800, 5000)


def test_lines_of_different_weeks_are_an_error():
    """Their arrivals would exceed the bounds of a record that can be read."""
    with pytest.raises(RecordError, match='span'):
        read(encode(), encode(timestamp=2e6)).make_record()


def test_caller_that_returns_is_one_request_with_its_last_outcome():
    """A replay would otherwise add its own return to each of them."""
    refused = {'request': 'secret', 'outcome': 'not_sent', 'seconds': 0}
    lines = [
        encode(**refused, timestamp=100),
        encode(**refused, timestamp=101),
        encode(**{**refused, 'outcome': 'served'}, timestamp=102),
        # The same id of another workspace, and after the deadline.
        encode(**{**refused, 'workspace': 'w'}, timestamp=101.5),
        encode(**refused, timestamp=110),
    ]
    reader = read(*lines)
    record = reader.make_record()
    found = [(each.at_ms, each.outcome) for each in record.requests]
    assert found == [(0, 'served'), (1500, 'not_sent'), (10_000, 'not_sent')]
    assert (reader.counts.recorded, reader.counts.returns) == (3, 2)
