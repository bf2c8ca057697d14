"""Faults that a soak injects from outside the processes.

Each function returns once its fault is repaired or left to take effect.
"""

import asyncio
import random
import signal
import time

from mintlanding.core.registry import Registry
from mintlanding.platform.tests.samples import CONFIG
from soak.late_callers import leave_early, stream_into_stop
from soak.proxy import LateOrders, Mode, NewConnections, OldConnections
from soak.world import CONTACT_SECONDS

FAULTS = Registry('soak fault')


@FAULTS.register('kill')
async def kill(world, rnd):
    """Kill an instance and start it again."""
    instance = rnd.choice(world.instances)
    with world.disruption(instance):
        await instance.restart(signal.SIGKILL, rnd.random() * 3)


@FAULTS.register('kill all')
async def kill_all(world, rnd):
    """Kill all instances at once and start them again."""
    with world.disruption():
        await asyncio.gather(
            *(each.restart(signal.SIGKILL, 0.3) for each in world.instances),
        )


@FAULTS.register('kill all amid streams')
async def kill_all_amid_streams(world, rnd):
    """Kill all instances while slow streams run, sometimes as a build leaves.

    Clients take the streams up again; those of a build that has left must not
    go on at another one.
    """
    for engine in world.engines:
        engine.faults.event_pause = rnd.uniform(0.3, 1)
    await asyncio.sleep(rnd.uniform(0.5, 2))
    leaving = rnd.choice((None, world.engines[-1]))
    if leaving is not None:
        begin_absence(world, leaving)
        world.store.remove(f'servers/{leaving.name}')
    await kill_all(world, rnd)
    for engine in world.engines:
        engine.faults.event_pause = 0.005
    await asyncio.sleep(3)
    if leaving is not None:
        end_absence(world, leaving)


@FAULTS.register('replace in turn')
async def replace(world, rnd):
    """Restart two instances one after the other, as in planned maintenance."""
    for instance in rnd.sample(world.instances, 2):
        with world.disruption(instance):
            await instance.restart(signal.SIGTERM, 0.1)


@FAULTS.register('long streams in a planned stop')
async def stop_under_streams(world, rnd):
    """Stop an instance whose clients go on with streams of all sizes."""
    instance = rnd.choice(world.instances)
    stopping = asyncio.get_running_loop().create_future()
    streams = [
        asyncio.create_task(stream_into_stop(world, instance, rnd, stopping))
        for _ in range(8)
    ]
    # The connections are used before.
    await asyncio.sleep(rnd.uniform(1.5, 3))
    with world.disruption(instance) as row:
        stopping.set_result(row)
        await instance.restart(signal.SIGTERM, 0.1)
    await asyncio.gather(*streams)


@FAULTS.register('freeze')
async def freeze(world, rnd):
    """Suspend an instance, sometimes for longer than its lease."""
    instance = rnd.choice(world.instances)
    with world.disruption(instance):
        await instance.freeze(rnd.uniform(0.5, 6))


@FAULTS.register('holder stopped')
async def stop_holder(world, rnd):
    """Suspend the holder of an engine until others have taken it over.

    That happens while the others run; one is suspended after the other.
    """
    holder = world.holder(rnd.choice(world.engines))
    if holder is None or any(each.lock.locked() for each in world.instances):
        return
    with world.disruption(holder):
        await holder.freeze(rnd.uniform(6.5, 8))


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
    with world.disruption():
        await _disrupt(
            [each.store_proxy for each in world.instances],
            rnd.choice(modes),
            rnd.uniform(1, 6),
        )


@FAULTS.register('store away for one')
async def cut_off_from_store(world, rnd):
    """Partition an instance from the store while a plain target leaves."""
    instance = rnd.choice(world.instances)
    target = rnd.choice(world.plain)
    mode = rnd.choice((Mode.refusing, Mode.silent))
    with world.disruption(instance):
        cut = asyncio.create_task(_disrupt([instance.store_proxy], mode, 4))
        await asyncio.sleep(2.5)
        begin_absence(world, target)
        world.store.remove(f'servers/{target.name}')
        await cut
    await asyncio.sleep(5)
    end_absence(world, target)


@FAULTS.register('answers of the store lost')
async def lose_store_responses(world, rnd):
    """Apply some writes and drop their responses."""
    with world.disruption():
        world.store.faults.lose_answers = rnd.randrange(1, 6)


@FAULTS.register('history lost')
async def lose_history(world, rnd):
    """Change the configuration and compact the history of the store."""
    with world.disruption():
        world.configure()
        world.store.faults.oldest_revision = world.store.revision
        await asyncio.sleep(2)
        world.store.faults.oldest_revision = 0


