"""Start the demo fleet, send requests through it and print the checks."""

import asyncio
import os
import sys
import tempfile

import fire

from demo import scenarios  # noqa: F401
from demo.clients import SidePorts, side_records_url, wait_for_port
from demo.fleet import REGION, Fleet, make_folder
from demo.operator import Operator, operators
from demo.seed import adapter_objects, base_objects
from demo.sizes import SIZES
from demo.table import SCENARIOS, Row, render
from demo.world import World, poll

READY_SECONDS = 60
EXIT_NOT_HELD = 1


def list_records(fleet: Fleet) -> list[dict[str, str]]:
    """Return the records of all instances for the platform's instance list."""
    return [
        {
            'instance': each.name,
            'zone': each.zone,
            'region': REGION,
            'address': each.peer_address,
            'state': 'live',
        }
        for each in fleet.instances
    ]


async def start_world(fleet: Fleet) -> World:
    """Start all processes, apply the configuration and wait until ready."""
    fleet.write_settings(operators())
    world = World(fleet, Operator(fleet), SidePorts(fleet), {})
    world.print_progress(f'starting {len(fleet.standins)} stand-ins')
    fleet.start_standins()
    http = world.side_ports.http
    waits = [
        wait_for_port(side_records_url(each), http) for each in fleet.standins
    ]
    await asyncio.gather(*waits)
    await world.side_ports.list_instances(list_records(fleet))
    world.print_progress(
        f'starting {len(fleet.instances)} instances and one admin'
    )
    fleet.start_instances()
    await wait_for_port(f'{fleet.admin_url}/openapi.json', http)
    await seed(world)
    return world


async def seed(world: World) -> None:
    """Apply the configuration and wait until every entry can serve."""
    size = world.fleet.size
    objects = [*base_objects(world.fleet), *adapter_objects(size)]
    revision = await world.operator.apply(objects)
    world.print_progress(f'{len(objects)} objects applied, revision {revision}')
    for workspace in size.workspaces:
        _, text = await world.operator.grant_key(workspace)
        world.keys[workspace] = text
    elapsed = await poll(lambda: _is_served_everywhere(world), READY_SECONDS)
    if elapsed is None:
        raise TimeoutError(f'fleet not ready after {READY_SECONDS} s')
    world.print_progress(f'every entry serves after {elapsed:.1f} s')


async def run_scenarios(world: World) -> list[Row]:
    """Run all scenarios in turn; one that raises counts as not held."""
    rows: list[Row] = []
    for name, scenario in SCENARIOS:
        world.print_progress(name)
        try:
            rows.extend(await scenario(world))
        except Exception as exc:
            rows.append(Row(name, is_held=False, figure=repr(exc)[:80]))
    return rows


async def run(size: str, *, keep: bool) -> int:
    """Run the demo; return the exit code."""
    root = os.environ.get('DEMO_FOLDER', tempfile.gettempdir())
    fleet = Fleet.from_size(SIZES[size], make_folder(root))
    try:
        world = await start_world(fleet)
        if keep:
            await _wait_for_interrupt(world)
            return 0
        rows = await run_scenarios(world)
    finally:
        await fleet.stop()
    print(render(rows))  # noqa: WPS421
    print(f'logs: {fleet.folder}')  # noqa: WPS421
    broken = [row.check for row in rows if not row.is_held]
    for check in broken:
        print(f'NOT HELD: {check}')  # noqa: WPS421
    return EXIT_NOT_HELD if broken else 0


async def _is_served_everywhere(world: World) -> bool:
    """Return whether every entry serves a request of every workspace.

    Each workspace has a bucket of its own at each entry.
    """
    responses = await asyncio.gather(
        *(
            world.caller(workspace).complete(
                world.adapters(workspace, 1)[0],
                tokens=1,
                instance=instance,
            )
            for workspace in world.fleet.size.workspaces
            for instance in world.fleet.instances
        ),
    )
    return all(response.is_ok for response in responses)


async def _wait_for_interrupt(world: World) -> None:
    for each in world.fleet.instances:
        world.print_progress(
            f'callers: {each.url}/v1 ({each.name}, {each.zone})'
        )
    world.print_progress(f'operators: {world.fleet.admin_url}')
    for workspace, key in world.keys.items():
        world.print_progress(f'key of {workspace}: {key}')
    world.print_progress('press Ctrl-C to stop')
    await asyncio.Event().wait()


def main(keep: bool = False) -> None:
    """Run the demo fleet.

    Args:
        keep: Keep the fleet running instead of sending requests through it.
    """
    size = os.environ.get('DEMO_SIZE', 'full')
    if size not in SIZES:
        sys.exit(f'DEMO_SIZE must be one of {", ".join(SIZES)}')
    try:
        sys.exit(asyncio.run(run(size, keep=keep)))
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == '__main__':
    fire.Fire(main)
