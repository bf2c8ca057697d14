"""Plan and run the processes of a demo fleet on the loopback interface."""

import asyncio
import os
import signal
import subprocess  # noqa: S404
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO

import yaml

from demo.sizes import FleetSize
from mintlanding.core.tests.ports import free_port

HOST = '127.0.0.1'
REGION = 'mx-centro'
PEPPER = 'demo-pepper-0123456789'
PEER_SECRET = 'demo-peer-secret-0123456789'  # noqa: S105
STOP_SECONDS = 90


@dataclass(slots=True)
class Process:
    """A process of the fleet with its command and its log."""

    name: str
    command: list[str]
    popen: subprocess.Popen[bytes] | None = None
    log: IO[bytes] | None = None


@dataclass(frozen=True, slots=True)
class Instance:
    """Ports and zone of one instance of the system."""

    name: str
    zone: str
    peer_port: int
    entry_port: int

    @property
    def url(self) -> str:
        """Return the URL of the entry."""
        return f'http://{HOST}:{self.entry_port}'

    @property
    def peer_address(self) -> str:
        """Return the address for other instances."""
        return f'{HOST}:{self.peer_port}'


@dataclass(frozen=True, slots=True)
class StandIn:
    """Ports and zone of one stand-in."""

    name: str
    kind: str
    zone: str
    port: int
    side_port: int
    service: str = ''

    @property
    def url(self) -> str:
        """Return the URL that agents and entries call."""
        return f'http://{HOST}:{self.port}'

    @property
    def side_url(self) -> str:
        """Return the URL for setting faults and reading records."""
        return f'http://{HOST}:{self.side_port}'


