"""Faults of a soak, from outside of the processes; each ends by itself."""

import asyncio
import signal
import time

from mintlanding.core.registry import Registry
from mintlanding.platform.tests.samples import CONFIG
from soak.proxy import Mode

FAULTS = Registry('soak fault')


@FAULTS.register('kill')
async def kill(world, rnd):
    """Kill an instance; it starts again."""
    await rnd.choice(world.instances).restart(signal.SIGKILL, rnd.random() * 3)


@FAULTS.register('kill all')
async def kill_all(world, rnd):
    """Kill all instances at once."""
    await asyncio.gather(
        *(each.restart(signal.SIGKILL, 0.3) for each in world.instances),
    )


@FAULTS.register('replace in turn')
async def replace(world, rnd):
    """Stop two instances in turn as planned work does."""
    for instance in rnd.sample(world.instances, 2):
        await instance.restart(signal.SIGTERM, 0.1)


@FAULTS.register('freeze')
async def freeze(world, rnd):
    """Freeze an instance, now and then past its lease."""
    await rnd.choice(world.instances).freeze(rnd.uniform(0.5, 6))


@FAULTS.register('reload')
async def reload(world, rnd):
    """Tell all instances that their settings have changed."""
    for instance in world.instances:
        # The interpreter itself needs a moment before it handles signals.
        if time.monotonic() > instance.started_at + 1:
            instance.signal(signal.SIGHUP)


@FAULTS.register('store away')
async def store_away(world, rnd):
    """Refuse, silence, delay or cut one way all calls of the store."""
    modes = (Mode.refusing, Mode.silent, Mode.delaying, Mode.one_way)
    world.store_proxy.mode = rnd.choice(modes)
    world.store_proxy.reset()
    await asyncio.sleep(rnd.uniform(1, 6))
    world.store_proxy.mode = Mode.passing
    world.store_proxy.reset()


@FAULTS.register('answers of the store lost')
async def lose_answers(world, rnd):
    """Carry out some writes without an answer."""
    world.store.faults.lose_answers = rnd.randrange(1, 6)


@FAULTS.register('history lost')
async def lose_history(world, rnd):
    """Drop the history and change the configuration."""
    world.configure()
    world.store.faults.oldest_revision = world.store.revision
    await asyncio.sleep(2)
    world.store.faults.oldest_revision = 0


@FAULTS.register('configurations')
async def configurations(world, rnd):
    """Write configurations in quick succession."""
    for _ in range(4):
        world.configure(routes=CONFIG['routes'])
        await asyncio.sleep(0.2)


@FAULTS.register('target unreachable')
async def target_away(world, rnd):
    """Refuse, silence or cut one way the connections of a target."""
    proxy = rnd.choice(world.targets).proxy
    proxy.mode = rnd.choice((Mode.refusing, Mode.silent, Mode.one_way))
    proxy.reset()
    await asyncio.sleep(rnd.uniform(0.5, 4))
    proxy.mode = Mode.passing
    proxy.reset()


@FAULTS.register('connections reset')
async def reset(world, rnd):
    """Reset the open connections of all targets."""
    for target in world.targets:
        target.proxy.reset()


@FAULTS.register('answers of targets lost')
async def lose_target_answers(world, rnd):
    """Run some requests and lose their answers."""
    for target in world.targets:
        target.faults.lose_answers = 2


@FAULTS.register('targets refuse')
async def refuse(world, rnd):
    """Refuse some requests and some orders."""
    for target in world.targets:
        target.faults.shed = 2
        target.faults.conflicts = 2


@FAULTS.register('streams break off')
async def break_off(world, rnd):
    """Break a stream in the middle of an event."""
    for engine in world.engines:
        engine.faults.break_after = 1


@FAULTS.register('target starts anew')
async def rebirth(world, rnd):
    """Let an engine forget everything under its id."""
    world.rebirth(rnd.choice(world.engines))


@FAULTS.register('target leaves')
async def leave(world, rnd):
    """Drain a target, remove its entry and bring it back."""
    target = rnd.choice(world.targets)
    key = f'servers/{target.name}'
    world.store.put(key, target.entry('draining'))
    await asyncio.sleep(1)
    world.store.remove(key)
    await asyncio.sleep(1)
    world.store.put(key, target.entry())