@FAULTS.register('store restored')
async def restore_store(world, rnd):
    """Return the store from a copy; instances have lost what they wrote.

    Operators and targets write theirs again.
    """
    saved = world.store.copy()
    await asyncio.sleep(rnd.uniform(0.2, 4))
    with world.disruption():
        world.restore_store(saved)
        # Instances wait in the new era before they send orders.
        await asyncio.sleep(CONTACT_SECONDS)


@FAULTS.register('configurations')
async def configurations(world, rnd):
    """Write configurations in quick succession."""
    for _ in range(4):
        world.configure(routes=CONFIG['routes'])
        await asyncio.sleep(0.2)


@FAULTS.register('target unreachable')
async def disrupt_target(world, rnd):
    """Refuse or drop all traffic of a target, or drop its responses."""
    proxies = rnd.choice(world.targets).proxies
    mode = rnd.choice((Mode.refusing, Mode.silent, Mode.one_way))
    with world.disruption():
        await _disrupt(proxies, mode, rnd.uniform(0.5, 4))


@FAULTS.register('connections reset')
async def reset_connections(world, rnd):
    """Reset the open connections of all targets."""
    with world.disruption():
        for target in world.targets:
            for proxy in target.proxies:
                proxy.reset()


@FAULTS.register('instances cut off from targets')
async def cut_off_from_targets(world, rnd):
    """Cut some instances from all or some targets, at times each second."""
    if any(end == float('inf') for _, end, _ in world.cuts):
        return
    instances = rnd.sample(world.instances, rnd.randrange(1, world.count))
    targets = rnd.choice((world.targets, rnd.sample(world.targets, 3)))
    proxies = [
        target.proxies[each.number] for target in targets for each in instances
    ]
    new = rnd.choice(tuple(NewConnections))
    old = rnd.choice(tuple(OldConnections))
    times, seconds = rnd.choice(((1, 6), (1, 10), (4, 1)))
    with world.cut(instances):
        for _ in range(times):
            await asyncio.gather(*(each.cut(new, old) for each in proxies))
            await asyncio.sleep(seconds)
            await asyncio.gather(*(each.heal() for each in proxies))
            if times > 1:
                await asyncio.sleep(1)


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
    begin_absence(world, target)
    world.store.put(key, target.entry('draining'))
    await asyncio.sleep(1)
    world.store.remove(key)
    await asyncio.sleep(2.5)
    end_absence(world, target)


@FAULTS.register('zone evacuated')
async def evacuate(world, rnd):
    """Empty a zone for a while, which may still be empty for another fault."""
    zone = rnd.choice(('z1', 'z2'))
    if any(
        each == zone and end == float('inf') for each, _, end in world.empty
    ):
        return
    row = [zone, time.monotonic(), float('inf')]
    world.empty.append(row)
    world.store.put(f'op/evacuate/{zone}', b'{}')
    await asyncio.sleep(rnd.uniform(2, 9))
    row[-1] = time.monotonic()
    world.store.remove(f'op/evacuate/{zone}')


@FAULTS.register('target turns cold')
async def turn_cold(world, rnd):
    """Let a target say for a while that it is cold."""
    target = rnd.choice(world.targets)
    if target.cold_ms:
        return
    begin, seconds = time.monotonic(), rnd.uniform(0.5, 7)
    target.cold_ms = 8000
    world.register(target)
    await asyncio.sleep(seconds)
    world.cold.append((target, begin, begin + seconds))
    target.cold_ms = 0
    world.register(target)


@FAULTS.register('part crashes engines')
async def crash_engines(world, rnd):
    """Let engines crash under a part of a prompt for a while."""
    if world.crash_part:
        return
    world.crash_part = b'bad%x' % rnd.getrandbits(32)
    for engine in world.engines:
        engine.faults.crash_part = world.crash_part
    await asyncio.sleep(rnd.uniform(6, 12))
    world.crash_part = b''


@FAULTS.register('request crashes targets')
async def crash_targets(world, rnd):
    """Let engines or plain targets crash under one request for a while."""
    if world.crash_body:
        return
    world.crash_kind = rnd.choice(('live', 'batch', 'order'))
    world.crash_body = b'deadly%x' % rnd.getrandbits(32)
    is_plain = world.crash_kind == 'order'
    targets = world.plain if is_plain else world.engines
    for target in targets:
        target.faults.crash_body = world.crash_body
        target.faults.restart_after = rnd.uniform(1, 2)
    await asyncio.sleep(rnd.uniform(6, 12))
    world.crash_body = b''


