"""Start, freeze and kill real stand-in processes; end only these."""

import asyncio
import contextlib
import random
import signal
import socket
import sys
from pathlib import Path

import msgspec

from mintlanding.core.exceptions import MintlandingError
from mintlanding.core.http_client import HttpClient, HttpRequest
from mintlanding.standin.records import Record

_START_POLLS = 1500
_POLL_SECONDS = 0.02


def free_port():
    """Return a free port outside of the range of outgoing connections."""
    while True:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(('127.0.0.1', port))
            return port


class StandinProcess:
    """One stand-in as a process of its own."""

    def __init__(self, kind, folder, **options):
        self.port = free_port()
        self.side_port = free_port()
        self.journal = Path(folder) / f'{kind}-{self.port}.jsonl'
        self.url = f'http://127.0.0.1:{self.port}'
        self._client = HttpClient.from_config()
        self._process = None
        self._options = {
            'kind': kind,
            'port': self.port,
            'side_port': self.side_port,
            'journal': str(self.journal),
            **options,
        }

    async def start(self):
        """Start and wait until the side port answers."""
        options = [f'--{name}={each}' for name, each in self._options.items()]
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'mintlanding.standin',
            *options,
            stderr=asyncio.subprocess.DEVNULL,
        )
        for _ in range(_START_POLLS):
            with contextlib.suppress(MintlandingError):
                await self.side('GET', '/faults')
                return
            assert self._process.returncode is None, 'the stand-in has ended'
            await asyncio.sleep(_POLL_SECONDS)
        raise AssertionError('the stand-in does not answer')

    async def side(self, method, path, body=None):
        """Call the side port."""
        url = f'http://127.0.0.1:{self.side_port}{path}'
        raw = b'' if body is None else msgspec.json.encode(body)
        answer = await self._client.call(HttpRequest(method, url, body=raw))
        return msgspec.json.decode(answer.body)

    def freeze(self):
        """Stop the process where it is."""
        self._process.send_signal(signal.SIGSTOP)

    def thaw(self):
        """Let it go on."""
        self._process.send_signal(signal.SIGCONT)

    async def kill(self):
        """Kill it without notice."""
        self._process.kill()
        await self._process.wait()

    async def terminate(self):
        """Ask it to end and return its exit code."""
        self._process.terminate()
        return await self._process.wait()

    async def end(self):
        """Make sure that it is gone."""
        if self._process is not None and self._process.returncode is None:
            self.thaw()
            await self.kill()

    def records(self, event):
        """Return what the target recorded, also from a killed process."""
        if not self.journal.exists():
            return []
        lines = self.journal.read_bytes().splitlines()
        decoded = [msgspec.json.decode(line, type=Record) for line in lines]
        return [each for each in decoded if each.event == event]


@contextlib.asynccontextmanager
async def running(kind, folder, **options):
    """Run a stand-in and end it."""
    standin = StandinProcess(kind, folder, **options)
    try:
        await standin.start()
        yield standin
    finally:
        await standin.end()
