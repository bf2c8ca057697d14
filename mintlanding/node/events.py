"""Find the boundaries of the events of a stream; WHATWG HTML, section 9.2."""

import re

# A blank line ends an event. A line ends with LF, CRLF or CR.
_EVENT_END = re.compile(rb'\n\r?\n|\r\r')
_ID = b'id:'


class EventBuffer:
    """Buffer an incomplete event and record the id of the last whole one.

    A stream may consist of several responses, of which each one continues
    after the last whole event. `has_events` tells whether the current response
    has brought a whole event.
    """

    def __init__(self) -> None:
        """Start before the first response."""
        self.last_id = ''
        self.has_events = False
        self._rest = b''

    @property
    def partial_bytes(self) -> int:
        """Return how many bytes of an incomplete event are buffered."""
        return len(self._rest.strip())

    def begin_response(self) -> None:
        """Discard the incomplete event of the response before."""
        self.has_events = False
        self._rest = b''

    def take(self, chunk: bytes) -> bytes:
        """Add a chunk; return the events that are complete now."""
        text = self._rest + chunk
        ends = [match.end() for match in _EVENT_END.finditer(text)]
        end = ends[-1] if ends else 0
        whole = text[:end]
        self._rest = text[end:]
        self.has_events = self.has_events or whole.strip() != b''
        for line in whole.splitlines():
            if line.startswith(_ID):
                self.last_id = line[len(_ID) :].strip().decode('latin-1')
        return whole
