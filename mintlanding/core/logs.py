"""Structured logs: eliot JSON lines, a fixed prefix for each part."""

import asyncio
import logging
import sys
import traceback
from typing import Any

import eliot

_SECRET_FIELDS = frozenset(
    (
        'api_key',
        'authorization',
        'cookie',
        'key',
        'secret',
        'token',
    )
)
_HIDDEN = '[hidden]'


def _hide_secrets(fields: dict[str, Any]) -> dict[str, Any]:
    return {
        name: _HIDDEN if name.lower() in _SECRET_FIELDS else field
        for name, field in fields.items()
    }


class Logger:
    """Log short sentences of one part; fields that name secrets are hidden."""

    def __init__(self, part: str) -> None:
        """Set the prefix of every message."""
        self._part = part

    def info(self, sentence: str, **fields: Any) -> None:
        """Log what happened."""
        self._write('info', sentence, fields)

    def warning(self, sentence: str, **fields: Any) -> None:
        """Log what an operator may want to look at."""
        self._write('warning', sentence, fields)

    def error(self, sentence: str, **fields: Any) -> None:
        """Log what needs an operator."""
        self._write('error', sentence, fields)

    def _write(self, level: str, sentence: str, fields: dict[str, Any]) -> None:
        eliot.log_message(
            message_type=f'mintlanding:{self._part}',
            level=level,
            message=f'{self._part}: {sentence}',
            **_hide_secrets(fields),
        )


class ForwardHandler(logging.Handler):
    """Write what libraries log as lines of this system.

    Of an exception type and place are kept, not the text, which may hold
    anything that a caller sent.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Forward one record; a cancelled task is no news."""
        exc = record.exc_info[1] if record.exc_info else None
        if isinstance(exc, asyncio.CancelledError):
            return
        part = record.name.partition('.')[0]
        log = Logger(part)
        write = log.error if record.levelno >= logging.ERROR else log.warning
        fields = {} if exc is None else _describe_exception(exc)
        # Further lines may show objects with what callers sent.
        sentence = str(record.msg).strip().partition('\n')[0]
        write(sentence, **fields)


def _describe_exception(exc: BaseException) -> dict[str, Any]:
    frames = traceback.extract_tb(exc.__traceback__)
    places = [f'{each.filename}:{each.lineno}' for each in frames]
    return {'exception': type(exc).__name__, 'places': places}


def configure_logs() -> None:
    """Send the logs of this process and its libraries to standard error."""
    eliot.to_file(sys.stderr)
    # It warns of every method of the life cycle that it finds in place.
    logging.getLogger('transitions').setLevel(logging.ERROR)
    root = logging.getLogger()
    if not any(isinstance(each, ForwardHandler) for each in root.handlers):
        root.addHandler(ForwardHandler(logging.WARNING))
