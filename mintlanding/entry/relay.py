"""Relay of an engine's event stream in whole events."""

_EVENT_END = b'\n\n'
_DONE_EVENT = b'data: [DONE]'


class EventRelay:
    """Cut a byte stream at event ends and count the events passed on.

    The count is the offset at which a broken stream is resumed, so only whole
    events leave; the rest of a cut event is dropped on a resume.
    """

    def __init__(self) -> None:
        """Start at offset 0."""
        self.offset = 0
        self.is_done = False
        self._rest = b''

    def feed(self, chunk: bytes) -> bytes:
        """Take bytes of the engine; return the whole events among them."""
        joined = self._rest + chunk if self._rest else chunk
        end = joined.rfind(_EVENT_END)
        if end < 0:
            self._rest = joined
            return b''
        end += len(_EVENT_END)
        events = joined[:end]
        self._rest = joined[end:]
        self.offset += events.count(_EVENT_END)
        if _DONE_EVENT in events:
            self.is_done = True
            self.offset -= 1
        return events

    def drop_rest(self) -> None:
        """Forget a cut event before the stream is resumed."""
        self._rest = b''

    @property
    def pending_bytes(self) -> int:
        """Return the size of the cut event held back."""
        return len(self._rest)
