"""Faults of the chaos run; each function returns once its fault is repaired."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

import msgspec

from demo.clients import JSON_HEADER
from demo.world import World
from mintlanding.core.http_client import HttpRequest
from mintlanding.core.registry import Registry
from mintlanding.standin.faults import Faults

FREEZE_SECONDS = 9.0
OUTAGE_SECONDS = 8.0

Fault = Callable[[World, random.Random], Awaitable[None]]
FAULTS: Registry[Fault] = Registry('fault')


async def set_faults(world: World, name: str, faults: Faults) -> None:
    """Set the faults of a stand-in over its side port."""
    url = f'{world.fleet.standin(name).side_url}/faults'
    body = msgspec.json.encode(faults)
    await world.side_ports.http.call(
        HttpRequest('PUT', url, [JSON_HEADER], body)
    )


async def post_to_side_port(world: World, name: str, path: str) -> None:
    """Trigger an action of a stand-in over its side port."""
    url = f'{world.fleet.standin(name).side_url}/{path}'
    await world.side_ports.http.call(
        HttpRequest('POST', url, [JSON_HEADER], b'{}')
    )


def pick_process(world: World, rnd: random.Random, kind: str) -> str:
    """Return the name of a random agent or entry process."""
    instance = rnd.choice(world.fleet.instances)
    return f'{instance.name}-{kind}'


@FAULTS.register('kill an agent')
async def kill_agent(world: World, rnd: random.Random) -> None:
    """Kill an agent and start it again."""
    await _kill(world, pick_process(world, rnd, 'agent'))


@FAULTS.register('kill an entry')
async def kill_entry(world: World, rnd: random.Random) -> None:
    """Kill an entry and start it again."""
    await _kill(world, pick_process(world, rnd, 'entry'))


@FAULTS.register('freeze an agent beyond its lease')
async def freeze_agent(world: World, rnd: random.Random) -> None:
    """Suspend an agent's process for longer than its lease."""
    await _freeze(world, pick_process(world, rnd, 'agent'))


@FAULTS.register('freeze an entry')
async def freeze_entry(world: World, rnd: random.Random) -> None:
    """Suspend an entry's process for a while."""
    await _freeze(world, pick_process(world, rnd, 'entry'))


@FAULTS.register('key-value service down')
async def stop_key_value(world: World, rnd: random.Random) -> None:
    """Close the port of the key-value service for longer than a lease."""
    await set_faults(world, 'key-value', Faults(down=True))
    await asyncio.sleep(OUTAGE_SECONDS)
    await set_faults(world, 'key-value', Faults())


@FAULTS.register('key-value service slow')
async def slow_key_value(world: World, rnd: random.Random) -> None:
    """Delay every response of the key-value service."""
    await set_faults(world, 'key-value', Faults(delay_seconds=1.5))
    await asyncio.sleep(OUTAGE_SECONDS)
    await set_faults(world, 'key-value', Faults())


@FAULTS.register('key-value service loses answers')
async def lose_responses(world: World, rnd: random.Random) -> None:
    """Apply some writes and drop their responses."""
    await set_faults(world, 'key-value', Faults(lose_answers=5))
    await asyncio.sleep(2)


@FAULTS.register('engine restarts cold')
async def restart_engine(world: World, rnd: random.Random) -> None:
    """Restart an engine, which loses its adapters and its requests."""
    await post_to_side_port(world, rnd.choice(world.engines()), 'restart')


@FAULTS.register('adapter loads fail')
async def fail_loads(world: World, rnd: random.Random) -> None:
    """Fail the next adapter loads of an engine."""
    await set_faults(world, rnd.choice(world.engines()), Faults(fail_loads=3))
    await asyncio.sleep(3)


@FAULTS.register('connections of an engine go silent')
async def silence_engine(world: World, rnd: random.Random) -> None:
    """Stop sending on the open connections of an engine."""
    await post_to_side_port(world, rnd.choice(world.engines()), 'silence')


@FAULTS.register('plain service dies after the run')
async def die_after_run(world: World, rnd: random.Random) -> None:
    """Run some calls and drop their responses."""
    name = rnd.choice(world.plain())
    await set_faults(world, name, Faults(die_after_run=5))
    await asyncio.sleep(2)
    await set_faults(world, name, Faults())


@FAULTS.register('replace an instance')
async def replace_instance(world: World, rnd: random.Random) -> None:
    """Stop an instance gracefully and start it again."""
    instance = rnd.choice(world.fleet.instances)
    world.excluded.add(instance.name)
    names = (f'{instance.name}-entry', f'{instance.name}-agent')
    await asyncio.gather(*map(world.fleet.stop_one, names))
    world.fleet.start_instance(instance)
    await asyncio.sleep(2)
    world.excluded.discard(instance.name)


async def _kill(world: World, name: str) -> None:
    world.fleet.signal(name, signal.SIGKILL)
    await world.fleet.wait(name)
    await asyncio.sleep(1)
    world.fleet.start_again(name)
    await asyncio.sleep(2)


async def _freeze(world: World, name: str) -> None:
    world.fleet.signal(name, signal.SIGSTOP)
    await asyncio.sleep(FREEZE_SECONDS)
    world.fleet.signal(name, signal.SIGCONT)
