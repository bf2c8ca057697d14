"""The request that a connection receives, and the limits on its parts."""

from mintlanding.http1.models import Headers, MessageLimits

# Headers and trailers of a request. Each costs an object beside its bytes.
MAX_HEADERS = 512
# Bytes of the objects that hold a header.
_HEADER_OBJECT_BYTES = 150
# Bytes of method, version and separators of a request line, and some empty
# lines before it.
_REQUEST_LINE_BYTES = 1024
# Framing of chunks that any body may have beside one byte for each of the
# largest body: enough for chunks of five bytes.
_FRAMING_BYTES = 64 << 10


class IncomingRequest:
    """Collects a request; methods return a status to refuse it, or 0."""

    __slots__ = (
        '_framing',
        '_has_body_begun',
        '_has_progress',
        '_header_bytes',
        '_unparsed',
        'body',
        'expects_continue',
        'headers',
        'limits',
        'started',
        'target',
    )

    def __init__(self, limits: MessageLimits, now: float) -> None:
        """Start empty."""
        self.started = now
        self.target = b''
        self.headers: Headers = []
        # Bytes while it has one part, as most bodies have.
        self.body: bytes | bytearray = b''
        self.expects_continue = False
        self.limits = limits
        self._header_bytes = 0
        self._has_body_begun = False
        # Bytes received since the end of the head, less those of the body.
        self._framing = 0
        # Bytes received since the last progress: the end of the head or a part
        # of the body. The parser keeps incomplete headers, and says nothing of
        # empty lines and chunk extensions.
        self._unparsed = 0
        self._has_progress = False

    @property
    def has_head(self) -> bool:
        """Tell whether the head is complete."""
        return self._has_body_begun

    @property
    def size(self) -> int:
        """Return the bytes held."""
        objects = _HEADER_OBJECT_BYTES * len(self.headers)
        head = len(self.target) + self._header_bytes + objects
        return head + len(self.body) + self._unparsed

    @property
    def head_size(self) -> int:
        """Return the bytes held of the head."""
        return self.size - len(self.body)

    def add_target(self, part: bytes) -> int:
        """Collect the request target."""
        self.target += part
        return 414 if len(self.target) > self.limits.header_bytes else 0

    def add_header(self, name: bytes, field: bytes) -> int:
        """Collect a header or a trailer."""
        self._header_bytes += len(name) + len(field) + 4
        self.headers.append((name.lower(), field))
        is_large = self._header_bytes > self.limits.header_bytes
        return 431 if is_large or len(self.headers) > MAX_HEADERS else 0

    def end_head(self, declared: int) -> int:
        """Begin the body, of the declared size or 0 if that is unknown."""
        self._has_body_begun = True
        self._has_progress = True
        return 413 if declared > self.limits.body_bytes else 0

    def add_body(self, part: bytes) -> int:
        """Collect a part of the body."""
        self._has_progress = True
        self._framing -= len(part)
        if not self.body:
            self.body = part
        elif isinstance(self.body, bytes):
            self.body = bytearray(self.body)
            self.body += part
        else:
            self.body += part
        return 413 if len(self.body) > self.limits.body_bytes else 0

    def count(self, received: int) -> int:
        """Count bytes that were received and parsed, with the empty lines."""
        if self._has_body_begun:
            self._framing += received
        if self._has_progress:
            self._has_progress = False
            self._unparsed = 0
        else:
            self._unparsed += received
        limits = self.limits
        # Target and headers may each be as large as allowed.
        if self._unparsed > 2 * limits.header_bytes + _REQUEST_LINE_BYTES:
            return 431
        is_framing = self._framing > limits.body_bytes + _FRAMING_BYTES
        return 413 if is_framing else 0
