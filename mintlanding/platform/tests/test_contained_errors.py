"""Errors inside an instance: each costs at most the part that raised."""

import asyncio

import msgspec
import pytest

from mintlanding.platform.tests.world import World


@pytest.fixture
async def world():
    found = await World().start()
    yield found
    await found.stop()


def fail(*args, **kwargs):
    raise LookupError('unforeseen')


def digest_with(**changes):
    """Return a method that changes the digests of a steward."""

    def build(digest):
        return lambda now: msgspec.structs.replace(digest(now), **changes)

    return build


@pytest.mark.parametrize(
    'odd',
    [
        digest_with(incarnation=2**70),
        digest_with(ready=('a\ud800',)),
        lambda digest: fail,
    ],
    ids=['number', 'text', 'raises'],
)
async def test_odd_digest_costs_only_its_worker(world, monkeypatch, odd):
    node = world.nodes[0]
    steward = node._stewards.stewards['e1']
    monkeypatch.setattr(steward, 'digest', odd(steward.digest))
    late = await world.add_node('late')
    heard = late._membership.status_exchange.received
    async with asyncio.timeout(4):
        while not late._is_ready or 'n0' not in heard:
            await asyncio.sleep(0.05)
    at = heard['n0'].at
    await asyncio.sleep(1.5)
    assert heard['n0'].at > at + 1
    views = late._admissions.views(list(late.view.engines().values()))
    assert views['e2'].can_order
    assert node.application.is_sound


@pytest.mark.parametrize('method', ['tick', 'set_authority', 'next_event'])
async def test_steward_that_raises_costs_only_its_worker(
    world, monkeypatch, method
):
    node = world.nodes[0]
    monkeypatch.setattr(node._stewards.stewards['e1'], method, fail)
    engine = await world.add_engine('e3', 'b1')
    # Long enough for a task that fails each time to be known for it.
    await asyncio.sleep(1)
    assert node._stewards.stewards[engine.name].may_order
    assert node.application.is_sound


async def test_steward_that_cannot_stop_is_replaced(world, monkeypatch):
    node = world.nodes[0]
    former = node._stewards.stewards['e1']
    monkeypatch.setattr(former, 'drain', fail)
    world.engines[0].crashes += 1
    world.store.put('servers/e1', world.engines[0].entry())
    async with asyncio.timeout(4):
        while node._stewards.stewards.get('e1') in {None, former}:
            await asyncio.sleep(0.05)
    assert node._stewards.stewards['e1'].may_order
