"""The lifecycle of an application."""

import asyncio
import logging

import pytest

from mintlanding.core import application as application_module
from mintlanding.core.application import Application


async def test_hooks_run_in_order_and_stop_in_reverse():
    seen = []
    application = Application('test')

    def hook(name):
        async def run():
            seen.append(name)

        return run

    for number in (1, 2):
        application.on_start(hook(f'start {number}'))
        application.on_drain(hook(f'drain {number}'))
        application.on_stop(hook(f'stop {number}'))
    await application.start()
    await application.stop()
    assert seen == [
        'start 1',
        'start 2',
        'drain 1',
        'drain 2',
        'stop 2',
        'stop 1',
    ]
    assert application.state == 'stopped'


async def test_state_machine_binds_without_a_warning(caplog):
    with caplog.at_level(logging.WARNING):
        Application('test')
    assert not caplog.records


async def test_second_start_is_refused():
    application = Application('test')
    await application.start()
    with pytest.raises(Exception, match='begin'):
        await application.start()


async def test_supervised_task_that_fails_is_started_again(monkeypatch):
    monkeypatch.setattr(application_module, '_SOUND_SECONDS', 0.05)
    application = Application('test')
    runs = []

    async def work():
        runs.append(application.is_sound)
        if len(runs) < 4:
            raise LookupError('unforeseen')
        await asyncio.Event().wait()

    application.supervise('work', work, is_vital=True)
    async with asyncio.timeout(2):
        while len(runs) < 4:
            await asyncio.sleep(0.01)
        while not application.is_sound:
            await asyncio.sleep(0.01)
    assert runs == [True, True, True, False]
    await application.start()
    await application.stop()


async def test_supervised_task_ends_with_its_application():
    application = Application('test')
    task = application.supervise('work', asyncio.Event().wait)
    await application.start()
    await application.stop()
    assert task.cancelled()


async def test_vital_task_that_ends_after_failures_is_sound():
    application = Application('test')
    runs = []

    async def work():
        runs.append(application.is_sound)
        if len(runs) < 4:
            raise LookupError('unforeseen')

    async with asyncio.timeout(2):
        await application.supervise('work', work, is_vital=True)
    assert runs == [True, True, True, False]
    assert application.is_sound


async def test_task_that_is_not_vital_leaves_its_application_sound():
    application = Application('test')
    runs = []

    async def work():
        runs.append(application.is_sound)
        if len(runs) < 5:
            raise LookupError('unforeseen')

    async with asyncio.timeout(4):
        await application.supervise('work', work)
    assert runs == [True] * 5
