"""Test that renaming identifiers changes nothing that leaves a process.

Fields of keyed messages, names of tagged classes and members of enumerations
are encoded by name. Renaming them would break instances of another release and
records that are already stored. The expected bytes and results were recorded
once and are not derived from the code. After a rename, change only identifiers
in this file, never a text or a number. A new message needs a sample and its
bytes in the JSON file; the failing test prints them.
"""

import asyncio
import base64
import inspect
import json
import os
import random
import types
import zlib
from collections import Counter
from pathlib import Path

import msgspec
import pytest
from eliot.testing import MemoryLogger, swap_logger

from mintlanding.admin.authentication import hash_token
from mintlanding.agent import lease_client, seats
from mintlanding.agent import messages as agent
from mintlanding.cli.exceptions import ExitCode
from mintlanding.cli.output import Output
from mintlanding.configuration import documents, resolver, topology
from mintlanding.configuration import messages as configuration
from mintlanding.configuration import models as objects
from mintlanding.configuration.directory import Directory
from mintlanding.configuration.keys import KeyHasher
from mintlanding.configuration.labels import Operator
from mintlanding.configuration.proposals import ChangeAction
from mintlanding.coordination.instances import InstanceState
from mintlanding.core import checks, results
from mintlanding.core.logs import BoundedOutput, Logger
from mintlanding.core.results import Done
from mintlanding.entry.bodies import Completion
from mintlanding.http1.models import MessageLimits, ResponseHead
from mintlanding.idempotency import models as orders
from mintlanding.limits import messages as limits
from mintlanding.limits.holders import HolderView, rendezvous
from mintlanding.limits.options import LimitsOptions
from mintlanding.limits.seats import SeatClaims, SeatPlan
from mintlanding.limits.state import loan_digest
from mintlanding.links.mesh import Identity
from mintlanding.membership import messages as membership
from mintlanding.membership.digests import static_checksum
from mintlanding.membership.models import Member, MembershipOptions, MemberState
from mintlanding.membership.neighbours import choose_neighbours
from mintlanding.node import status_exchange
from mintlanding.node import view as node_view
from mintlanding.node.metrics import render_metrics
from mintlanding.node.request_log import RequestLog
from mintlanding.node.request_plan import AttemptResult
from mintlanding.node.settings import (
    Bounds,
    InstanceFacts,
    NodeSettings,
)
from mintlanding.peers import auth
from mintlanding.peers.messages import Empty, Method
from mintlanding.placement import messages as placement
from mintlanding.placement.index import WorkerIndex
from mintlanding.placement.leases import choose_steward
from mintlanding.platform import records, requests
from mintlanding.platform.settings import PlatformSettings, parse_settings
from mintlanding.platform.tests.samples import CONFIG, ENTRY, REPORT, SETTINGS
from mintlanding.reports import messages as reports
from mintlanding.reports.models import Indicator
from mintlanding.residency import messages as residency
from mintlanding.residency import models as stewards
from mintlanding.residency.authority import MemberInfo, preferred_member
from mintlanding.residency.order_history import OrderHistory
from mintlanding.residency.worker_choice import rank_workers
from mintlanding.standin import engine_model as standin
from mintlanding.target_speed.table import SpeedFigures
from mintlanding.traffic import header_fields
from mintlanding.traffic import models as traffic
from mintlanding.traffic.retries import FleetRetryOptions
from tests.wire_samples import MODULES, SAMPLES, UNIONS, VARIANTS

STORED = json.loads(Path(__file__).with_name('wire_samples.json').read_text())
EVERY_SAMPLE = {**SAMPLES, **VARIANTS}
# Bytes of messages that have more fields since, as earlier releases send them.
EARLIER = json.loads(
    Path(__file__).with_name('wire_samples_earlier.json').read_text()
)


def _encode(name, sample):
    """Return the encoding and the bytes in the form of the JSON file."""
    _, encoding = MODULES[name.partition('.')[0]]
    if encoding == 'json':
        return {'json': msgspec.json.encode(sample).decode()}
    packed = msgspec.msgpack.encode(sample)
    return {'msgpack': base64.b64encode(packed).decode()}


def _decode(stored, kind):
    if 'json' in stored:
        return msgspec.json.decode(stored['json'], type=kind)
    packed = base64.b64decode(stored['msgpack'])
    return msgspec.msgpack.decode(packed, type=kind)


def _structs(module):
    return {
        kind
        for _, kind in inspect.getmembers(module, inspect.isclass)
        if issubclass(kind, msgspec.Struct)
        and kind.__module__ == module.__name__
    }


def _decoded_as(kind):
    """Return the type itself and each union that contains it."""
    return [kind, *(each for each in UNIONS if kind in each.__args__)]


@pytest.mark.parametrize('name', EVERY_SAMPLE)
def test_a_sample_is_encoded_to_the_stored_bytes(name):
    assert _encode(name, EVERY_SAMPLE[name]) == STORED.get(name)


@pytest.mark.parametrize('name', EVERY_SAMPLE)
def test_stored_bytes_are_decoded_without_losing_a_field(name):
    sample = EVERY_SAMPLE[name]
    for kind in _decoded_as(type(sample)):
        decoded = _decode(STORED[name], kind)
        assert decoded == sample
        assert type(decoded) is type(sample)
        assert _encode(name, decoded) == STORED[name]


@pytest.mark.parametrize(
    ('name', 'sent'),
    [(name, sent) for name, releases in EARLIER.items() for sent in releases],
)
def test_fields_of_an_earlier_release_keep_their_places(name, sent):
    # An instance of that release reads a longer array up to its own fields,
    # of the message and of the arrays in it.
    packed = base64.b64decode(sent)
    before = msgspec.msgpack.decode(packed)
    decoded = msgspec.msgpack.decode(packed, type=type(EVERY_SAMPLE[name]))
    after = msgspec.msgpack.decode(msgspec.msgpack.encode(decoded))
    _check_places(decoded, after, before)


def _check_places(decoded, after, before):
    """Check that arrays of fields have grown by defaults at the end only."""
    if isinstance(decoded, msgspec.Struct) and isinstance(after, list):
        tags = len(after) - len(msgspec.structs.fields(decoded))
        assert after[:tags] == before[:tags]
        for number, field in enumerate(msgspec.structs.fields(decoded), tags):
            if number < len(before):
                found = getattr(decoded, field.name)
                _check_places(found, after[number], before[number])
            else:
                assert getattr(decoded, field.name) == _default(field)
    elif isinstance(decoded, list | tuple):
        assert len(after) == len(before) == len(decoded)
        for each in zip(decoded, after, before, strict=True):
            _check_places(*each)
    else:
        assert after == before


