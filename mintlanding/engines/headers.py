"""Filter a caller's headers and query before they go to a target."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Self
from urllib.parse import parse_qsl, unquote, urlencode

Headers = list[tuple[str, str]]

CREDENTIAL_HEADERS = frozenset(
    (
        'authorization',
        'proxy-authorization',
        'x-api-key',
        'api-key',
    ),
)
_CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)


@dataclass(frozen=True, slots=True)
class CredentialFilter:
    """Remove every trace of a caller's key from what goes to a target.

    Besides the configured names, everything that contains the key is removed.
    Names of headers are in lower case.
    """

    headers: frozenset[str] = CREDENTIAL_HEADERS
    cookies: frozenset[str] = frozenset()
    parameters: frozenset[str] = frozenset()

    @classmethod
    def from_config(
        cls,
        headers: Iterable[str] = (),
        cookies: Iterable[str] = (),
        parameters: Iterable[str] = (),
    ) -> Self:
        """Build a filter with names in addition to the usual ones."""
        lowered = frozenset(name.lower() for name in headers)
        return cls(
            CREDENTIAL_HEADERS | lowered,
            frozenset(cookies),
            frozenset(parameters),
        )

    def clean_headers(
        self, headers: Iterable[tuple[str, str]], key: str
    ) -> Headers:
        """Return the headers to send; repeated headers are joined."""
        headers = list(headers)
        dropped = (
            self.headers | _CONNECTION_HEADERS | _connection_tokens(headers)
        )
        kept: dict[str, str] = {}
        for raw_name, text in headers:
            name = raw_name.lower()
            if name in dropped:
                continue
            if name == 'cookie':
                text = self._clean_cookies(text, key)
            if (
                not text
                or _contains_key(text, key)
                or _contains_key(name, key.lower())
            ):
                continue
            separator = '; ' if name == 'cookie' else ', '
            kept[name] = (
                f'{kept[name]}{separator}{text}' if name in kept else text
            )
        return list(kept.items())

    def clean_query(self, query: str, key: str) -> str:
        """Return the query without parameters that contain the key."""
        pairs = parse_qsl(query, keep_blank_values=True)
        kept = [
            (name, text)
            for name, text in pairs
            if name not in self.parameters
            and not _contains_key(name, key)
            and not _contains_key(text, key)
        ]
        return query if kept == pairs else urlencode(kept)

    def _clean_cookies(self, text: str, key: str) -> str:
        parts = (part.strip() for part in text.split(';'))
        return '; '.join(
            part
            for part in parts
            if part
            and part.partition('=')[0] not in self.cookies
            and not _contains_key(part, key)
        )


def _connection_tokens(headers: Headers) -> frozenset[str]:
    tokens = [
        token.strip().lower()
        for name, text in headers
        if name.lower() == 'connection'
        for token in text.split(',')
    ]
    return frozenset(tokens)


def _contains_key(text: str, key: str) -> bool:
    return bool(key) and (key in text or key in unquote(text))
