"""Faults that the chaos run draws from; each ends with its repair."""

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
    await world.side.http.call(HttpRequest('PUT', url, [JSON_HEADER], body))


async def post_side(world: World, name: str, path: str) -> None:
    """Ask a stand-in over its side port to do something once."""
    url = f'{world.fleet.standin(name).side_url}/{path}'
    await world.side.http.call(HttpRequest('POST', url, [JSON_HEADER], b'{}'))


def pick_process(world: World, rnd: random.Random, kind: str) -> str:
    """Draw an agent or an entry."""
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
    """Stop an agent's process for longer than its lease."""
    await _freeze(world, pick_process(world, rnd, 'agent'))


@FAULTS.register('freeze an entry')
async def freeze_entry(world: World, rnd: random.Random) -> None:
    """Stop an entry's process for a while."""
    await _freeze(world, pick_process(world, rnd, 'entry'))


@FAULTS.register('key-value service down')
async def stop_key_value(world: World, rnd: random.Random) -> None:
    """Close the port of the key-value service for longer than a lease."""
    await set_faults(world, 'key-value', Faults(down=True))
    await asyncio.sleep(OUTAGE_SECONDS)
    await set_faults(world, 'key-value', Faults())


@FAULTS.register('key-value service slow')
async def slow_key_value(world: World, rnd: random.Random) -> None:
    """Delay every answer of the key-value service."""
    await set_faults(world, 'key-value', Faults(delay_seconds=1.5))
    await asyncio.sleep(OUTAGE_SECONDS)
    await set_faults(world, 'key-value', Faults())


@FAULTS.register('key-value service loses answers')
async def lose_answers(world: World, rnd: random.Random) -> None:
    """Let writes take effect without an answer."""
    await set_faults(world, 'key-value', Faults(lose_answers=5))
    await asyncio.sleep(2)


@FAULTS.register('engine restarts cold')
async def restart_engine(world: World, rnd: random.Random) -> None:
    """Let an engine lose its adapters and its requests."""
    await post_side(world, rnd.choice(world.engines()), 'restart')


@FAULTS.register('adapter loads fail')
async def fail_loads(world: World, rnd: random.Random) -> None:
    """Let the next loads of an engine fail."""
    await set_faults(world, rnd.choice(world.engines()), Faults(fail_loads=3))
    await asyncio.sleep(3)


@FAULTS.register('connections of an engine go silent')
async def silence_engine(world: World, rnd: random.Random) -> None:
    """Never answer again on what is open."""
    await post_side(world, rnd.choice(world.engines()), 'silence')


@FAULTS.register('plain service dies after the run')
async def die_after_run(world: World, rnd: random.Random) -> None:
    """Let calls run and their answers be lost."""
    name = rnd.choice(world.plain())
    await set_faults(world, name, Faults(die_after_run=5))
    await asyncio.sleep(2)
    await set_faults(world, name, Faults())


@FAULTS.register('replace an instance')
async def replace_instance(world: World, rnd: random.Random) -> None:
    """Stop an instance gracefully and start it again."""
    instance = rnd.choice(world.fleet.instances)
    world.away.add(instance.name)
    names = (f'{instance.name}-entry', f'{instance.name}-agent')
    await asyncio.gather(*map(world.fleet.stop_one, names))
    world.fleet.start_instance(instance)
    await asyncio.sleep(2)
    world.away.discard(instance.name)


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
