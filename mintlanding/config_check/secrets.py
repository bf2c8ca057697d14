"""Printable forms of values that must not be shown, such as API keys."""

import hashlib
import re
from collections.abc import Iterable

_DIGEST_CHARACTERS = 8
_SECRET_NAME = re.compile('key|secret|password|credential', re.IGNORECASE)


def is_secret(path: Iterable[object]) -> bool:
    """Return whether a field of the path is named like a secret."""
    return any(_SECRET_NAME.search(str(part)) for part in path)


def digest(secret: object) -> str:
    """Return a short digest, by which equal secrets can be recognized."""
    content = str(secret).encode(errors='surrogatepass')
    return hashlib.sha256(content).hexdigest()[:_DIGEST_CHARACTERS]
