"""Measure the cost of heartbeats for up to 400 instances and 600 workers.

`python -m benchmarks.bench_membership` prints bytes and processor time per
instance for several sizes, or for the sizes given as arguments. pytest times
encoding, decoding and applying a heartbeat.
"""

import sys
import time

import pytest

from mintlanding.membership.messages import HEARTBEAT
from mintlanding.membership.models import Member, MembershipOptions
from mintlanding.membership.tests.fleet import Fleet
from mintlanding.peers.messages import MessagePackCodec
from mintlanding.placement.messages import AdapterRef, WorkerDigest

ZONES = 9
REGIONS = 3
# Frames, headers with the token, and TCP/IP headers of each message.
OVERHEAD_BYTES = 350
CODEC = MessagePackCodec()


def make_members(count):
    zones = min(ZONES, max(1, count // 3))
    regions = REGIONS if zones == ZONES else 1
    return [
        Member(
            f'entry-{number:03}',
            f'zone-{number % zones}',
            f'region-{number % zones % regions}',
            f'10.0.{number // 250}.{number % 250}:7000',
            1,
        )
        for number in range(count)
    ]


def make_digest(number, owner, sequence):
    resident = tuple(
        AdapterRef(f'adapter-{number * 8 + each:05}', '1') for each in range(8)
    )
    return WorkerDigest(
        worker=f'worker-{number:03}',
        zone=owner.zone,
        steward=owner.instance,
        steward_address=owner.address,
        fencing=7,
        sequence=sequence,
        slots=8,
        batch_limit=16,
        resident=resident,
        queued=sequence % 5,
        queued_tokens=sequence % 1000,
        running=sequence % 16,
    )


def make_fleet(instances, workers):
    fleet = Fleet(make_members(instances), MembershipOptions(), seeds=6)
    fleet.run(25)
    put_all(fleet, workers, 1)
    fleet.run(32)
    return fleet


def put_all(fleet, workers, sequence):
    nodes = list(fleet.nodes.values())
    for number in range(workers):
        node = nodes[number % len(nodes)]
        node.put_digest(make_digest(number, node.own, sequence), fleet.now)


def measure(instances, workers, seconds=15):
    """Change the digest of every worker each second and measure the traffic."""
    fleet = make_fleet(instances, workers)
    fleet.bytes = 0
    fleet.messages = 0
    before = time.process_time()
    for second in range(seconds):
        put_all(fleet, workers, 10 + second)
        fleet.run(1)
    cpu_seconds = time.process_time() - before
    payload = fleet.bytes / seconds / instances
    messages = fleet.messages / seconds / instances
    # Each message is sent by one instance and received by another.
    link_bytes = 2 * (payload + messages * OVERHEAD_BYTES)
    ages = [
        9 + seconds - digest.sequence
        for node in fleet.nodes.values()
        for digest in node.digests().values()
    ]
    known = min(len(node.digests()) for node in fleet.nodes.values())
    return (
        f'{instances:9} {workers:7} {messages:10.1f} {payload:10.0f}'
        f' {link_bytes / 1000:10.1f} {cpu_seconds / seconds / instances:8.2%}'
        f' {known:7} {sum(ages) / len(ages):8.1f} {max(ages):7}'
    )


def main():
    sizes = [(8, 9), (50, 75), (100, 150), (200, 300), (400, 600)]
    wanted = {int(each) for each in sys.argv[1:]}
    print(
        'instances workers messages/s payload/s kB/s(both)   core'
        ' known  mean-age max-age'
    )
    for instances, workers in sizes:
        if wanted and instances not in wanted:
            continue
        print(measure(instances, workers), flush=True)


@pytest.fixture(scope='module')
def heartbeat():
    members = make_members(400)
    fleet = Fleet(members[:2], MembershipOptions(), seeds=2)
    fleet.run(3)
    for number in range(200):
        node = fleet.nodes['entry-000']
        node.put_digest(make_digest(number, node.own, 1), fleet.now)
    actions = fleet.nodes['entry-000'].tick(fleet.now + 10)
    return actions[-1].message


def test_encode_heartbeat(benchmark, heartbeat):
    benchmark(CODEC.encode, heartbeat, HEARTBEAT.request)


def test_decode_heartbeat(benchmark, heartbeat):
    packed = CODEC.encode(heartbeat, HEARTBEAT.request)
    benchmark(CODEC.decode, packed, HEARTBEAT.request)


def test_apply_heartbeat(benchmark, heartbeat):
    fleet = Fleet(make_members(400)[:2], MembershipOptions(), seeds=2)
    fleet.run(3)
    node = fleet.nodes['entry-001']
    benchmark(node.handle_heartbeat, heartbeat, fleet.now)


if __name__ == '__main__':
    main()
