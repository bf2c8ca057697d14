"""Orders that were given up and reach their engine after later ones.

Fencing tokens are compared as they arrive.
"""

import asyncio
import base64
import contextlib
import itertools

import msgspec
import pytest

from mintlanding.node.view import OWNERSHIP_PREFIX
from mintlanding.platform.tests.order_proxy import ProxiedTarget
from mintlanding.platform.tests.standins import StoreStandin
from mintlanding.platform.tests.world import LIVE, World
from mintlanding.residency.models import OrderResult

ENGINE = 'e1'
KEY = OWNERSHIP_PREFIX + ENGINE


class SettlingStore(StoreStandin):
    """Commits no settled records while told so."""

    refuses_settling = False

    async def _kv_txn(self, parts, query, body):
        rows = msgspec.json.decode(body)['set_keys']
        if self.refuses_settling and any(is_settled(row) for row in rows):
            return 503, {}
        return await super()._kv_txn(parts, query, body)


def is_settled(row):
    if not row['key'].startswith(OWNERSHIP_PREFIX):
        return False
    content = base64.b64decode(row['value'])
    return msgspec.json.decode(content).get('is_settled', False)


class LateOrdersWorld(World):
    """One engine, to which orders can be held back, and some instances."""

    def __init__(self):
        super().__init__()
        self.store = SettlingStore()
        self.engines = [ProxiedTarget(ENGINE, places=2)]
        self.asking = None
        self.is_asking = True

    @property
    def engine(self):
        return self.engines[0]

    @property
    def record(self):
        return msgspec.json.decode(self.store.items[KEY][0])

    def holder(self):
        (found,) = [
            node
            for node in self.nodes
            if node._membership.instance == self.record['holder']
        ]
        return found

    def begin_asking(self):
        """Ask for other adapters all the time, so that orders are due."""
        self.asking = asyncio.create_task(self._ask_for_adapters())

    async def _ask_for_adapters(self):
        for number in itertools.count():
            if not self.is_asking:
                return
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self.ask(LIVE, adapter=b'/a%d' % (number % 9))
            await asyncio.sleep(0.02)

    async def stop(self):
        self.is_asking = False
        if self.asking is not None:
            await self.asking
        await super().stop()

    async def until(self, condition):
        async with asyncio.timeout(15):
            while not condition():
                await asyncio.sleep(0.01)

    async def pass_a_new_order(self):
        """Wait until the engine has got an order that was not held."""
        proxy = self.engine.proxy
        proxy.is_holding = False
        known = len(self.engine.orders)
        await self.until(lambda: len(self.engine.orders) > known)

    def assert_tokens_rise(self):
        tokens = [
            (each['fence'], each['holder']) for each in self.engine.orders
        ]
        falls = [
            (before, after)
            for before, after in itertools.pairwise(tokens)
            if after[0] < before[0]
        ]
        assert not falls


@pytest.fixture
async def world():
    found = await LateOrdersWorld().start(instances=2)
    yield found
    await found.stop()


async def test_late_order_of_a_new_holder_bears_no_lower_token(world):
    # Guards against: settling its record gives the holder another token.
    await world.kill(world.holder())
    world.engine.proxy.is_holding = True
    world.store.refuses_settling = True
    world.begin_asking()
    await world.until(lambda: world.engine.proxy.held)
    world.store.refuses_settling = False
    await world.until(lambda: world.record.get('is_settled'))
    await world.pass_a_new_order()
    await world.engine.proxy.release()
    world.assert_tokens_rise()


async def test_order_for_a_former_run_of_an_engine_is_not_sent(world):
    # Guards against: the next run, which counts from 0 too, carries it out.
    stewards = world.holder()._stewards
    view = world.holder().view
    send = stewards._send_order_on
    results = []

    async def send_after_a_restart(conn, target, order):
        stewards._send_order_on = send
        world.engine.crashes += 1
        world.store.put(f'servers/{ENGINE}', world.engine.entry())
        born = world.engine.born
        await world.until(lambda: view.targets[ENGINE].incarnation == born)
        known = len(world.engine.orders)
        results.append(await send(conn, target, order))
        assert len(world.engine.orders) == known
        return results[0]

    stewards._send_order_on = send_after_a_restart
    world.begin_asking()
    await world.until(lambda: results)
    assert results == [OrderResult.not_sent]
