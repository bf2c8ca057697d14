"""Split an event stream into whole events, so that it can be resumed."""

_END = b'\n\n'
_ID = b'id:'


class EventBuffer:
    """Buffer an incomplete event and record the id of the last whole one."""

    def __init__(self) -> None:
        """Start before the first event."""
        self.last_id = ''
        self._rest = b''

    @property
    def partial_bytes(self) -> int:
        """Return how many bytes of an incomplete event are buffered."""
        return len(self._rest.strip())

    def take(self, piece: bytes) -> bytes:
        """Add a chunk; return the events that are complete now."""
        text = self._rest + piece
        end = text.rfind(_END)
        if end < 0:
            self._rest = text
            return b''
        whole = text[: end + len(_END)]
        self._rest = text[end + len(_END) :]
        for line in whole.split(b'\n'):
            if line.startswith(_ID):
                self.last_id = line[len(_ID) :].strip().decode('latin-1')
        return whole

    def drop_rest(self) -> None:
        """Discard the part of an event that will not be completed."""
        self._rest = b''
