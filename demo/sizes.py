"""Sizes of the demo fleets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Counts of processes, adapters and slots of one demo fleet."""

    name: str
    zones: tuple[str, ...]
    instances: int
    workers: int
    plain_workers: int
    adapters: int
    workspaces: tuple[str, ...]
    slots: int
    batch_limit: int


_ZONES = ('mx-a', 'mx-b', 'mx-c')
_WORKSPACES = ('cadena', 'contratistas', 'hogar', 'mostrador', 'obra')

SIZES = {
    'full': FleetSize(
        'full',
        _ZONES,
        instances=7,
        workers=6,
        plain_workers=3,
        adapters=3000,
        workspaces=_WORKSPACES,
        slots=16,
        batch_limit=16,
    ),
    'small': FleetSize(
        'small',
        _ZONES,
        instances=3,
        workers=3,
        plain_workers=2,
        adapters=60,
        workspaces=_WORKSPACES[:3],
        slots=4,
        batch_limit=8,
    ),
}