def _default(field):
    if field.default_factory is not msgspec.NODEFAULT:
        return field.default_factory()
    return field.default


@pytest.mark.parametrize('name', SAMPLES)
def test_a_sample_has_no_field_at_its_default(name):
    sample = SAMPLES[name]
    for field in msgspec.structs.fields(sample):
        assert getattr(sample, field.name) != _default(field), field.name


def test_every_stored_sample_is_compared():
    assert set(STORED) == set(EVERY_SAMPLE)


@pytest.mark.parametrize('name', MODULES)
def test_every_struct_of_a_module_has_a_sample(name):
    module, _ = MODULES[name]
    sampled = {type(each) for each in SAMPLES.values()}
    # A base class, which is never sent itself.
    bases = {kind.__base__ for kind in _structs(module)}
    assert _structs(module) - bases - sampled == set()


def test_an_envelope_holds_every_message_of_the_limits():
    held = {type(each) for each in SAMPLES['limits.Envelope'].messages}
    assert held == set(limits.LimitsMessage.__args__)


METHODS = [
    (
        limits.DELIVER,
        '/mintlanding.Limits/Deliver',
        limits.Envelope,
        limits.Delivered,
        False,
    ),
    (
        membership.HEARTBEAT,
        '/mintlanding.membership/Exchange',
        membership.Heartbeat,
        membership.Heartbeat,
        False,
    ),
    (
        agent.WATCH_VIEW,
        '/mintlanding.agent/watch_view',
        agent.ViewRequest,
        agent.ViewUpdate,
        True,
    ),
    (
        agent.RESERVE_TOKENS,
        '/mintlanding.limits/reserve',
        agent.TokenRequest,
        agent.TokenReply,
        False,
    ),
    (
        agent.SETTLE_TOKENS,
        '/mintlanding.limits/settle',
        agent.SettleRequest,
        Empty,
        False,
    ),
    (
        agent.RESERVE_WORKER,
        '/mintlanding.placement/reserve',
        placement.ReserveRequest,
        placement.ReserveReply,
        False,
    ),
    (
        agent.RELEASE_WORKER,
        '/mintlanding.placement/release',
        placement.ReleaseRequest,
        Empty,
        False,
    ),
    (
        agent.REPORT_PINS,
        '/mintlanding.placement/report_pins',
        placement.PinReport,
        Empty,
        False,
    ),
    (
        agent.READ_FLEET,
        '/mintlanding.agent/read_fleet',
        Empty,
        agent.FleetStatus,
        False,
    ),
    (
        agent.LEAVE,
        '/mintlanding.agent/leave',
        agent.LeaveRequest,
        agent.LeaveReply,
        False,
    ),
    (
        configuration.ANNOUNCE,
        '/mintlanding.configuration/Announce',
        configuration.Announcement,
        configuration.AnnounceReply,
        False,
    ),
    (
        configuration.FETCH,
        '/mintlanding.configuration/Fetch',
        configuration.FetchRequest,
        configuration.DeltaPart,
        True,
    ),
    (
        reports.RECORD_SAMPLES,
        '/mintlanding.Reports/RecordSamples',
        reports.SampleBatch,
        Empty,
        False,
    ),
    (
        reports.REPORT,
        '/mintlanding.Reports/Report',
        Empty,
        reports.Snapshot,
        False,
    ),
    (
        reports.FLEET_REPORT,
        '/mintlanding.Reports/FleetReport',
        Empty,
        reports.Snapshot,
        False,
    ),
]


@pytest.mark.parametrize(
    ('method', 'path', 'request_type', 'reply_type', 'streaming'),
    METHODS,
    ids=[path for _, path, *_ in METHODS],
)
def test_a_method_keeps_its_path_and_types(
    method, path, request_type, reply_type, streaming
):
    assert method.path == path
    assert method.request is request_type
    assert method.reply is reply_type
    assert method.streaming is streaming


def test_every_method_is_compared():
    found = [
        each
        for module, _ in MODULES.values()
        for each in vars(module).values()
        if isinstance(each, Method)
    ]
    assert {each.path for each in found} == {path for _, path, *_ in METHODS}


# Members on the left, which follow a rename; encoded values on the right.
VALUES = [
    (residency.GrantOutcome.served, 'served'),
    (residency.GrantOutcome.failed, 'failed'),
    (residency.GrantOutcome.not_ready, 'not_ready'),
    (residency.GrantOutcome.missing, 'missing'),
    (residency.GrantOutcome.full, 'full'),
    (residency.GrantOutcome.unused, 'unused'),
    (placement.Priority.interactive, 0),
    (placement.Priority.batch, 1),
    (MemberState.live, 'live'),
    (MemberState.leaving, 'leaving'),
    (MemberState.silent, 'silent'),
    (MemberState.gone, 'gone'),
    (InstanceState.live, 'live'),
    (InstanceState.leaving, 'leaving'),
    (orders.IdempotencyState.claimed, 'claimed'),
    (orders.IdempotencyState.done, 'done'),
    (orders.IdempotencyState.unknown, 'unknown'),
    (results.Ran.not_run, 'not_run'),
    (results.Ran.ran, 'ran'),
    (results.Ran.unknown, 'unknown'),
    (checks.Level.warning, 'warning'),
    (checks.Level.error, 'error'),
    (ChangeAction.create, 'create'),
    (ChangeAction.update, 'update'),
    (ChangeAction.delete, 'delete'),
    (ChangeAction.unchanged, 'unchanged'),
    (Operator.include, 'in'),
    (Operator.exclude, 'notin'),
    (Operator.exists, 'exists'),
    (Operator.absent, 'absent'),
    (Indicator.availability, 'availability'),
    (Indicator.first_token, 'first_token'),
    (Indicator.between_tokens, 'between_tokens'),
    (Indicator.load_stall, 'load_stall'),
    (Indicator.wrongful_refusal, 'wrongful_refusal'),
    (ExitCode.done, 0),
    (ExitCode.refused, 1),
    (ExitCode.usage, 2),
    (ExitCode.conflict, 3),
    (ExitCode.unknown_object, 4),
    (ExitCode.unavailable, 5),
    (ExitCode.not_offered, 6),
    (ExitCode.unauthorized, 7),
    (ExitCode.outcome_unknown, 8),
    (ExitCode.differs, 10),
    (ExitCode.not_in_force, 11),
    (ExitCode.interrupted, 130),
    (Output.table, 'table'),
    (Output.json, 'json'),
    (AttemptResult.done, 'done'),
    (AttemptResult.not_sent, 'not_sent'),
    (AttemptResult.not_run, 'not_run'),
    (AttemptResult.missing, 'missing'),
    (AttemptResult.failed, 'failed'),
    (AttemptResult.lost, 'lost'),
    (AttemptResult.late, 'late'),
    (AttemptResult.broken, 'broken'),
    (AttemptResult.quarantined, 'quarantined'),
    (AttemptResult.no_turn, 'no_turn'),
    (AttemptResult.stopping, 'stopping'),
    (AttemptResult.gone, 'gone'),
    (traffic.RouteKind.safe, 'safe'),
    (traffic.RouteKind.unsafe, 'unsafe'),
    (traffic.RouteKind.stream, 'stream'),
    (stewards.OrderKind.load, 'load'),
    (stewards.OrderKind.unload, 'unload'),
    (stewards.OrderResult.accepted, 'accepted'),
    (stewards.OrderResult.holds, 'holds'),
    (stewards.OrderResult.conflict, 'conflict'),
    (stewards.OrderResult.rejected, 'rejected'),
    (stewards.OrderResult.not_sent, 'not_sent'),
    (stewards.OrderResult.lost, 'lost'),
    (standin.OrderResult.done, 'done'),
    (standin.OrderResult.old_fencing, 'old_fencing'),
    (standin.OrderResult.no_free_slot, 'no_free_slot'),
    (standin.OrderResult.adapter_running, 'adapter_running'),
    (standin.OrderResult.load_failed, 'load_failed'),
]


