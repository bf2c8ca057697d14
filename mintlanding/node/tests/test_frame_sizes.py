"""Messages of a fleet of 400 members and 600 targets fit into frames."""

import msgspec

from mintlanding.coordination.transactional_store import Change, Changes, Item
from mintlanding.links.messages import (
    MAX_FRAME_BYTES,
    MemberStatus,
    Status,
    StoreUpdate,
    ZoneStatus,
)
from mintlanding.node.tests.test_store_watcher import FakeStore, watcher
from mintlanding.platform.records import decode_target
from mintlanding.platform.tests.samples import ENTRY, encode
from mintlanding.quarantine.messages import EngineCrash, SuspectPart
from mintlanding.residency.messages import WorkerDigest
from mintlanding.target_limits.messages import LimitReport

MEMBERS = 400
TARGETS = 600
WORKSPACES = 1000
SUSPECTS = 50
BORN = 1700000000000
# Adapters that a worker holds.
ADAPTERS = 64


def digests():
    ready = tuple(f'adapter-{number:05}' for number in range(ADAPTERS))
    return tuple(
        WorkerDigest(f'i-{number:08x}', BORN, True, ready=ready, hot=ready[:8])
        for number in range(TARGETS)
    )


def shared():
    """Return the parts that both kinds of statuses have."""
    names = [f'workspace-{number:04}' for number in range(WORKSPACES)]
    crashes = tuple(EngineCrash(f'i-{n:08x}/{BORN}', 2.0) for n in range(10))
    suspects = tuple(
        SuspectPart(f'{number:064x}', 1, crashes, 3.0)
        for number in range(SUSPECTS)
    )
    limits = tuple(
        LimitReport(f'i-{number:08x}', BORN, 12.5, 0.5)
        for number in range(TARGETS)
    )
    return {
        'admitted': dict.fromkeys(names, 1e9 / 3),
        'levels': dict.fromkeys(names, -1e6 / 3),
        'suspects': suspects,
        'requests': suspects,
        'limits': limits,
        'brittle': limits,
        'leaving': tuple((each.target, BORN) for each in limits),
    }


def frame_bytes(message):
    return len(msgspec.msgpack.encode(message))


def test_status_of_the_steward_of_all_targets_fits_into_a_frame():
    status = Status('front-a-1', 'a1b2c3d4', 1e6, digests=digests(), **shared())
    assert frame_bytes(status) < MAX_FRAME_BYTES


def test_status_of_a_zone_with_the_whole_fleet_fits_into_a_frame():
    members = tuple(
        MemberStatus(f'front-a-{number}', 'a1b2c3d4', 1e6, True)
        for number in range(MEMBERS)
    )
    status = ZoneStatus(
        *('mx-centro-a', 'front-a-1', 'a1b2c3d4', 1e6, members),
        digests=tuple(('front-a-1', each) for each in digests()),
        **shared(),
    )
    assert frame_bytes(status) < MAX_FRAME_BYTES


def entries(revision, adapters=ADAPTERS):
    """Return the entries of all targets, one a revision."""
    names = [f'adapter-{number:05}@1' for number in range(adapters)]
    models = [{'name': 'daka', 'version': 1, 'adapters': names}]
    found = []
    for number in range(TARGETS):
        name = f'servers/i-{number:08x}'
        born = BORN + revision
        content = encode({**ENTRY, 'models': models, 'born': born})
        item = Item(name, content, revision + number)
        found.append(Change(name, item.revision, item))
    return found


async def test_changes_of_all_targets_reach_members_in_several_frames():
    changes = entries(10) + entries(2000)
    reader, member = watcher(FakeStore(*changes)), watcher(FakeStore())
    updates = []
    reader.forward = updates.append
    await reader._read_changes()
    assert len(updates) > 1
    assert max(map(frame_bytes, updates)) < MAX_FRAME_BYTES
    for update in updates:
        member.apply_update(update)
    assert member._view.as_of == reader._view.as_of == changes[-1].revision
    assert len(member._view.targets) == TARGETS
    assert member._view.targets == reader._view.targets
    last = changes[-1].item
    assert member._view.targets['i-00000257'] == decode_target(
        last.key, last.content
    )


async def test_changes_of_one_revision_are_not_parted():
    content = b'x' * (MAX_FRAME_BYTES // 3)
    changes = [
        Change(
            f'k{number}',
            6 + number // 2,
            Item(f'k{number}', content, 6 + number // 2),
        )
        for number in range(4)
    ]

    class Store(FakeStore):
        async def changes(self, prefix, after, wait):
            return Changes(tuple(changes), 9)

    reader = watcher(Store())
    updates = []
    reader.forward = updates.append
    await reader._read_changes()
    assert all(isinstance(each, StoreUpdate) for each in updates)
    assert [(each.after, each.as_of) for each in updates] == [(5, 6), (6, 9)]
