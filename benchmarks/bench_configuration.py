"""Time the configuration with up to 21,000 adapters.

Run with --benchmark-only.
"""

import random

import msgspec
import pytest

from mintlanding.configuration.delta_parts import DeltaAssembler, split_delta
from mintlanding.configuration.directory import Directory
from mintlanding.configuration.keys import KeyHasher
from mintlanding.configuration.labels import LabelSelector
from mintlanding.configuration.models import Adapter, Delta, Selector, Split
from mintlanding.configuration.resolver import Resolver
from mintlanding.configuration.tests.samples import delta_of, large_objects
from mintlanding.configuration.tests.test_distribution import new_fleet

SIZES = (3_000, 21_000)


def directory_of(adapters):
    directory = Directory()
    directory.apply(delta_of(0, *large_objects(adapters)))
    selector = Selector(
        name='canary',
        workspace='workspace-1',
        match='store=store-6',
        splits=(
            Split(match='channel=stable', weight=95),
            Split(match='channel=canary', weight=5),
        ),
        sticky=True,
    )
    directory.apply(delta_of(1, selector))
    return directory


@pytest.fixture(params=SIZES, scope='module')
def directory(request):
    return directory_of(request.param)


def test_resolve_by_name(benchmark, directory):
    resolver = Resolver(directory)
    rng = random.Random(1)
    found = benchmark(
        resolver.resolve, 'adapter-00001', 'workspace-1', 'caller', rng
    )
    assert found.value.ref.version == '1'


def test_resolve_by_selector(benchmark, directory):
    resolver = Resolver(directory)
    rng = random.Random(1)
    found = benchmark(
        resolver.resolve, 'selector:canary', 'workspace-1', 'caller', rng
    )
    assert found.value.ref.version == '1'


@pytest.mark.parametrize(
    'text',
    ['store=store-7', 'tier=gold', 'tier in (gold,silver), !retired'],
)
def test_select_by_label(benchmark, directory, text):
    selector = LabelSelector.parse(text)
    found = benchmark(directory.select_versions, selector, 'workspace-1')
    benchmark.extra_info['matches'] = len(found)


def test_verify_key(benchmark):
    hasher = KeyHasher.from_config(['pepper'])
    issued = hasher.issue('workspace-1')
    benchmark(hasher.verify, issued.text, lambda _: issued.key)


def test_apply_one_change(benchmark, directory):
    def change():
        base = directory.revision
        body = Adapter(
            name='adapter-00001',
            workspace='workspace-1',
            service='planner-models',
            default_version='1',
            labels={'tier': f'tier-{base % 2}'},
        )
        directory.apply(delta_of(base, body))

    benchmark(change)


def test_snapshot_through_parts(benchmark, directory):
    parts = list(split_delta(directory.snapshot()))
    benchmark.extra_info['bytes'] = sum(len(part.content) for part in parts)
    packed = msgspec.msgpack.encode(directory.snapshot())
    benchmark.extra_info['bytes_uncompressed'] = len(packed)

    def load():
        fresh = Directory()
        assembler = DeltaAssembler(fresh)
        for part in parts:
            whole = assembler.add(part)
        fresh.apply(whole)

    benchmark.pedantic(load, rounds=3)


def test_bytes_of_one_delta(benchmark):
    change = delta_of(5, *large_objects(1)[6:7])
    packed = benchmark(msgspec.msgpack.encode, change)
    benchmark.extra_info['bytes'] = len(packed)
    assert msgspec.msgpack.decode(packed, type=Delta) == change


@pytest.mark.parametrize('members', [8, 400])
def test_tick_of_distribution(benchmark, members):
    fleet = new_fleet(members, zones='abcdefghi')
    fleet.change()
    fleet.run(5)
    node = fleet.nodes['i0']
    benchmark(node.tick, fleet.now)


@pytest.mark.parametrize('members', [8, 400])
def test_update_members(benchmark, members):
    fleet = new_fleet(members, zones='abcdefghi')
    node = fleet.nodes['i0']
    benchmark(node.update_members, fleet.members, 0)
