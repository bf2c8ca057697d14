"""Find the boundaries of the events of a stream; WHATWG HTML, section 9.2."""

import re

from mintlanding.core.borders import border
from mintlanding.core.exceptions import InvalidResponse
from mintlanding.core.numbers import parse_count

# A blank line ends an event. A line ends with LF, CRLF or CR.
_EVENT_END = re.compile(rb'\n\r?\n|\r\r')
# Bytes of the longest end.
_END_BYTES = 3
_ID = b'id:'
# Bytes of an incomplete event, above which a response is invalid.
MAX_EVENT_BYTES = 1 << 20
# Bytes of an incomplete event from which on it is counted: most streams never
# hold as many, and each count costs a look for what to give up.
_LARGE_EVENT_BYTES = 4096


class EventBuffer:
    """Buffer an incomplete event and record the id of the last whole one.

    A stream may consist of several responses, of which each one continues
    after the last whole event. `has_events` tells whether the current response
    has brought a whole event.
    """

    def __init__(self, last_id: str = '') -> None:
        """Start before the first response, after an event if one is named."""
        self.last_id = last_id
        self.has_events = False
        self._has_ids = False
        # Grows in place: an event may come in many small parts.
        self._rest = bytearray()

    @property
    def partial_bytes(self) -> int:
        """Return how many bytes of an incomplete event are buffered."""
        return len(self._rest.strip())

    @property
    def held_bytes(self) -> int:
        """Return the bytes of a large incomplete event, 0 for a small one."""
        size = len(self._rest)
        return size if size >= _LARGE_EVENT_BYTES else 0

    def begin_response(self) -> None:
        """Discard the incomplete event of the response before."""
        self.has_events = False
        self._has_ids = False
        self._rest.clear()

    @border('events', InvalidResponse)
    def take(self, chunk: bytes) -> bytes:
        """Add a chunk; return the events that are complete now.

        Raise InvalidResponse if a response does not continue after the last
        event of the one before, or if an event has too many bytes.
        """
        # What is buffered contains no end, but may end amid one.
        start = max(0, len(self._rest) - _END_BYTES)
        self._rest += chunk
        ends = [match.end() for match in _EVENT_END.finditer(self._rest, start)]
        end = ends[-1] if ends else 0
        whole = bytes(self._rest[:end])
        del self._rest[:end]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise InvalidResponse(
                f'more than {MAX_EVENT_BYTES} bytes contain no end of an event'
            )
        ids = [
            line[len(_ID) :].strip().decode('latin-1')
            for line in whole.splitlines()
            if line.startswith(_ID)
        ]
        if ids and not self._has_ids and not _follows(ids[0], self.last_id):
            raise InvalidResponse(
                f'its first event {ids[0]!r} does not follow {self.last_id!r}',
            )
        self.has_events = self.has_events or whole.strip() != b''
        if ids:
            self._has_ids = True
            self.last_id = ids[-1]
        return whole


def _follows(event_id: str, last_id: str) -> bool:
    """Tell whether an event may come after another; ids increase."""
    number, last_number = parse_count(event_id), parse_count(last_id)
    if number is None or last_number is None:
        return not last_id or event_id != last_id
    return number > last_number
