"""The configuration that the demo fleet starts with."""

from collections.abc import Iterator

from demo.fleet import Fleet
from demo.sizes import FleetSize
from mintlanding.configuration.models import (
    Adapter,
    AdapterVersion,
    AnyObject,
    Selector,
    Service,
    Settings,
    Target,
    Workspace,
)

ENGINE_SERVICE = 'planner-models'
PLAIN_SERVICE = 'orders-api'
SEAT_COUNT = 18
RATE = 40_000
BURST = 120_000
SMALL_RATE = 2_000
SMALL_BURST = 6_000


def adapter_name(number: int) -> str:
    """Return the name of an adapter by number."""
    return f'layout-{number:04}'


def workspace_of(size: FleetSize, number: int) -> str:
    """Return the workspace that owns an adapter."""
    return size.workspaces[number % len(size.workspaces)]


def base_objects(fleet: Fleet) -> Iterator[AnyObject]:
    """Yield everything but adapters and keys."""
    zones = ','.join(fleet.size.zones)
    limits: dict[str, float | str | bool] = {'seats': SEAT_COUNT}
    limits['zones'] = zones
    yield Settings(name='limits', values=limits)
    yield Service(name=ENGINE_SERVICE, engine=True, base_model='tile-7b')
    yield Service(name=PLAIN_SERVICE)
    for index, workspace in enumerate(fleet.size.workspaces):
        is_large = index < len(fleet.size.workspaces) - 1
        yield Workspace(
            name=workspace,
            rate=RATE if is_large else SMALL_RATE,
            burst=BURST if is_large else SMALL_BURST,
        )
        yield Selector(
            name=f'kitchen-{workspace}',
            workspace=workspace,
            match='stage=stable, room=kitchen',
        )
    for each in fleet.standins:
        if each.service:
            yield Target(
                name=each.name,
                service=each.service,
                zone=each.zone,
                url=each.url,
                slots=fleet.size.slots if each.kind == 'engine' else 0,
                batch_limit=fleet.size.batch_limit,
                checks_fencing=each.kind == 'engine',
            )


def adapter_objects(size: FleetSize) -> Iterator[AnyObject]:
    """Yield all adapters with their versions."""
    for number in range(size.adapters):
        name = adapter_name(number)
        room = 'kitchen' if number % 10 < len(size.workspaces) else 'bath'
        yield Adapter(
            name=name,
            workspace=workspace_of(size, number),
            service=ENGINE_SERVICE,
            default_version='1',
            labels={'room': room},
        )
        yield AdapterVersion(
            name=f'{name}@1',
            weights=f'weights/{name}/1',
            labels={'stage': 'stable'},
        )
