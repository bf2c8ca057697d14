"""Keyed tokens that members put on their calls.

A token is an HMAC over method, sender, wall-clock time, a nonce and the
checksum of the body under a secret from the settings. Several secrets may be
valid at once, so that they can be rotated without a stop: the first signs,
all verify. docs/design/peer-authentication.md weighs this against mutual TLS.
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
    """Remember the nonces of calls for as long as their tokens are fresh.

    Two sets are kept, each for one lifetime of a token or up to a limit, so
    that forgetting costs nothing. Only calls with a valid token are counted.
    """

    def __init__(self, lifetime: float, limit: int = NONCES_KEPT) -> None:
        """Begin empty; `lifetime` is in seconds."""
        self._lifetime = lifetime
        self._limit = limit
        self._newer: set[str] = set()
        self._older: set[str] = set()
        self._turned_at: float | None = None

    def accept(self, nonce: str, now: float) -> bool:
        """Remember a nonce; tell whether it is new."""
        if self._turned_at is None:
            self._turned_at = now
        self._turn(now)
        if nonce in self._newer or nonce in self._older:
            return False
        self._newer.add(nonce)
        return True

    def _turn(self, now: float) -> None:
        age = now - (self._turned_at or 0)
        if age < self._lifetime and len(self._newer) < self._limit:
            return
        self._older = self._newer
        self._newer = set()
        self._turned_at = now


@dataclass(frozen=True, slots=True)
class PeerKeyring:
    """Sign and verify calls between members."""

    sender: str
    secrets: tuple[bytes, ...]

    @classmethod
    def from_config(cls, sender: str, secrets: list[str]) -> Self:
        """Take the secrets in order: the first one signs."""
        if not secrets or not all(secrets):
            raise ConfigurationError('peers need at least one secret')
        return cls(sender, tuple(secret.encode() for secret in secrets))

    def sign(self, path: str, now: float, body: bytes = b'') -> dict[str, str]:
        """Return the headers of a call at wall-clock second `now`."""
        headers = {
            SENDER_HEADER: self.sender,
            TIME_HEADER: f'{now:.3f}',
            NONCE_HEADER: secrets.token_hex(_NONCE_BYTES),
            BODY_HEADER: body_digest(body),
        }
        headers[TOKEN_HEADER] = _token(self.secrets[0], path, headers)
        return headers

    def verify(self, path: str, headers: Mapping[str, str], now: float) -> str:
        """Return the sender; raise PeerRefused for anyone else.

        The body's checksum is vouched for by the token; compare the body with
        it by `check_body` once it has arrived.
        """
        token = str(headers.get(TOKEN_HEADER, ''))
        sender = str(headers.get(SENDER_HEADER, ''))
        if not (sender and token):
            raise PeerRefused('the call carries no member token')
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
    """Raise PeerRefused unless the body is the one that was signed."""
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