@pytest.mark.parametrize(('member', 'written'), VALUES)
def test_a_member_of_an_enumeration_is_written_as_before(member, written):
    assert member.value == written


def test_every_member_of_the_enumerations_is_compared():
    for kind in {type(member) for member, _ in VALUES}:
        compared = [member for member, _ in VALUES if type(member) is kind]
        assert compared == list(kind)


# The name of a code appears in the bodies of errors and in metrics.
RESULT_CODES = [
    (101, 'malformed_json', 400, 'not_run'),
    (102, 'wrong_content_type', 415, 'not_run'),
    (103, 'body_too_large', 413, 'not_run'),
    (104, 'header_too_large', 431, 'not_run'),
    (105, 'body_timeout', 408, 'not_run'),
    (106, 'unknown_route', 404, 'not_run'),
    (107, 'missing_field', 422, 'not_run'),
    (108, 'method_not_allowed', 405, 'not_run'),
    (201, 'key_missing', 401, 'not_run'),
    (202, 'key_malformed', 401, 'not_run'),
    (203, 'key_unknown', 401, 'not_run'),
    (204, 'key_withdrawn', 401, 'not_run'),
    (205, 'workspace_forbidden', 403, 'not_run'),
    (206, 'operator_unauthorized', 401, 'not_run'),
    (210, 'adapter_unknown', 404, 'not_run'),
    (211, 'version_unknown', 404, 'not_run'),
    (212, 'selector_empty', 404, 'not_run'),
    (301, 'rate_exceeded', 429, 'not_run'),
    (302, 'larger_than_burst', 413, 'not_run'),
    (303, 'queue_full', 503, 'not_run'),
    (304, 'deadline_unreachable', 503, 'not_run'),
    (305, 'limits_unavailable', 503, 'not_run'),
    (401, 'no_target', 503, 'not_run'),
    (402, 'adapter_load_failed', 503, 'not_run'),
    (403, 'target_unreachable', 502, 'not_run'),
    (404, 'target_garbage', 502, 'ran'),
    (405, 'target_wrong_adapter', 502, 'unknown'),
    (406, 'target_timeout', 504, 'unknown'),
    (407, 'target_interrupted', 502, 'ran'),
    (408, 'outcome_unknown', 502, 'unknown'),
    (409, 'target_refused', 503, 'not_run'),
    (410, 'idempotency_in_progress', 409, 'unknown'),
    (411, 'idempotency_mismatch', 422, 'not_run'),
    (412, 'idempotency_unavailable', 503, 'not_run'),
    (413, 'fencing_old', 503, 'not_run'),
    (414, 'answer_not_kept', 409, 'ran'),
    (420, 'conflict', 409, 'not_run'),
    (421, 'in_use', 409, 'not_run'),
    (422, 'object_unknown', 404, 'not_run'),
    (423, 'object_invalid', 422, 'not_run'),
    (501, 'draining', 503, 'not_run'),
    (502, 'configuration_missing', 503, 'not_run'),
    (503, 'platform_unavailable', 503, 'not_run'),
    (504, 'internal', 500, 'unknown'),
    (505, 'configuration_stale', 503, 'not_run'),
    (506, 'function_unavailable', 501, 'not_run'),
]


def test_result_codes_keep_number_name_status_and_ran():
    rows = [
        (int(code), code.name, results.RESULTS[code].status, ran.value)
        for code in results.ResultCode
        for ran in [results.RESULTS[code].ran]
    ]
    assert rows == RESULT_CODES


def test_keys_of_the_stores_are_the_same():
    assert node_view.MEMBERS_PREFIX == 'mintlanding/member/'
    assert node_view.OWNERSHIP_PREFIX == 'mintlanding/hold/'
    assert node_view.FLEET_KEY == 'mintlanding/fleet-key'
    assert records.CONFIG_KEY == 'op/config'
    assert records.VERSIONS_PREFIX == 'op/version/'
    assert records.TARGETS_PREFIX == 'servers/'
    assert lease_client.STEWARDS_PREFIX == 'stewards/'
    assert seats.SEATS_PREFIX == 'seats/'
    assert orders.KEY_PREFIX == 'orders/'
    assert documents.MANIFEST_KEY == 'configuration/manifest'
    assert resolver.SELECTOR_PREFIX == 'selector:'


