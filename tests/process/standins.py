"""Start, freeze and kill stand-ins that run as processes of their own."""

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

import msgspec

from mintlanding.core.exceptions import MintlandingError
from mintlanding.core.http_client import HttpClient, HttpRequest
from mintlanding.core.tests.ports import free_port
from mintlanding.standin.records import Record

_START_POLLS = 1500
_POLL_SECONDS = 0.02


class StandinProcess:
    """A stand-in in a separate process."""

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
        """Start the process and wait until its side port responds."""
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
                await self.call_side_port('GET', '/faults')
                return
            assert self._process.returncode is None, (
                f'stand-in exited with {self._process.returncode}'
            )
            await asyncio.sleep(_POLL_SECONDS)
        raise AssertionError(f'no response from side port {self.side_port}')

    async def call_side_port(self, method, path, body=None):
        """Send a request to the side port and return the decoded response."""
        url = f'http://127.0.0.1:{self.side_port}{path}'
        raw = b'' if body is None else msgspec.json.encode(body)
        response = await self._client.call(HttpRequest(method, url, body=raw))
        return msgspec.json.decode(response.body)

    def freeze(self):
        """Suspend the process."""
        self._process.send_signal(signal.SIGSTOP)

    def thaw(self):
        """Resume the suspended process."""
        self._process.send_signal(signal.SIGCONT)

    async def kill(self):
        """Kill the process with SIGKILL."""
        self._process.kill()
        await self._process.wait()

    async def terminate(self):
        """Send SIGTERM and return the exit code."""
        self._process.terminate()
        return await self._process.wait()

    async def end(self):
        """Kill the process if it still runs."""
        if self._process is not None and self._process.returncode is None:
            self.thaw()
            await self.kill()

    def records(self, event):
        """Return the records of an event, also those of a killed process."""
        if not self.journal.exists():
            return []
        lines = self.journal.read_bytes().splitlines()
        decoded = [msgspec.json.decode(line, type=Record) for line in lines]
        return [each for each in decoded if each.event == event]


@contextlib.asynccontextmanager
async def running(kind, folder, **options):
    """Run a stand-in while the context is open."""
    standin = StandinProcess(kind, folder, **options)
    try:
        await standin.start()
        yield standin
    finally:
        await standin.end()
