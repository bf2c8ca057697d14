"""Measure memory and platform traffic of the configuration.

python -m benchmarks.measure_configuration memory|resident|layouts [ADAPTERS ...]
python -m benchmarks.measure_configuration distribution [MEMBERS ...]
"""

import asyncio
import gc
import random
import sys
import time
import tracemalloc
import zlib
from pathlib import Path

import msgspec

from mintlanding.configuration.delta_parts import DeltaAssembler, split_delta
from mintlanding.configuration.directory import Directory
from mintlanding.configuration.documents import MANIFEST_KEY
from mintlanding.configuration.messages import Announcement
from mintlanding.configuration.models import Adapter
from mintlanding.configuration.proposals import Proposal
from mintlanding.configuration.storage import ConfigurationStorage
from mintlanding.configuration.tests.samples import delta_of, large_objects
from mintlanding.configuration.tests.test_distribution import (
    new_fleet,
    workspace,
)
from mintlanding.configuration.write_ids import Authorship, new_write_id
from mintlanding.coordination.memory import MemoryKeyValueService

CHANGES_A_DAY = 3300
SAMPLED_CHANGES = 660
WATCHERS = 18
PAGE_BYTES = 4096


class CountingService(MemoryKeyValueService):
    """A key-value service that counts calls and bytes by direction."""

    def __init__(self, store=None):
        super().__init__(store)
        self.put_calls = self.put_bytes = 0
        self.get_calls = self.get_bytes = 0
        self.manifest_bytes = 0

    async def get(self, key):
        entry = await super().get(key)
        self.get_calls += 1
        self.get_bytes += 0 if entry is None else len(entry.value)
        return entry

    async def put(self, key, value, expected=None, lease=''):
        self.put_calls += 1
        self.put_bytes += len(value)
        if key == MANIFEST_KEY:
            self.manifest_bytes += len(value)
        return await super().put(key, value, expected, lease)


def read_resident_bytes():
    return int(Path('/proc/self/statm').read_text().split()[1]) * PAGE_BYTES


def load_parts(parts):
    directory = Directory()
    assembler = DeltaAssembler(directory)
    for part in parts:
        whole = assembler.add(part)
    directory.apply(whole)
    return directory


def measure_memory(adapters):
    source = Directory()
    source.apply(delta_of(0, *large_objects(adapters)))
    parts = list(split_delta(source.snapshot()))
    del source
    gc.collect()
    tracemalloc.start()
    directory = load_parts(parts)
    gc.collect()
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(
        f'{adapters} adapters: held {held / 1e6:.1f} MB, peak while loading '
        f'{peak / 1e6:.1f} MB, {held / adapters:.0f} bytes each',
    )
    del directory
    gc.collect()


def measure_resident(adapters):
    source = Directory()
    source.apply(delta_of(0, *large_objects(adapters)))
    parts = list(split_delta(source.snapshot()))
    del source
    gc.collect()
    before = read_resident_bytes()
    started = time.process_time()
    directory = load_parts(parts)
    seconds = time.process_time() - started
    grown = read_resident_bytes() - before
    print(
        f'{adapters} adapters: resident +{grown / 1e6:.1f} MB, '
        f'{seconds:.2f} s of processor time to load',
        directory.revision,
    )


def report(name, put_calls, put_bytes, get_bytes_a_watcher, load):
    print(
        f'{name}: {put_calls:.0f} writes and {put_bytes / 1e6:.1f} MB written '
        f'a day; {get_bytes_a_watcher / 1e6:.1f} MB read a day by a watcher; '
        f'load: {load[0]} calls, {load[1] / 1e6:.2f} MB',
    )