OBJECTS = tuple(
    SAMPLES[f'objects.{name}']
    for name in (
        'Workspace',
        'Key',
        'Adapter',
        'AdapterVersion',
        'Service',
        'Target',
        'Selector',
        'Settings',
    )
)
PACKED_OBJECTS = base64.b64decode(
    'eJxlk8tu1DAUhtE8C0sq5TKTy443iZzkNLHicSKfMzOUHUUIEGzYse9M0hap3XQHC6So'
    'i4JGYsvbMJPEkwtZ/cc+8ff7t/31/TbjMr7Z5CrDgkWwlWwJ1wSv6GzhOqVgIQh8owdc'
    'LbxqDQp5LvezaqsYwe+Xl8+fHb9duFJIh/JFU5Yb4El6rOdN3fKuMrgYkjx7QvLmWix6'
    '0l1vU8+6ZcwTQNK1d7PhlMaKbWT9oUFVLGYFgRrh/AnON7Qwe9zDfzjfrhDUmvcD8/sY'
    'ztlKUND9picWJaZMQVy/a1zcdy7OurahG38as69j9gcxf6/aJLGdcwyj21/naLCiY5jj'
    'FR3D0sLuV/xZgky4hPo2ZAjBMo9B6LZFxTHIC5D1rYICGLFQQP2pIZbEVAI0AjpToKvF'
    'YAuP4/Qc09i+zuWpMq9WShswrR2KnHA/e/oWMorSQPAlp/3s112UQpRhcA4y4jKpKwFs'
    'fRQfG3PXCAIiyofn7ZjuxJ7paeH39v5Mz9uxzN3yCNelVbVb12dg2SUWghN+uRw3zk/X'
    '/u3n9hkg8Si76G7DwSTRwTMOTVrTDC2doTXI8G+5ZmIFpybbODB+NIx/7FOQMQ=='
)


def test_packed_objects_of_a_chunk_are_read_and_written_as_before():
    assert documents.unpack_objects(PACKED_OBJECTS) == OBJECTS
    # Another release of zlib may compress the same input to other bytes.
    written = zlib.decompress(documents.pack(OBJECTS))
    assert written == zlib.decompress(PACKED_OBJECTS)
    assert {type(each) for each in OBJECTS} == set(objects.AnyObject.__args__)


PACKED_MANIFEST = base64.b64decode(
    'eJx9kEFOwzAQRSH3QUqL0my5SeXE08aKYyN70lKJTVEFKhJIWbADCajrphsugnIbDkDs'
    'YlE2eGM/y37zZ9Z2IlVF8LRVMGOaSdFF6/6OU6BddG/zohalbm42JSxahCs8S5KBpWwK'
    'GgMP90gYH2dEQxc9GAfN6sj3aEom6H4uVakvSQ5GkAr2/nMax7HJJF3c/f/GcpIB18tQ'
    'MgmH0W4G6lCmMYogfF4s8cStbVYrjT1ee7RzYNPC8crzLpdVxVA3t0dJn9q5YghjRn/8'
    'o6ElNRZSBT5/J85hDiWAOsPKZw8vEh890MiSHHt34PQ37/NHLTjTCHTsPV300mqYViC8'
    'M+MyOx57Gv8dezrYTljfYRe9Gk7c/rbVTORuAl+HlnVeQEW6aPMNsrvH/w=='
)


def test_a_packed_manifest_is_read_and_written_as_before():
    manifest = msgspec.structs.replace(SAMPLES['documents.Manifest'], format=1)
    assert documents.unpack_manifest(PACKED_MANIFEST) == manifest
    written = zlib.decompress(documents.pack(manifest))
    assert written == zlib.decompress(PACKED_MANIFEST)


def _show(found):
    """Return a document of builtins for comparison with a literal."""
    return json.loads(msgspec.json.encode(found))


def _members():
    """Return three instances in each of three zones, and one in another."""
    found = [
        Member(
            instance=f'{zone}-{number}',
            zone=zone,
            region='r1',
            address=f'{zone}-{number}:7600',
            incarnation=number,
        )
        for zone in ('a', 'b', 'c')
        for number in (1, 2, 3)
    ]
    far = Member(
        instance='d-1', zone='d', region='r2', address='d-1:7600', incarnation=1
    )
    return [*found, far]


def _holders():
    chosen = HolderView('a-1', 'a', flat_members=2)
    chosen.observe(_members())
    return {
        name: [
            chosen.holder(name),
            [chosen.zone_holder(name, zone) for zone in ('a', 'b', 'c', 'd')],
        ]
        for name in ('w1', 'w2', 'w3')
    }


def _index_order():
    digest = SAMPLES['placement.WorkerDigest']
    index = WorkerIndex.from_digests(
        msgspec.structs.replace(
            digest, worker=f'worker-{number}', silent=False, leaving=False
        )
        for number in range(6)
    )
    return index.order(placement.AdapterRef(adapter='a1', version='v2'))


def _splits():
    return [
        resolver.CompiledSplit(rule=rule, weight=weight, versions=('a@1',))
        for rule, weight in (('x', 1), ('y', 2), ('z', 3))
    ]


def _neighbours():
    found = _members()
    options = MembershipOptions(mesh_limit=2)
    return {
        own.instance: sorted(choose_neighbours(own, others, options))
        for own in found
        for others in [[each for each in found if each is not own]]
    }


def _spread():
    return {
        own: [
            each.instance
            for each in topology.children(_members(), 'a', 'a-2', own, 1)
        ]
        for own in ('a-1', 'a-2', 'a-3')
    }


def _spots():
    return [
        MemberInfo(member=each.instance, zone=each.zone) for each in _members()
    ]


def _claimed_seats():
    found = {}
    for own in _members()[:3]:
        claims = SeatClaims.from_config(
            own.instance, 1, own.zone, SeatPlan(8), LimitsOptions(), 0
        )
        claims.observe_members(_members(), 0)
        actions = claims.handle_records({}, frozenset(), 100)
        found[own.instance] = [each.seat for each in actions]
    return found


def _resolved():
    """Return the versions that callers get; the rules enter the hash."""
    made = [
        objects.Adapter(name='a', workspace='w1', service='s1'),
        *(
            objects.AdapterVersion(
                name=f'a@{number}', labels={'n': str(number)}
            )
            for number in (1, 2, 3)
        ),
        objects.Selector(
            name='sel',
            workspace='w1',
            match='n in (1,2,3)',
            splits=(
                objects.Split(match='n=1', weight=2),
                objects.Split(match='n in (2,3)', weight=3),
            ),
            sticky=True,
        ),
    ]
    directory = Directory()
    changes = tuple(
        objects.Change(revision=1, kind=each.ref[0], name=each.name, body=each)
        for each in made
    )
    directory.apply(objects.Delta(base=0, revision=1, changes=changes))
    chooser = resolver.Resolver(directory)
    outcomes = [
        chooser.resolve('selector:sel', 'w1', caller, random.Random(1))
        for caller in 'abcdefgh'
    ]
    return [str(each.value.ref) for each in outcomes]


