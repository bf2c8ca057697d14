"""Issue and verify callers' API keys.

A key has the form `mk_<id>_<secret>`. The id names the `Key` object; the secret
is never stored. The stored hash is keyed by a pepper from the settings, so that
a copy of the configuration alone does not allow guesses to be tested. Keys are
verified in constant time.
"""

import hashlib
import hmac
import re
import secrets
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Self

from mintlanding.configuration.models import Key, Labels
from mintlanding.core.exceptions import ConfigurationError
from mintlanding.core.results import Done, Failed, Outcome, ResultCode

_ID_BYTES = 6
_SECRET_BYTES = 24
_PATTERN = re.compile('mk_([0-9a-f]{12})_([0-9a-f]{48})')
_NO_DIGEST = '0' * hashlib.sha256().digest_size * 2
_HEADER_SCHEME = 'bearer '

FindKey = Callable[[str], Key | None]


@dataclass(frozen=True, slots=True, repr=False)
class PresentedKey:
    """A well-formed key as presented by a caller; its repr has no secret."""

    public_id: str
    secret: str

    def __repr__(self) -> str:
        """Show the public id only."""
        return f'PresentedKey({self.public_id})'


@dataclass(frozen=True, slots=True, repr=False)
class IssuedKey:
    """A new key: `text` is shown to the operator once and `key` is stored."""

    text: str
    key: Key

    def __repr__(self) -> str:
        """Show the public id only."""
        return f'IssuedKey({self.key.name})'


def parse_key(text: str) -> Outcome[PresentedKey]:
    """Parse a presented key; failures never contain its text."""
    if not text.strip():
        return Failed.of(ResultCode.key_missing)
    found = _PATTERN.fullmatch(text.strip())
    if found is None:
        return Failed.of(ResultCode.key_malformed)
    return Done(PresentedKey(found.group(1), found.group(2)))


def parse_authorization(header: str) -> Outcome[PresentedKey]:
    """Parse the key in an `Authorization: Bearer` header."""
    if not header.strip():
        return Failed.of(ResultCode.key_missing)
    if not header.lower().startswith(_HEADER_SCHEME):
        return Failed.of(ResultCode.key_malformed)
    return parse_key(header[len(_HEADER_SCHEME) :])


@dataclass(frozen=True, slots=True, repr=False)
class KeyHasher:
    """Issue keys with the first pepper, verify them with any of them."""

    peppers: tuple[bytes, ...]

    @classmethod
    def from_config(cls, peppers: Sequence[str]) -> Self:
        """Use the peppers in order; several allow rotation."""
        if not peppers or not all(peppers):
            raise ConfigurationError(
                'at least one key pepper must be set, and none may be empty',
            )
        return cls(tuple(pepper.encode() for pepper in peppers))

    def issue(self, workspace: str, labels: Labels | None = None) -> IssuedKey:
        """Return a new key for a workspace."""
        public_id = secrets.token_hex(_ID_BYTES)
        secret = secrets.token_hex(_SECRET_BYTES)
        presented = PresentedKey(public_id, secret)
        key = Key(
            name=public_id,
            workspace=workspace,
            digest=_digest(self.peppers[0], presented),
            labels=labels or {},
        )
        return IssuedKey(f'mk_{public_id}_{secret}', key)

    def verify(self, text: str, find_key: FindKey) -> Outcome[Key]:
        """Return the `Key` object of a key given as text."""
        parsed = parse_key(text)
        if isinstance(parsed, Failed):
            return parsed
        return self.verify_presented(parsed.value, find_key)

    def verify_presented(
        self,
        presented: PresentedKey,
        find_key: FindKey,
    ) -> Outcome[Key]:
        """Return the `Key` object of a parsed key.

        Compares in constant time and does the same work for an unknown id.
        """
        key = find_key(presented.public_id)
        expected = _NO_DIGEST if key is None else key.digest
        matches = [
            hmac.compare_digest(
                _digest(pepper, presented).encode(),
                expected.encode(),
            )
            for pepper in self.peppers
        ]
        if key is None or not any(matches):
            return Failed.of(ResultCode.key_unknown)
        if key.withdrawn:
            return Failed.of(ResultCode.key_withdrawn)
        return Done(key)


def _digest(pepper: bytes, presented: PresentedKey) -> str:
    text = f'{presented.public_id}:{presented.secret}'
    return hmac.new(pepper, text.encode(), hashlib.sha256).hexdigest()
