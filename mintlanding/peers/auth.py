"""Authentication of calls between members by signed headers.

A token is an HMAC over the method, the sender, the wall-clock time, a nonce
and the checksum of the body, with a secret from the settings as the key.
Several secrets may be valid at once, so that they can be rotated without
downtime: the first one signs, all verify. docs/design/peer-authentication.md
compares this with mutual TLS.
"""

import hashlib
import hmac
import secrets
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Self

from mintlanding.core.exceptions import ConfigurationError, PeerRefused

SENDER_HEADER = 'mint-sender'
TIME_HEADER = 'mint-time'
NONCE_HEADER = 'mint-nonce'
BODY_HEADER = 'mint-body'
TOKEN_HEADER = 'mint-token'  # noqa: S105
MAX_SKEW_SECONDS = 60
NONCES_KEPT = 100_000
_NONCE_BYTES = 8
_BODY_DIGEST_BYTES = 16


class NonceWindow:
    """Remember nonces for as long as their tokens are valid.

    Nonces are kept in two generations, each of one token lifetime or up to
    `limit` nonces, so that expiry takes constant time. Only nonces of calls
    with a valid token are added.
    """

    def __init__(self, lifetime: float, limit: int = NONCES_KEPT) -> None:
        """Start empty; `lifetime` is in seconds."""
        self._lifetime = lifetime
        self._limit = limit
        self._newer: set[str] = set()
        self._older: set[str] = set()
        self._rotated_at: float | None = None

    def accept(self, nonce: str, now: float) -> bool:
        """Remember a nonce; return whether it is new."""
        if self._rotated_at is None:
            self._rotated_at = now
        self._rotate(now)
        if nonce in self._newer or nonce in self._older:
            return False
        self._newer.add(nonce)
        return True

    def _rotate(self, now: float) -> None:
        age = now - (self._rotated_at or 0)
        if age < self._lifetime and len(self._newer) < self._limit:
            return
        self._older = self._newer
        self._newer = set()
        self._rotated_at = now


@dataclass(frozen=True, slots=True)
class PeerKeyring:
    """Sign and verify calls between members."""

    sender: str
    secrets: tuple[bytes, ...]

    @classmethod
    def from_config(cls, sender: str, secrets: list[str]) -> Self:
        """Create a keyring; the first secret signs."""
        if not secrets or not all(secrets):
            raise ConfigurationError(
                'at least one peer secret must be set, and none may be empty',
            )
        return cls(sender, tuple(secret.encode() for secret in secrets))

    def sign(self, path: str, now: float, body: bytes = b'') -> dict[str, str]:
        """Return the headers of a call; `now` is in wall-clock seconds."""
        headers = {
            SENDER_HEADER: self.sender,
            TIME_HEADER: f'{now:.3f}',
            NONCE_HEADER: secrets.token_hex(_NONCE_BYTES),
            BODY_HEADER: body_digest(body),
        }
        headers[TOKEN_HEADER] = _token(self.secrets[0], path, headers)
        return headers

    def verify(self, path: str, headers: Mapping[str, str], now: float) -> str:
        """Return the sender; raise PeerRefused if the token is not valid.

        The token covers only the checksum of the body. Verify the body itself
        with `check_body` once it has arrived.
        """
        token = str(headers.get(TOKEN_HEADER, ''))
        sender = str(headers.get(SENDER_HEADER, ''))
        if not (sender and token):
            raise PeerRefused('the call has no member token')
        if not _is_fresh(str(headers.get(TIME_HEADER, '')), now):
            raise PeerRefused('the member token is too old or too new')
        matches = [
            hmac.compare_digest(
                _token(secret, path, headers).encode(),
                token.encode(),
            )
            for secret in self.secrets
        ]
        if not any(matches):
            raise PeerRefused('the member token is not valid')
        return sender


def body_digest(body: bytes) -> str:
    """Return the checksum of a message."""
    return hashlib.blake2b(body, digest_size=_BODY_DIGEST_BYTES).hexdigest()


def check_body(headers: Mapping[str, str], body: bytes) -> None:
    """Raise PeerRefused unless the body matches the signed checksum."""
    signed = str(headers.get(BODY_HEADER, ''))
    if not hmac.compare_digest(signed.encode(), body_digest(body).encode()):
        raise PeerRefused('the message is not the one that was signed')


def _token(secret: bytes, path: str, headers: Mapping[str, str]) -> str:
    parts = [
        str(headers.get(name, ''))
        for name in (SENDER_HEADER, TIME_HEADER, NONCE_HEADER, BODY_HEADER)
    ]
    text = '\n'.join((path, *parts)).encode()
    return hmac.new(secret, text, hashlib.sha256).hexdigest()


def _is_fresh(moment: str, now: float) -> bool:
    try:
        sent = float(moment)
    except ValueError:
        return False
    return abs(now - sent) <= MAX_SKEW_SECONDS