CHOICES = {
    'claimed seats': _claimed_seats,
    'resolved selector': _resolved,
    'rendezvous': lambda: [
        rendezvous(name, ['i1', 'i2', 'i3', 'i4'])
        for name in ('w1', 'w2', 'w3', 'seat/1', 'seat/2')
    ],
    'holders': _holders,
    'loan digest': lambda: loan_digest('w1', 2, 3),
    'steward of a worker': lambda: [
        choose_steward(f'worker-{number}', 'b', _members())
        for number in range(6)
    ],
    'workers of an adapter': _index_order,
    'watchers': lambda: [
        [each.instance for each in topology.watchers(_members(), zone)]
        for zone in ('a', 'b', 'c')
    ],
    'children': _spread,
    'splits': lambda: [
        resolver.pick_split(_splits(), f's1\n{caller}').rule
        for caller in 'abcdefgh'
    ],
    'versions': lambda: [
        resolver.pick_version(('a@1', 'a@2', 'a@3'), f's1\n{caller}')
        for caller in 'abcdefgh'
    ],
    'neighbours': _neighbours,
    'member that holds a worker': lambda: [
        preferred_member(f'worker-{number}', 'c', _spots())
        for number in range(6)
    ],
    'hub of a zone': lambda: [
        preferred_member(status_exchange._HUB, zone, _spots())
        for zone in ('a', 'b', 'c')
    ],
    'workers in order': lambda: rank_workers(
        'daka/a1', [f'worker-{number}' for number in range(6)]
    ),
    'bucket of an object': lambda: [
        documents.bucket_of(('adapter', f'a{number}'), 64)
        for number in range(6)
    ],
}
CHOSEN = {
    'claimed seats': {'a-1': [0, 2, 4, 6], 'a-2': [3, 7], 'a-3': [1, 5]},
    'resolved selector': [
        'a@2',
        'a@1',
        'a@1',
        'a@2',
        'a@1',
        'a@1',
        'a@1',
        'a@3',
    ],
    'rendezvous': ['i1', 'i1', 'i1', 'i2', 'i3'],
    'holders': {
        'w1': ['b-3', ['a-1', 'b-3', 'c-2', 'd-1']],
        'w2': ['d-1', ['a-3', 'b-2', 'c-3', 'd-1']],
        'w3': ['b-2', ['a-1', 'b-2', 'c-3', 'd-1']],
    },
    'loan digest': 10449887108229984003,
    'steward of a worker': ['b-3', 'b-2', 'b-3', 'b-3', 'b-3', 'b-2'],
    'workers of an adapter': [
        'worker-1',
        'worker-5',
        'worker-0',
        'worker-2',
        'worker-4',
        'worker-3',
    ],
    'watchers': [['a-3', 'a-2'], ['b-2', 'b-3'], ['c-2', 'c-1']],
    'children': {'a-1': ['a-3'], 'a-2': ['a-1'], 'a-3': []},
    'splits': ['y', 'y', 'z', 'y', 'y', 'z', 'y', 'x'],
    'versions': ['a@3', 'a@3', 'a@1', 'a@2', 'a@1', 'a@1', 'a@2', 'a@3'],
    'neighbours': {
        'a-1': ['a-2', 'a-3', 'b-3', 'c-3'],
        'a-2': ['a-1', 'a-3'],
        'a-3': ['a-1', 'a-2', 'b-2', 'c-1'],
        'b-1': ['b-2', 'b-3', 'c-3', 'd-1'],
        'b-2': ['a-3', 'b-1', 'b-3'],
        'b-3': ['a-1', 'b-1', 'b-2', 'c-2'],
        'c-1': ['a-3', 'c-2', 'c-3', 'd-1'],
        'c-2': ['b-3', 'c-1', 'c-3'],
        'c-3': ['a-1', 'b-1', 'c-1', 'c-2'],
        'd-1': ['b-1'],
    },
    'member that holds a worker': ['c-3', 'c-1', 'c-3', 'c-1', 'c-3', 'c-2'],
    'hub of a zone': ['a-2', 'b-3', 'c-1'],
    'workers in order': [
        'worker-5',
        'worker-1',
        'worker-3',
        'worker-4',
        'worker-0',
        'worker-2',
    ],
    'bucket of an object': [47, 38, 45, 5, 51, 28],
}


@pytest.mark.parametrize('name', CHOICES)
def test_instances_of_two_releases_choose_the_same(name):
    assert _show(CHOICES[name]()) == CHOSEN[name]


ORDER = orders.IdempotentRequest(
    workspace='w1',
    idempotency_key='key-1',
    method='POST',
    path='/orders/7?x=1',
    body=b'{"id": 1}',
)
KEY = 'mk_0123456789ab_' + '0123456789abcdef' * 3
COMPLETION = b'{"model": "a1", "prompt": "Once upon a time"}'
IDENTITY = Identity(instance='i1', incarnation='b1', fleet_key=b'fleet key')
DIGESTS = {
    'frame': lambda: static_checksum(SAMPLES['placement.WorkerDigest']),
    'order key': lambda: ORDER.storage_key,
    'order fingerprint': lambda: ORDER.fingerprint,
    'blob': lambda: documents.blob_ref(7, 'n1', 'chunk-1-0', b'content'),
    'operator token': lambda: hash_token('token-1'),
    'peer body': lambda: auth.body_digest(b'body'),
    'hello': lambda: IDENTITY.hello(),
    'prefix': lambda: (
        Completion.from_body(COMPLETION, 'application/json').value.prefix_hash
    ),
}
DIGESTED = {
    'frame': 3820128807,
    'order key': 'orders/31dcd8ba11d16d92577ecb27b226ce7c',
    'order fingerprint': 'bb1feef482ed028b7ae90d85d425c931',
    'blob': {
        'key': 'configuration/blobs/000000000007/n1/chunk-1-0',
        'digest': 'c681ff421fbd7af6dc373a7ced20fbeb',
    },
    'operator token': '3f08aace122ee2368432c1ca23a049bc640bafbf00fdf33a52429f38ba12dbf9',
    'peer body': '06b721c380b2160c50903e9f6c636b28',
    'hello': [
        'Hello',
        'i1',
        'b1',
        'a2248cf2d948bb08a73c2430e671dfb5a8b55e95113fea92ea0d2c10aa5a6267',
    ],
    'prefix': 2126695453284758421,
}


