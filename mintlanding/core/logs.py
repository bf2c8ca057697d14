"""Structured logs: JSON lines, with a prefix for each component."""

import asyncio
import logging
import os
import sys
import time
import traceback
from typing import Any

import eliot
import msgspec

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
# Limits the output of a process to some kilobytes per second.
_LINES_PER_SECOND = 200


def _hide_secrets(fields: dict[str, Any]) -> dict[str, Any]:
    return {
        name: _HIDDEN if name.lower() in _SECRET_FIELDS else field
        for name, field in fields.items()
    }


class Logger:
    """Logger of one component; hides fields whose names suggest secrets."""

    def __init__(self, component: str) -> None:
        """Create a logger; `component` is the prefix of its messages."""
        self._component = component

    def info(self, sentence: str, **fields: Any) -> None:
        """Log a normal event."""
        self._write('info', sentence, fields)

    def warning(self, sentence: str, **fields: Any) -> None:
        """Log an event that an operator may want to look at."""
        self._write('warning', sentence, fields)

    def error(self, sentence: str, **fields: Any) -> None:
        """Log an event that requires an operator."""
        self._write('error', sentence, fields)

    def _write(self, level: str, sentence: str, fields: dict[str, Any]) -> None:
        eliot.log_message(
            message_type=f'mintlanding:{self._component}',
            level=level,
            message=f'{self._component}: {sentence}',
            **_hide_secrets(fields),
        )


class ForwardHandler(logging.Handler):
    """Forward log records of libraries to the structured log.

    Only the type and the traceback of an exception are logged, not its message,
    which may contain data sent by a caller.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Forward a record, unless it reports the cancellation of a task."""
        exc = record.exc_info[1] if record.exc_info else None
        if isinstance(exc, asyncio.CancelledError):
            return
        component = record.name.partition('.')[0]
        log = Logger(component)
        write = log.error if record.levelno >= logging.ERROR else log.warning
        fields = {} if exc is None else describe_exception(exc)
        # Further lines may contain data sent by callers.
        sentence = str(record.msg).strip().partition('\n')[0]
        write(sentence, **fields)


def describe_exception(exc: BaseException) -> dict[str, Any]:
    """Return the log fields of an exception, without data in its message."""
    frames = traceback.extract_tb(exc.__traceback__)
    places = [f'{each.filename}:{each.lineno}' for each in frames]
    return {'exception': type(exc).__name__, 'places': places}


class BoundedOutput:
    """Write lines to a file descriptor without ever blocking.

    Lines beyond `lines_per_second`, and lines that do not fit into the pipe,
    are dropped. The next line is preceded by one with the number of drops.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_second: float = _LINES_PER_SECOND,
    ) -> None:
        """Make the file descriptor non-blocking."""
        self.left_out = 0
        self._descriptor = descriptor
        self._rate = lines_per_second
        self._allowance = lines_per_second
        self._refilled_at = time.monotonic()
        self._unsent = b''
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a message; called by eliot."""
        now = time.monotonic()
        self._allowance += (now - self._refilled_at) * self._rate
        self._allowance = min(self._allowance, self._rate)
        self._refilled_at = now
        if self._allowance < 1 or not self._flush():
            self.left_out += 1
            return
        self._allowance -= 1
        lines = []
        if self.left_out:
            note = {'message_type': 'mintlanding:logs', 'level': 'warning'}
            lines.append({**note, 'left_out': self.left_out})
            self.left_out = 0
        lines.append(message)
        text = b'\n'.join(map(_encode_line, lines))
        self._unsent = b'%b\n' % text
        self._flush()

    def _flush(self) -> bool:
        """Write pending data; return whether all of it was written."""
        while self._unsent:
            try:
                written = os.write(self._descriptor, self._unsent)
            except BlockingIOError:
                return False
            except OSError:
                # The reader is gone, so the error cannot be logged either.
                self._unsent = b''
                return False
            self._unsent = self._unsent[written:]
        return True


def _encode_line(message: dict[str, Any]) -> bytes:
    return msgspec.json.encode(message, enc_hook=repr)


def configure_stdout_logs() -> None:
    """Send the logs to standard output, rate limited and without blocking."""
    eliot.add_destinations(BoundedOutput(sys.stdout.fileno()))
    _forward_libraries()


def configure_logs() -> None:
    """Send the logs to standard error."""
    eliot.to_file(sys.stderr)
    _forward_libraries()


def _forward_libraries() -> None:
    # transitions warns about every lifecycle method that already exists.
    logging.getLogger('transitions').setLevel(logging.ERROR)
    root = logging.getLogger()
    if not any(isinstance(each, ForwardHandler) for each in root.handlers):
        root.addHandler(ForwardHandler(logging.WARNING))
