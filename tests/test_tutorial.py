"""Run the commands of the tutorial against a fleet."""

import asyncio
import hashlib
import os
import re
import sys
from pathlib import Path

import pytest_asyncio

from mintlanding.admin.application import AdminApplication
from mintlanding.conf.models import AdminSettings
from mintlanding.core.tests.ports import free_port
from tests.fleet import Fleet, eventually

PAGE = Path(__file__).parent.parent / 'docs/tutorial/first-ten-minutes.md'
TOKEN = 'demo-operator-token'
EXIT_DIFFERENT = 10  # exit code of `diff` when the objects differ
PREFIX = '    .venv/bin/python -m mintlanding.cli '


@pytest_asyncio.fixture
async def environment(tmp_path):
    fleet = Fleet()
    await fleet.start(instances=1)
    node = fleet.nodes[0]
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    settings = AdminSettings(port=free_port(), operators={'op': digest})
    cfg = node.cfg.model_copy(update={'admin': settings})
    admin = AdminApplication.from_config(cfg)
    await admin.application.start()
    yield fleet, settings.port, tmp_path
    await admin.application.stop()
    await fleet.stop()


def read_objects():
    found = re.search('```yaml\n(.*?)```', PAGE.read_text(), re.DOTALL)
    return (
        found.group(1).replace('layout-0000', 'red-0').replace('cadena', 'red')
    )


def read_commands():
    lines = PAGE.read_text().splitlines()
    return [
        line.removeprefix(PREFIX).replace('cadena', 'red')
        for line in lines
        if line.startswith(PREFIX)
    ]


async def run(command, port, folder):
    env = {
        **os.environ,
        'MINTLANDING_ADMIN': f'http://127.0.0.1:{port}',
        'MINTLANDING_TOKEN': TOKEN,
        'PYTHONPATH': str(PAGE.parent.parent.parent),
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'mintlanding.cli',
        *command.split(),
        cwd=folder,
        env=env,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    out, _ = await process.communicate()
    return process.returncode, out.decode()


async def test_tutorial_commands_work(environment):
    fleet, port, folder = environment
    (folder / 'canary.yaml').write_text(read_objects())
    key_id = ''
    commands = read_commands()
    assert len(commands) >= 7
    for command in commands:
        code, out = await run(command.replace('<its id>', key_id), port, folder)
        expected = EXIT_DIFFERENT if command.startswith('diff') else 0
        assert code == expected, f'{command}: {out}'
        granted = re.search('mk_([0-9a-f]{12})_[0-9a-f]{48}', out)
        if granted:
            key_id, fleet.keys['new'] = granted.group(1), granted.group(0)

    async def is_withdrawn():
        response = await fleet.complete(fleet.nodes[0], 'red-0', 'new')
        return response.document.get('error', {}).get('code') == 204

    await eventually(is_withdrawn)
    response = await fleet.complete(fleet.nodes[0], 'selector:layout')
    assert response.document['model'] in {'red-0@1', 'red-0@2'}
