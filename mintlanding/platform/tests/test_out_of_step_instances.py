"""Streams that are resumed at an instance that missed a release."""

import asyncio
import contextlib

import pytest

from mintlanding.node.clock import boot_seconds
from mintlanding.platform.tests.world import World


@pytest.fixture
async def pair():
    found = await World().start(instances=2)
    for node in found.nodes:
        # The service has had one build for long.
        node.view.builds.known_since = float('-inf')
    yield found
    await found.stop()


async def no_origin(request_id):
    """Find nothing, as where no member can be asked."""


@pytest.mark.parametrize('has_store', [False, True])
async def test_stream_of_a_new_build_does_not_go_on_at_an_old_one(
    pair, has_store
):
    late, other = pair.nodes
    assert (await pair.resume(b'unknown'))[0] == 200
    late._origins.find = no_origin
    late._store_watcher.is_reader = lambda: False
    other._store_watcher.is_reader = lambda: True
    other._store_watcher.forward = lambda update: None
    # It waits for updates of its reader until its time-out.
    late._store_watcher._last_update_at = boot_seconds() + 60
    await asyncio.sleep(0.6)
    lost = contextlib.nullcontext()
    if not has_store:
        lost = pair.cut_off_from_store(late)
    with lost:
        for engine in pair.engines:
            engine.build = 'v2'
            pair.store.put(f'servers/{engine.name}', engine.entry())
        await asyncio.sleep(0.8)
        builds = {each.build for each in late.view.engines().values()}
        assert builds == {'v1'}
        assert boot_seconds() < late.view.fresh_at + 2
        ran = sum(len(each.runs) for each in pair.engines)
        status, _, _ = await pair.resume(b'begun-at-another')
        assert status == 503
        assert sum(len(each.runs) for each in pair.engines) == ran
