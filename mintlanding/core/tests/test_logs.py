"""Logs never contain secrets."""

import asyncio
import logging

import pytest
from eliot.testing import MemoryLogger, swap_logger

from mintlanding.core.logs import ForwardHandler, Logger


@pytest.fixture
def memory():
    made = MemoryLogger()
    previous = swap_logger(made)
    yield made
    swap_logger(previous)


def test_secret_fields_are_hidden(memory):
    Logger('entry').info(
        'Request refused.', authorization='Bearer k3y-of-caller'
    )
    (message,) = memory.messages
    assert message['message'] == 'entry: Request refused.'
    assert 'k3y-of-caller' not in str(message)


def test_library_exception_is_logged_without_its_message(memory):
    library = logging.Logger('uvicorn.error')
    library.addHandler(ForwardHandler(logging.WARNING))
    try:
        raise ValueError('Bearer k3y-of-caller')
    except ValueError as exc:
        library.error(
            'Exception in %s\nfuture: <Bearer k3y-of-caller>',
            'application',
            exc_info=exc,
        )
    library.error('Cancelled', exc_info=asyncio.CancelledError())
    library.info('Started.')
    (message,) = memory.messages
    assert message['message'].startswith('uvicorn: Exception')
    assert message['exception'] == 'ValueError'
    assert __file__ in message['places'][0]
    assert 'k3y-of-caller' not in str(message)