@pytest.mark.parametrize('name', DIGESTS)
def test_digests_are_the_same(name):
    assert _show(DIGESTS[name]()) == DIGESTED[name]


def test_a_caller_key_fits_the_stored_hash():
    stored = objects.Key(
        name='0123456789ab',
        workspace='w1',
        digest=(
            'dca305187c2507dadca743bcf315136768a849c02125aa034ec6d302c451a4e2'
        ),
    )
    outcome = KeyHasher.from_config(['pepper']).verify(
        KEY, {stored.name: stored}.get
    )
    assert outcome == Done(stored)


PEER_HEADERS = {
    'mint-sender': 'i1',
    'mint-time': '1700000000.000',
    'mint-nonce': '00112233',
    'mint-body': '06b721c380b2160c50903e9f6c636b28',
    'mint-token': (
        'e816cce4db18f5b755d8b59482c98f457f7b143a8e9c86e0ae75377fb7836444'
    ),
}


def test_a_signed_call_of_another_release_is_accepted():
    keyring = auth.PeerKeyring.from_config('i2', ['secret'])
    path = '/mintlanding.agent/leave'
    assert keyring.verify(path, PEER_HEADERS, 1700000000) == 'i1'
    auth.check_body(PEER_HEADERS, b'body')
    assert set(keyring.sign(path, 1700000000)) == set(PEER_HEADERS)


def test_a_log_line_keeps_its_keys():
    memory = MemoryLogger()
    previous = swap_logger(memory)
    try:
        Logger('links').warning('Sample.', peer='i1', token='secret')
    finally:
        swap_logger(previous)
    (message,) = memory.messages
    reader, writer = os.pipe()
    BoundedOutput(writer)(message)
    os.close(writer)
    with os.fdopen(reader, 'rb') as lines:
        line = json.loads(lines.read())
    assert line.pop('timestamp') > 0
    assert line.pop('task_uuid')
    assert line.pop('task_level') == [1]
    assert line == {
        'message_type': 'mintlanding:links',
        'level': 'warning',
        'message': 'links: Sample.',
        'peer': 'i1',
        'token': '[hidden]',
    }


def test_the_line_of_a_refused_request_keeps_its_keys():
    caller = header_fields.CallerFields(
        request_id='9c41',
        host='ficu95.example',
        key='key-1',
        deadline=5.0,
        adapter=traffic.AdapterName(model='daka', adapter='a3'),
        demand=None,
    )
    known = node_view.FleetView(records=records, fresh_at=0)
    memory = MemoryLogger()
    previous = swap_logger(memory)
    try:
        RequestLog().refused(caller, 503, 'no target', 1.234, known)
    finally:
        swap_logger(previous)
    (message,) = memory.messages
    for varying in ('timestamp', 'task_uuid', 'task_level', 'age'):
        message.pop(varying)
    assert message.pop('message').startswith('request: ')
    assert message == {
        'message_type': 'mintlanding:request',
        'level': 'info',
        'request': '9c41',
        'status': 503,
        'reason': 'no target',
        'retry_after': 1.23,
        'configuration': 0,
    }


def test_a_count_of_lines_left_out_keeps_its_keys():
    reader, writer = os.pipe()
    output = BoundedOutput(writer)
    output.left_out = 3
    output({'message': 'm'})
    os.close(writer)
    with os.fdopen(reader, 'rb') as lines:
        note, _ = [json.loads(line) for line in lines.read().splitlines()]
    assert note == {
        'message_type': 'mintlanding:logs',
        'level': 'warning',
        'left_out': 3,
    }


METRICS = [
    '# TYPE mintlanding_requests_total counter',
    'mintlanding_requests_total{route="",outcome="429"} 2',
    'mintlanding_requests_total{route="batch",outcome="served"} 3',
    '# TYPE mintlanding_unforeseen_errors_total counter',
    'mintlanding_unforeseen_errors_total 0',
    '# TYPE mintlanding_request_seconds histogram',
    'mintlanding_request_seconds_bucket{le="0.01"} 0',
    'mintlanding_request_seconds_bucket{le="0.025"} 0',
    'mintlanding_request_seconds_bucket{le="0.05"} 1',
    'mintlanding_request_seconds_bucket{le="0.1"} 0',
    'mintlanding_request_seconds_bucket{le="0.2"} 0',
    'mintlanding_request_seconds_bucket{le="0.4"} 0',
    'mintlanding_request_seconds_bucket{le="0.8"} 0',
    'mintlanding_request_seconds_bucket{le="1.6"} 0',
    'mintlanding_request_seconds_bucket{le="3.2"} 0',
    'mintlanding_request_seconds_bucket{le="6.4"} 3',
    'mintlanding_request_seconds_bucket{le="+Inf"} 5',
    'mintlanding_request_seconds_sum 1.250',
    'mintlanding_request_seconds_count 5',
    'mintlanding_connections_opened_total 9',
    'mintlanding_paths_opened_total 6',
    'mintlanding_cut_targets 1',
    'mintlanding_view_revision 12',
    'mintlanding_view_era 14',
    'mintlanding_view_age_seconds 0.25',
    'mintlanding_updates_missed_total 13',
    'mintlanding_members 11',
    'mintlanding_members_heard 10',
    'mintlanding_quarantined_parts 1',
    'mintlanding_quarantined_requests 2',
    'mintlanding_limited_targets 2',
    'mintlanding_brittle_targets 3',
    'mintlanding_cold_targets 4',
    'mintlanding_evacuated_zones 1',
    'mintlanding_invalid_load_reports_total 15',
    'mintlanding_target_seconds{target="i-8a"} 0.0686',
    'mintlanding_target_knee{target="i-8a"} 3.5',
    'mintlanding_target_heard_age_seconds{target="i-8a"} 0.75',
    'mintlanding_worker_slots{worker="i-7f",state="free"} 2',
    'mintlanding_worker_running{worker="i-7f"} 7',
    'mintlanding_worker_queued{worker="i-7f"} 8',
    'mintlanding_worker_grants_total{worker="i-7f"} 3',
    'mintlanding_worker_refusals_total{worker="i-7f"} 4',
    'mintlanding_worker_loads_total{worker="i-7f"} 1',
    'mintlanding_worker_unloads_total{worker="i-7f"} 2',
    'mintlanding_worker_order_conflicts_total{worker="i-7f"} 5',
    'mintlanding_worker_orders_lost_total{worker="i-7f"} 6',
    'mintlanding_worker_orders_given_up_total{worker="i-7f"} 1',
    'mintlanding_worker_fencing_token{worker="i-7f"} 22',
    'mintlanding_worker_fencing_token_changes_total{worker="i-7f"} 1',
    'mintlanding_worker_orders_overtaking_total{worker="i-7f"} 1',
    'mintlanding_worker_prefill_tokens_per_second{worker="i-7f"} 25800',
    'mintlanding_worker_prefill_pause_share{worker="i-7f"} 0.65',
]


