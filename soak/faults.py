"""Faults that a soak injects from outside the processes.

Each function returns once its fault is repaired or left to take effect.
"""

import asyncio
import signal
import time

from mintlanding.core.registry import Registry
from mintlanding.platform.tests.samples import CONFIG
from soak.proxy import Mode

FAULTS = Registry('soak fault')


@FAULTS.register('kill')
async def kill(world, rnd):
    """Kill an instance and start it again."""
    await rnd.choice(world.instances).restart(signal.SIGKILL, rnd.random() * 3)


@FAULTS.register('kill all')
async def kill_all(world, rnd):
    """Kill all instances at once and start them again."""
    await asyncio.gather(
        *(each.restart(signal.SIGKILL, 0.3) for each in world.instances),
    )


@FAULTS.register('replace in turn')
async def replace(world, rnd):
    """Restart two instances one after the other, as in planned maintenance."""
    for instance in rnd.sample(world.instances, 2):
        await instance.restart(signal.SIGTERM, 0.1)


@FAULTS.register('freeze')
async def freeze(world, rnd):
    """Suspend an instance, sometimes for longer than its lease."""
    await rnd.choice(world.instances).freeze(rnd.uniform(0.5, 6))


@FAULTS.register('reload')
async def reload(world, rnd):
    """Signal all instances to reload their settings."""
    for instance in world.instances:
        # Until the interpreter has installed its handlers, SIGHUP ends it.
        if time.monotonic() > instance.started_at + 1:
            instance.signal(signal.SIGHUP)


@FAULTS.register('store away')
async def disrupt_store(world, rnd):
    """Refuse, drop or delay all calls to the store, or drop its responses."""
    modes = (Mode.refusing, Mode.silent, Mode.delaying, Mode.one_way)
    world.store_proxy.mode = rnd.choice(modes)
    world.store_proxy.reset()
    await asyncio.sleep(rnd.uniform(1, 6))
    world.store_proxy.mode = Mode.passing
    world.store_proxy.reset()


@FAULTS.register('answers of the store lost')
async def lose_store_responses(world, rnd):
    """Apply some writes and drop their responses."""
    world.store.faults.lose_answers = rnd.randrange(1, 6)


@FAULTS.register('history lost')
async def lose_history(world, rnd):
    """Change the configuration and compact the history of the store."""
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
async def disrupt_target(world, rnd):
    """Refuse or drop all traffic of a target, or drop its responses."""
    proxy = rnd.choice(world.targets).proxy
    proxy.mode = rnd.choice((Mode.refusing, Mode.silent, Mode.one_way))
    proxy.reset()
    await asyncio.sleep(rnd.uniform(0.5, 4))
    proxy.mode = Mode.passing
    proxy.reset()


@FAULTS.register('connections reset')
async def reset_connections(world, rnd):
    """Reset the open connections of all targets."""
    for target in world.targets:
        target.proxy.reset()


@FAULTS.register('answers of targets lost')
async def lose_target_responses(world, rnd):
    """Run some requests and drop their responses."""
    for target in world.targets:
        target.faults.lose_answers = 2


@FAULTS.register('targets refuse')
async def refuse(world, rnd):
    """Refuse some requests and some orders."""
    for target in world.targets:
        target.faults.shed = 2
        target.faults.conflicts = 2


@FAULTS.register('streams break off')
async def break_streams(world, rnd):
    """Break a stream of each engine in the middle of an event.

    Responses end in turn with their last chunk and with their connection.
    """
    for engine in world.engines:
        engine.faults.break_after = 1
        engine.faults.unframed = not engine.faults.unframed


@FAULTS.register('target starts anew')
async def restart_engine(world, rnd):
    """Restart an engine, which loses all state and keeps its id."""
    world.begin_new_incarnation(rnd.choice(world.engines))


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