@FAULTS.register('targets name limits')
async def name_limits(world, rnd):
    """Let some targets name a limit for a while."""
    targets = rnd.sample(world.targets, rnd.randint(1, 3))
    for target in targets:
        target.name_limit(rnd.choice((0.0, 1.5, 4.0, 8.0)))
    await asyncio.sleep(rnd.uniform(5, 12))
    for target in targets:
        target.name_limit(None)


@FAULTS.register('targets are brittle')
async def be_brittle(world, rnd):
    """Let the targets of a service be brittle, with less and less room."""
    targets = rnd.choice((world.plain, world.engines))
    if any(each.faults.brittle is not None for each in targets):
        return
    bears = rnd.choice((1, 2, 4))
    for target in targets:
        target.become_brittle(bears)
    await asyncio.sleep(CONTACT_SECONDS)
    for target in targets:
        target.faults.restart_after = rnd.uniform(1, 2)
        target.delay = rnd.uniform(0.1, 0.4)
        target.faults.waiting_room = rnd.randint(0, 3)
        target.faults.slots = 1
    await asyncio.sleep(rnd.uniform(2, 5))
    for target in targets:
        target.faults.waiting_room = 0
    await asyncio.sleep(rnd.uniform(2, 5))
    for target in targets:
        target.stop_being_brittle()


@FAULTS.register('targets say they leave')
async def announce_leaving(world, rnd):
    """Let a target say in its responses alone that it leaves, then restart."""
    target = rnd.choice(world.targets)
    if target.faults.leaving:
        return
    target.announce_leaving()
    await asyncio.sleep(rnd.uniform(3, 7))
    target.stop_leaving()
    world.begin_new_incarnation(target)


@FAULTS.register('targets ask for pauses')
async def ask_for_pauses(world, rnd):
    """Turn requests away with the time until which no more are wanted."""
    for target in rnd.sample(world.targets, rnd.randint(1, 3)):
        target.faults.pause = rnd.choice((0.6, 2.0, 4.0))
        target.faults.shed = 2


@FAULTS.register('callers leave in pauses')
async def leave_in_pauses(world, rnd):
    """Let callers leave while the targets of a service ask for pauses."""
    targets, kinds = rnd.choice(
        ((world.plain, ('order', 'lookup')), (world.engines, ('live', 'batch')))
    )
    tasks = []
    for _ in range(rnd.randint(3, 6)):
        for target in targets:
            target.faults.pause = rnd.choice((0.6, 1.0, 1.5))
            target.faults.shed = 3
        for _ in range(12):
            instance = rnd.choice(world.instances)
            leaving = leave_early(world, instance, rnd, rnd.choice(kinds))
            tasks.append(asyncio.create_task(leaving))
            await asyncio.sleep(rnd.uniform(0, 0.03))
        await asyncio.sleep(rnd.uniform(0.8, 1.8))
    await asyncio.gather(*tasks)


@FAULTS.register('report without end')
async def send_endless_reports(world, rnd):
    """Answer requests for an engine's report with a body without end."""
    engine = rnd.choice(world.engines)
    engine.faults.endless_reports = True
    await asyncio.sleep(rnd.uniform(1, 3))
    engine.faults.endless_reports = False


@FAULTS.register('orders late')
async def delay_orders(world, rnd):
    """Let orders reach some engines late, or twice, for a while.

    Senders get no answer to a late one and go on, on other connections.
    """
    engines = rnd.sample(world.engines, rnd.randint(1, len(world.engines)))
    late = LateOrders(
        random.Random(rnd.getrandbits(32)),
        late_share=rnd.choice((0.1, 0.4, 0.7)),
        double_share=rnd.choice((0, 0.1, 0.3)),
    )
    proxies = [proxy for engine in engines for proxy in engine.proxies]
    for proxy in proxies:
        proxy.late_orders.append(late)
    await asyncio.sleep(rnd.uniform(4, 12))
    for proxy in proxies:
        proxy.late_orders.remove(late)


async def _disrupt(proxies, mode, seconds):
    for proxy in proxies:
        proxy.mode = mode
        proxy.reset()
    await asyncio.sleep(seconds)
    for proxy in proxies:
        proxy.mode = Mode.passing
        proxy.reset()


def begin_absence(world, target):
    """Record that a target leaves; several faults may overlap."""
    target.absences.append([time.monotonic(), float('inf')])


def end_absence(world, target):
    """Register a target again and end all its absences."""
    for absence in target.absences:
        absence[1] = min(absence[1], time.monotonic())
    world.register(target)