def _metric_lines():
    log = RequestLog()
    log.outcomes = Counter({('batch', 'served'): 3, ('', '429'): 2})
    log.buckets = Counter({0.05: 1, 6.4: 3})
    log.seconds = 1.25
    counters = stewards.StewardCounters(
        loads=1,
        unloads=2,
        grants=3,
        refusals=4,
        conflicts=5,
        lost_orders=6,
    )
    # A stub with the attributes of a running instance that are read.
    steward = types.SimpleNamespace(
        running=7,
        queue=[1] * 8,
        counters=counters,
        pace=types.SimpleNamespace(prefill_rate=25800.2),
        pauses=types.SimpleNamespace(share=0.65),
        adapter_slots=types.SimpleNamespace(
            count_by_state=lambda now: {'free': 2}
        ),
    )
    history = OrderHistory()
    history.begin('i-7f', 21, 100)
    history.give_up('i-7f', 101)
    history.begin('i-7f', 22, 102)
    return render_metrics(
        types.SimpleNamespace(
            log=log,
            target_table=types.SimpleNamespace(
                invalid_loads=15,
                speeds=types.SimpleNamespace(
                    figures=lambda now: [
                        SpeedFigures('i-8a', 0.0686, 3.5, 0.75)
                    ]
                ),
            ),
            opened=9,
            connector=types.SimpleNamespace(
                opened=6, cut_targets=lambda: {'i-7f'}
            ),
            evacuated_zones=1,
            quarantines=types.SimpleNamespace(
                parts=types.SimpleNamespace(quarantined=lambda: ('part',)),
                requests=types.SimpleNamespace(quarantined=lambda: ('a', 'b')),
            ),
        ),
        types.SimpleNamespace(
            stewards={'i-7f': steward}, order_history=history
        ),
        types.SimpleNamespace(reach=lambda now: (10, 11)),
        types.SimpleNamespace(
            count=lambda: 2, count_brittle=lambda: 3, count_cold=lambda: 4
        ),
        types.SimpleNamespace(
            revision=12, era=14, age=lambda now: 0.25, updates_missed=13
        ),
    )


def test_metrics_keep_names_and_labels():
    async def render():
        # Ages of targets are those of the event loop's clock.
        return _metric_lines()

    assert asyncio.run(render()) == METRICS


@pytest.mark.parametrize(
    ('order', 'encoded'),
    [
        (
            stewards.Order(
                kind=stewards.OrderKind.load,
                model='daka',
                adapter='a1',
                expected=4,
                version=2,
            ),
            (
                b'POST /v1/order HTTP/1.1\r\n'
                b'Host: 10.128.0.9:8080\r\n'
                b'X-Expect-Instance: i-7f\r\n'
                b'Content-Type: application/json\r\n'
                b'Content-Length: 92\r\n'
                b'\r\n'
                b'{"op":"load","model":"daka","expected":4,"holder":"i1","fence":9,"adapter":"a1","version":2}'
            ),
        ),
        (
            stewards.Order(
                kind=stewards.OrderKind.unload,
                model='daka',
                adapter='',
                expected=5,
            ),
            (
                b'POST /v1/order HTTP/1.1\r\n'
                b'Host: 10.128.0.9:8080\r\n'
                b'X-Expect-Instance: i-7f\r\n'
                b'Content-Type: application/json\r\n'
                b'Content-Length: 67\r\n'
                b'\r\n'
                b'{"op":"unload","model":"daka","expected":5,"holder":"i1","fence":9}'
            ),
        ),
    ],
)
def test_an_order_to_an_engine_is_encoded_as_before(order, encoded):
    found = requests.order_request(
        order, target='i-7f', holder='i1', fencing=9, host='10.128.0.9:8080'
    )
    assert found == encoded


def test_a_question_for_a_report_is_encoded_as_before():
    assert requests.report_request('i-7f', '10.128.0.9:8080') == (
        b'GET /v1/report HTTP/1.1\r\n'
        b'Host: 10.128.0.9:8080\r\n'
        b'X-Expect-Instance: i-7f\r\n'
        b'\r\n'
    )


def test_the_head_of_a_request_to_a_target_is_encoded_as_before():
    head = requests.target_request_head(
        b'POST',
        b'/pufi791/x?y=1',
        [
            (b'host', b'ficu95.example'),
            (b'x-request-id', b'9c41'),
            (b'x-model', b'daka/a3'),
            (b'authorization', b'Token key-1'),
            (b'x-tenant', b'forged'),
            (b'connection', b'x-private'),
            (b'x-private', b'1'),
        ],
        12,
        header_fields.HopFields(
            target='i-7f',
            workspace='hule930',
            time_left=1.5,
            version=2,
            priority=3,
            last_event='41',
        ),
    )
    assert head == (
        b'POST /pufi791/x?y=1 HTTP/1.1\r\n'
        b'host: ficu95.example\r\n'
        b'x-request-id: 9c41\r\n'
        b'x-model: daka/a3\r\n'
        b'x-deadline-ms: 1500\r\n'
        b'x-expect-instance: i-7f\r\n'
        b'x-tenant: hule930\r\n'
        b'x-expect-version: 2\r\n'
        b'x-request-priority: 3\r\n'
        b'last-event-id: 41\r\n'
        b'content-length: 12\r\n'
        b'\r\n'
    )


def test_what_a_caller_declares_is_read_as_before():
    found = requests.read_caller(
        [
            (b'host', b'ficu95.example'),
            (b'x-request-id', b'9c41'),
            (b'x-model', b'daka/a3'),
            (b'x-token-counts', b'1460,80'),
            (b'x-prompt-prefix', b'5c1e:800,91bd:410'),
            (b'x-deadline-ms', b'5000'),
            (b'last-event-id', b'17'),
            (b'authorization', b'Token key-1'),
        ],
    )
    assert found == header_fields.CallerFields(
        request_id='9c41',
        host='ficu95.example',
        key='key-1',
        deadline=5.0,
        adapter=traffic.AdapterName(model='daka', adapter='a3'),
        demand=traffic.Demand(prompt_tokens=1460, output_tokens=80),
        parts=(('5c1e', 800), ('91bd', 410)),
        last_event='17',
    )