async def measure_layouts(adapters):
    objects = large_objects(adapters)
    packed = [msgspec.msgpack.encode(body) for body in objects]
    whole = zlib.compress(msgspec.msgpack.encode(objects), 6)
    size = len(whole)
    change = sum(len(body) for body in packed) / len(packed)
    report(
        'one value',
        CHANGES_A_DAY,
        CHANGES_A_DAY * size,
        CHANGES_A_DAY * size,
        (1, size),
    )
    # A second write advances the revision; a listing returns all entries.
    total = sum(len(body) for body in packed)
    report(
        'one key an object',
        2 * CHANGES_A_DAY,
        2 * CHANGES_A_DAY * change,
        CHANGES_A_DAY * change,
        (1, total),
    )
    service = CountingService()
    storage = ConfigurationStorage(service)
    authorship = Authorship('ann', new_write_id(1e6), 1e6)
    await storage.commit([Proposal.put(body) for body in objects], authorship)
    loader = CountingService(service.store)
    await ConfigurationStorage(loader).load()
    await commit_changes(storage, service, adapters)
    scale = CHANGES_A_DAY / SAMPLED_CHANGES
    report(
        'chunks under one manifest',
        service.put_calls * scale,
        service.put_bytes * scale,
        service.manifest_bytes * scale,
        (loader.get_calls, loader.get_bytes),
    )
    print(
        f'  of these, by committers: {service.get_calls * scale:.0f} reads, '
        f'{service.get_bytes * scale / 1e6:.1f} MB a day',
    )
    reader_service = CountingService(service.store)
    reader = ConfigurationStorage(reader_service)
    for behind in (1, 50, 200, 500):
        reader_service.get_calls = reader_service.get_bytes = 0
        delta = await reader.changes_since(storage.directory.revision - behind)
        print(
            f'  reader {behind} revisions behind: {reader_service.get_calls} calls, '
            f'{reader_service.get_bytes / 1e6:.2f} MB, '
            f'{"snapshot" if delta.base == 0 else "delta"}',
        )


async def commit_changes(storage, service, adapters):
    rng = random.Random(1)
    service.put_calls = service.put_bytes = service.manifest_bytes = 0
    service.get_calls = service.get_bytes = 0
    started = time.process_time()
    for number in range(SAMPLED_CHANGES):
        name = f'adapter-{rng.randrange(adapters):05d}'
        held = storage.directory.adapter(name)
        body = Adapter(
            name=name,
            workspace=held.workspace,
            service=held.service,
            default_version='1',
            labels={**held.labels, 'wave': f'wave-{number}'},
        )
        at = 1e6 + number * 26
        authorship = Authorship('ann', new_write_id(at), at)
        await storage.commit([Proposal.put(body)], authorship)
    seconds = (time.process_time() - started) / SAMPLED_CHANGES
    print(f'  {seconds * 1000:.1f} ms of processor time a commit')


def measure_distribution(members):
    """Measure the messages and time of one change in a fleet of nine zones."""
    fleet = new_fleet(members, zones='abcdefghi')
    fleet.change()
    fleet.run(20)
    watches = sum(entry[0] == 'watch' for entry in fleet.queue)
    fleet.sent.clear()
    started = time.process_time()
    changes = 10
    for _ in range(changes):
        fleet.change()
        fleet.step()
        assert len(fleet.revisions()) == 1
    seconds = time.process_time() - started
    size = len(
        msgspec.msgpack.encode(
            Announcement('instance-0001', 7, delta_of(6, workspace(1))),
        ),
    )
    each = members * changes
    print(
        f'{members} members: {watches} waiting calls, '
        f'{fleet.sent["message"] / each:.2f} announcements of {size} bytes '
        f'and {fleet.sent["FetchDelta"] / each:.3f} fetches a member and '
        f'change, {seconds / each * 1e6:.0f} us of processor time',
    )


def main():
    measurement = sys.argv[1]
    sizes = [int(size) for size in sys.argv[2:]] or [21_000]
    for adapters in sizes:
        if measurement == 'memory':
            measure_memory(adapters)
        elif measurement == 'distribution':
            measure_distribution(adapters)
        elif measurement == 'resident':
            measure_resident(adapters)
        else:
            asyncio.run(measure_layouts(adapters))


if __name__ == '__main__':
    main()
