"""Settings file that the platform writes for each process."""

import ipaddress
import os
import re
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from mintlanding.byte_budget.models import MEGABYTE, ProcessLimits
from mintlanding.capacity.options import CapacityOptions
from mintlanding.conf.exceptions import SettingsError
from mintlanding.core.borders import border
from mintlanding.core.bounds import (
    MAX_AMOUNT,
    MAX_NAME_CHARACTERS,
    MAX_PORT,
    NAME_PATTERN,
)
from mintlanding.core.checks import CheckMessage
from mintlanding.node.settings import (
    Bounds,
    InstanceFacts,
    NodeSettings,
)
from mintlanding.traffic.homes import RegionMap
from mintlanding.traffic.retries import FleetRetryOptions

PATH_VARIABLE = 'MINTLANDING_NODE_FILE'
_DEFAULT_PATH = '/etc/mintlanding/boot.toml'
_MILLISECONDS = 1000
_PORT = re.compile('[0-9]{1,5}')
# Characters of an invalid address that its error shows.
_SHOWN_CHARACTERS = 80
# Default port of the metrics, the same as in deploy/system.toml.
_METRICS_PORT = 9464
# Name in `contracts` of a deployment that wants room, order and retry times.
_CAPACITY_CONTRACT = 'pressure'
_MAX_CONTRACTS = 256
# Overrides the port, for several instances on one machine.
_METRICS_VARIABLE = 'MINTLANDING_METRICS_PORT'


_Amount = Annotated[float, Field(ge=0, le=MAX_AMOUNT)]
# Name of a part that a deployment wants; unknown ones are ignored.
_Contract = Annotated[str, Field(max_length=MAX_NAME_CHARACTERS)]
_Port = Annotated[int, Field(ge=1, le=MAX_PORT)]
_Name = Annotated[
    str,
    Field(
        min_length=1,
        max_length=MAX_NAME_CHARACTERS,
        pattern=f'^{NAME_PATTERN}$',
    ),
]


class _Section(BaseModel):
    """Base class of all sections; unknown names are ignored."""

    model_config = ConfigDict(extra='ignore', frozen=True)


class _Listen(_Section):
    front: str
    ready: str
    control: str = ''


class _Bounds(_Section):
    contact_ms: _Amount = 3000
    drain_ms: _Amount = 2000
    grace_s: _Amount = 8
    apply_ms: _Amount = 2000
    retry_ratio: _Amount = 0.2
    retry_window_s: _Amount = 10
    retry_slack: _Amount = 50
    lease_ttl_ms: _Amount = 3000
    version_ms: _Amount = 5000
    quota_slack: _Amount = 0
    quota_window_s: _Amount = 8
    cold_excess: _Amount = 1.5
    cold_slack: _Amount = 5


class _Limits(_Section):
    link_mbps: _Amount = 0
    ram_mb: _Amount = 0
    max_fds: _Amount = 0


class _Platform(_Section):
    addr: str
    ttl_min_ms: _Amount = 1000


class _Boot(_Section):
    node: _Name
    ip: _Name
    zone: _Name
    region: str = ''
    # Region of each zone.
    zones: dict[str, str] = Field(default_factory=dict)
    port_range: list[_Port] = Field(min_length=2)
    listen: _Listen
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    platform: _Platform
    contracts: list[_Contract] = Field(default=[], max_length=_MAX_CONTRACTS)


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of a process: those of the node and the store's address."""

    node: NodeSettings
    store_address: tuple[str, int]


def settings_path() -> str:
    """Return the path of the settings file."""
    return os.environ.get(PATH_VARIABLE, _DEFAULT_PATH)


def load_settings(path: str) -> PlatformSettings:
    """Read the settings file; raise SettingsError with all errors found."""
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise _error(path, f'the file cannot be read: {exc}') from exc
    return parse_settings(text, path)


@border('settings', SettingsError)
def parse_settings(text: str, source: str = 'settings') -> PlatformSettings:
    """Parse and validate the text of a settings file."""
    try:
        document = tomllib.loads(text)
    except (ValueError, RecursionError) as exc:
        # Numbers of thousands of digits raise the first.
        raise _error(source, f'the file is not TOML: {exc}') from exc
    try:
        boot = _Boot.model_validate(document)
        return _convert(boot)
    except ValidationError as exc:
        raise SettingsError(
            [_message(source, each) for each in exc.errors()],
        ) from exc
    except ValueError as exc:
        raise _error(source, str(exc)) from exc


def parse_address(text: str) -> tuple[str, int]:
    """Split `IP:PORT`; raise ValueError for anything else."""
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError as exc:
        raise _invalid_address(text) from exc
    if not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise _invalid_address(text)
    return host, int(port)


def _invalid_address(text: str) -> ValueError:
    return ValueError(
        f'{text[:_SHOWN_CHARACTERS]!r} is not an address of the form IP:PORT '
        f'with a port of 1 to {MAX_PORT}'
    )


def _convert(boot: _Boot) -> PlatformSettings:
    bounds = boot.bounds
    node = NodeSettings(
        facts=InstanceFacts(
            instance=f'{boot.node}@{boot.ip}',
            zone=boot.zone,
            host=boot.ip,
            front=parse_address(boot.listen.front),
            ready=parse_address(boot.listen.ready),
            peer_port=boot.port_range[0],
            metrics_port=int(os.environ.get(_METRICS_VARIABLE, _METRICS_PORT)),
            link_mbps=boot.limits.link_mbps,
            path_port=_second_port(boot.port_range),
            regions=RegionMap(boot.region, boot.zones),
        ),
        bounds=Bounds(
            contact=bounds.contact_ms / _MILLISECONDS,
            drain=bounds.drain_ms / _MILLISECONDS,
            grace=bounds.grace_s,
            apply=bounds.apply_ms / _MILLISECONDS,
            min_order_gap=bounds.lease_ttl_ms / _MILLISECONDS,
            version=bounds.version_ms / _MILLISECONDS,
            shortest_lease=boot.platform.ttl_min_ms / _MILLISECONDS,
            cold_excess=bounds.cold_excess,
            cold_slack=bounds.cold_slack,
        ),
        retries=FleetRetryOptions(
            ratio=bounds.retry_ratio,
            window=bounds.retry_window_s,
            slack=bounds.retry_slack,
        ),
        capacity=CapacityOptions(
            is_enabled=_CAPACITY_CONTRACT in boot.contracts
        ),
        process=ProcessLimits(
            ram_bytes=int(boot.limits.ram_mb * MEGABYTE),
            max_fds=int(boot.limits.max_fds),
        ),
    )
    return PlatformSettings(node, parse_address(boot.platform.addr))


def _second_port(port_range: list[int]) -> int:
    """Return the port for paths of members, 0 if there is none left."""
    first, last = port_range[:2]
    return first + 1 if first < last else 0


def _message(source: str, error: Any) -> CheckMessage:
    place = '.'.join(str(part) for part in error['loc'])
    return CheckMessage(
        'platform.E002',
        f'{source}: {place}',
        error['msg'],
        'The platform writes this file; see its documentation.',
    )


def _error(source: str, message: str) -> SettingsError:
    hint = f'Set {PATH_VARIABLE} to the path of a settings file in TOML.'
    return SettingsError([CheckMessage('platform.E001', source, message, hint)])