@dataclass(slots=True)
class Fleet:
    """All processes of the demo, with their planned ports and settings."""

    size: FleetSize
    folder: Path
    instances: list[Instance]
    standins: list[StandIn]
    admin_port: int
    processes: dict[str, Process] = field(default_factory=dict)

    @classmethod
    def from_size(cls, size: FleetSize, folder: Path) -> 'Fleet':
        """Plan instances and stand-ins on free ports."""
        ports = free_ports(2 * (size.instances + 40))
        instances = [
            Instance(
                f'instance-{number}',
                size.zones[number % len(size.zones)],
                ports.pop(),
                ports.pop(),
            )
            for number in range(size.instances)
        ]
        standins = [
            StandIn(name, kind, zone, ports.pop(), ports.pop(), service)
            for name, kind, zone, service in _plan_standins(size)
        ]
        return cls(size, folder, instances, standins, ports.pop())

    def standin(self, name: str) -> StandIn:
        """Return a stand-in by name."""
        return next(each for each in self.standins if each.name == name)

    @property
    def admin_url(self) -> str:
        """Return the URL of the administration API."""
        return f'http://{HOST}:{self.admin_port}'

    def write_settings(self, operators: dict[str, str]) -> None:
        """Write one settings file for each instance."""
        for number, each in enumerate(self.instances):
            document = self._settings(each)
            if number == 0:
                document['admin'] = {
                    'host': HOST,
                    'port': self.admin_port,
                    'operators': operators,
                }
            path = self._settings_path(each)
            path.write_text(yaml.safe_dump(document), encoding='utf-8')

    def start_standins(self) -> None:
        """Start the stand-ins of the platform and of the targets."""
        store = self.standin('weight-store')
        for each in self.standins:
            command = [
                'mintlanding.standin',
                f'--kind={each.kind}',
                f'--name={each.name}',
                f'--port={each.port}',
                f'--side-port={each.side_port}',
            ]
            if each.kind == 'engine':
                command += [
                    f'--slots={self.size.slots}',
                    f'--batch-limit={self.size.batch_limit}',
                    f'--store-url={store.url}',
                ]
            self.start(each.name, command)

    def start_instances(self) -> None:
        """Start the agent and the entry of each instance, and one admin."""
        for each in self.instances:
            self.start_instance(each)
        first = str(self._settings_path(self.instances[0]))
        self.start('admin', ['mintlanding.admin', first])

    def start_instance(self, instance: Instance) -> None:
        """Start the agent and the entry of one instance."""
        path = str(self._settings_path(instance))
        self.start(f'{instance.name}-agent', ['mintlanding.agent', path])
        self.start(f'{instance.name}-entry', ['mintlanding.entry', path])

    def start(self, name: str, module_and_arguments: Sequence[str]) -> None:
        """Start one process that logs to the fleet's folder."""
        command = [sys.executable, '-m', *module_and_arguments]
        log = (self.folder / f'{name}.log').open('ab')
        popen = subprocess.Popen(  # noqa: S603
            command,
            stdout=log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )
        self.processes[name] = Process(name, command, popen, log)

    def signal(self, name: str, signum: signal.Signals) -> None:
        """Send a signal to one process."""
        popen = self.processes[name].popen
        if popen is not None and popen.poll() is None:
            popen.send_signal(signum)

    async def stop_one(self, name: str) -> int:
        """Stop one process gracefully; return its exit code."""
        self.signal(name, signal.SIGTERM)
        return await self.wait(name)

    async def stop(self) -> None:
        """Stop all processes, the instances before the stand-ins."""
        standins = {each.name for each in self.standins}
        own = [name for name in self.processes if name not in standins]
        for group in (own, sorted(standins & set(self.processes))):
            for name in group:
                self.signal(name, signal.SIGTERM)
            await asyncio.gather(*map(self.wait, group))

    def exited(self) -> list[str]:
        """Return the names of the processes that have ended."""
        return [
            each.name
            for each in self.processes.values()
            if each.popen is not None and each.popen.poll() is not None
        ]

    def start_again(self, name: str) -> None:
        """Restart a process that has ended, with the same command."""
        self.start(name, self.processes[name].command[2:])

    async def wait(self, name: str) -> int:
        """Wait for a process to end; return its exit code.

        A process that still runs after STOP_SECONDS is killed.
        """
        process = self.processes[name]
        if process.popen is None:
            return 0
        kill_at = time.monotonic() + STOP_SECONDS
        while process.popen.poll() is None:
            if time.monotonic() > kill_at:
                process.popen.kill()
            await asyncio.sleep(0.02)
        if process.log is not None:
            process.log.close()
        return int(process.popen.returncode)

    def _settings_path(self, instance: Instance) -> Path:
        return self.folder / f'{instance.name}.yaml'

    def _settings(self, instance: Instance) -> dict[str, object]:
        seeds = [
            each.peer_address
            for each in self.instances
            if each.name != instance.name
        ]
        return {
            'instance': instance.name,
            'zone': instance.zone,
            'region': REGION,
            'key_pepper': PEPPER,
            'peers': {
                'host': HOST,
                'port': instance.peer_port,
                'secrets': [PEER_SECRET],
                'seeds': seeds,
            },
            'platform': {
                'key_value_url': self.standin('key-value').url,
                'instance_list_url': self.standin('instance-list').url,
            },
            'entry': {'host': HOST, 'port': instance.entry_port},
        }


def _plan_standins(size: FleetSize) -> list[tuple[str, str, str, str]]:
    zones = size.zones
    platform = [
        ('key-value', 'keyvalue', zones[0], ''),
        ('instance-list', 'instances', zones[0], ''),
        ('weight-store', 'weight-store', zones[0], ''),
    ]
    engines = [
        (
            f'planner-{number}',
            'engine',
            zones[number % len(zones)],
            'planner-models',
        )
        for number in range(size.workers)
    ]
    plain = [
        (f'orders-{number}', 'plain', zones[number % len(zones)], 'orders-api')
        for number in range(size.plain_workers)
    ]
    return [*platform, *engines, *plain]


def free_ports(count: int) -> list[int]:
    """Return free ports outside the range of outgoing connections."""
    return [free_port() for _ in range(count)]


def make_folder(root: str) -> Path:
    """Create the folder for settings and logs of one run."""
    folder = Path(root) / f'demo-{os.getpid()}'
    folder.mkdir(parents=True, exist_ok=True)
    return folder
