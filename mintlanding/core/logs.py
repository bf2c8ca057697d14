"""Structured logs: eliot JSON lines, a fixed prefix for each part."""

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
# Lines a second that a process writes at most; some kilobytes each second.
_LINES_PER_SECOND = 200


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


class BoundedOutput:
    """Write lines to a descriptor without ever waiting for its reader.

    More than `lines_per_second`, and lines that the reader has no room for,
    are left out; the next line that goes out is preceded by their number.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_second: float = _LINES_PER_SECOND,
    ) -> None:
        """Make the descriptor non-blocking."""
        self.left_out = 0
        self._descriptor = descriptor
        self._rate = lines_per_second
        self._allowance = lines_per_second
        self._at = time.monotonic()
        self._rest = b''
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a message of the log library."""
        now = time.monotonic()
        self._allowance += (now - self._at) * self._rate
        self._allowance = min(self._allowance, self._rate)
        self._at = now
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
        self._rest = b'%b\n' % text
        self._flush()

    def _flush(self) -> bool:
        """Write what is left of the last lines; false if some still is."""
        while self._rest:
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return False
            except OSError:
                # Nobody can be told that nobody reads any more.
                self._rest = b''
                return False
            self._rest = self._rest[written:]
        return True


def _encode_line(message: dict[str, Any]) -> bytes:
    return msgspec.json.encode(message, enc_hook=repr)


def configure_stdout_logs() -> None:
    """Send the logs to standard output, bounded and without waiting."""
    eliot.add_destinations(BoundedOutput(sys.stdout.fileno()))
    _forward_libraries()


def configure_logs() -> None:
    """Send the logs of this process and its libraries to standard error."""
    eliot.to_file(sys.stderr)
    _forward_libraries()


def _forward_libraries() -> None:
    # It warns of every method of the life cycle that it finds in place.
    logging.getLogger('transitions').setLevel(logging.ERROR)
    root = logging.getLogger()
    if not any(isinstance(each, ForwardHandler) for each in root.handlers):
        root.addHandler(ForwardHandler(logging.WARNING))