def test_what_a_target_answers_is_read_as_before():
    head = ResponseHead(
        status=200,
        headers=[
            (b'x-request-id', b'9c41'),
            (b'x-response-stamp', b'1'),
            (b'x-not-run', b'1'),
            (b'x-instance-id', b'i-7f'),
            (b'x-server-load', b'1,2,3'),
        ],
    )
    assert requests.read_response(head, '9c41') == header_fields.TargetResponse(
        status=200,
        matches_request=True,
        is_signed=True,
        is_not_run=True,
        is_misdirected=False,
        target='i-7f',
        load=header_fields.TargetLoadReport(running=1, waiting=2, slots=3),
        names_request=True,
    )
    assert requests.response_headers(head) == [
        (b'x-request-id', b'9c41'),
        (b'x-response-stamp', b'1'),
        (b'x-instance-id', b'i-7f'),
        (b'x-server-load', b'1,2,3'),
    ]
    assert requests.own_response_headers('9c41', 1.5) == [
        (b'x-request-id', b'9c41'),
        (b'retry-after', b'1.50'),
    ]


def test_the_operator_record_is_read_as_before():
    found = records.decode_config(msgspec.json.encode(CONFIG))
    assert found == traffic.ServingConfig(
        version=7,
        routes=(
            traffic.Route(
                name='batch',
                host='ficu95.example',
                prefix='/pufi791/',
                kind=traffic.RouteKind.stream,
                timeout=6.0,
                objective=1.0,
                shares=(('engines', 1.0),),
                attempts=2,
                priority=0,
                event_gap=0.4,
                is_resumable=True,
            ),
            traffic.Route(
                name='live',
                host='ficu95.example',
                prefix='/lohu930/',
                kind=traffic.RouteKind.stream,
                timeout=5.0,
                objective=0.6,
                shares=(('engines', 90.0),),
                event_gap=0.4,
            ),
            traffic.Route(
                name='order',
                host='ficu95.example',
                prefix='/puxa403/',
                kind=traffic.RouteKind.unsafe,
                timeout=1.5,
                objective=0.3,
                shares=(('orders', 1.0),),
                priority=2,
            ),
            traffic.Route(
                name='lookup',
                host='ficu95.example',
                prefix='/cufi504/',
                kind=traffic.RouteKind.safe,
                timeout=1.5,
                objective=0.3,
                shares=(('orders', 1.0),),
                attempts=2,
                priority=2,
            ),
        ),
        services={
            'engines': traffic.Service(
                name='engines',
                connection_limit=370,
                engine=traffic.EngineSpec(
                    batch_limit=64,
                    token_capacity=247252,
                    adapter_slots=3,
                    memory=75300.0,
                    models=(
                        traffic.BaseModel(
                            name='daka',
                            size=72700.0,
                            adapter_size=66.0,
                            adapters=3000,
                            load_time=0.3,
                        ),
                    ),
                ),
            ),
            'orders': traffic.Service(name='orders', connection_limit=110),
        },
        workspaces={
            'hule930': traffic.Workspace(
                name='hule930',
                keys=frozenset(('key-1', 'key-2')),
                priority=1,
                rate=63672,
                burst=68874,
                counts_tokens=True,
                plain_tokens=200,
            ),
        },
    )


def test_limits_and_public_routes_of_the_operator_are_read_as_before():
    found = records.decode_config(
        b'{"version": 8, "limits": {"header_bytes": 1, "body_bytes": 2,'
        b' "header_ms": 3000, "idle_ms": 4000}, "routes": [{"name": "r",'
        b' "host": "H", "prefix": "/", "kind": "safe", "timeout_ms": 1000,'
        b' "service": "s", "public": true}]}',
    )
    assert found.limits == MessageLimits(
        header_bytes=1, body_bytes=2, header_timeout=3, idle_timeout=4
    )
    assert found.routes[0].is_public
    assert found.routes[0].host == 'h'


def test_entries_versions_and_reports_are_read_as_before():
    entry = msgspec.json.encode({**ENTRY, 'state': 'draining'})
    assert records.decode_target('servers/i-7f', entry) == traffic.Target(
        target='i-7f',
        service='engines',
        address=('10.128.0.9', 8080),
        zone='z1',
        slots=64,
        is_leaving=True,
        incarnation=1700000000000,
        orders_taken=4,
        model='daka',
        adapters=(('a1', 2),),
        build='v1',
    )
    version = b'{"model": "daka", "adapter": "a1", "version": 3}'
    assert records.decode_version(version) == ('daka', 'a1', 3)
    report = records.decode_report(msgspec.json.encode(REPORT))
    assert report == stewards.EngineReport(
        incarnation=1700000000000,
        orders_taken=2,
        requests=13,
        models=('daka',),
        adapters=(('a1', 2), ('a7', 1)),
        coming=(('a9', 1),),
    )


def test_a_settings_file_is_read_as_before(monkeypatch):
    monkeypatch.setenv('MINTLANDING_METRICS_PORT', '9470')
    text = SETTINGS.replace(
        'contact_ms = 3000\ngrace_s = 8\nretry_ratio = 0.2\nlease_ttl_ms = 3000',
        'contact_ms = 3100\ndrain_ms = 2200\ngrace_s = 9\napply_ms = 2300\n'
        'retry_ratio = 0.3\nretry_window_s = 11\nretry_slack = 51\n'
        'lease_ttl_ms = 3400\nversion_ms = 5500',
    )
    text = f'{text}[limits]\nlink_mbps = 12.5\n'.replace(
        'ttl_min_ms = 1000', 'ttl_min_ms = 1600'
    )
    assert parse_settings(text) == PlatformSettings(
        node=NodeSettings(
            facts=InstanceFacts(
                instance='front-a-1@10.1.0.25',
                zone='mx-centro-a',
                host='10.1.0.25',
                front=('10.1.0.25', 8221),
                ready=('10.1.0.25', 8224),
                peer_port=7600,
                metrics_port=9470,
                link_mbps=12.5,
                path_port=7601,
            ),
            bounds=Bounds(
                contact=3.1,
                drain=2.2,
                grace=9,
                apply=2.3,
                min_order_gap=3.4,
                version=5.5,
                shortest_lease=1.6,
            ),
            retries=FleetRetryOptions(ratio=0.3, window=11, slack=51),
        ),
        store_address=('10.200.1.7', 8225),
    )
