"""Authentication of callers by API key."""

from dataclasses import dataclass
from http.cookies import CookieError, SimpleCookie
from urllib.parse import parse_qs

from mintlanding.configuration.keys import (
    KeyHasher,
    PresentedKey,
    parse_authorization,
    parse_key,
)
from mintlanding.configuration.models import Key
from mintlanding.core.results import Failed, Outcome, ResultCode
from mintlanding.entry.exchange import Exchange
from mintlanding.entry.view import EntryView

STALE_RETRY_SECONDS = 5


@dataclass(frozen=True, slots=True)
class KeyNames:
    """Names under which a key may be sent instead of Authorization."""

    headers: tuple[str, ...]
    queries: tuple[str, ...]
    cookies: tuple[str, ...]


class Authenticator:
    """Verify the key of an exchange against the keys of the view."""

    def __init__(
        self,
        view: EntryView,
        hasher: KeyHasher,
        names: KeyNames,
        refuse_after: float,
    ) -> None:
        """Reject all keys once the view is stale for `refuse_after` seconds.

        With 0, keys are accepted however stale the view is.
        """
        self._view = view
        self._hasher = hasher
        self._names = names
        self._refuse_after = refuse_after

    def authenticate(self, exchange: Exchange) -> Outcome[Key]:
        """Return the key object, or the reason for rejecting the caller."""
        if not self._view.is_ready:
            return Failed(
                ResultCode.configuration_missing,
                retry_after=STALE_RETRY_SECONDS,
            )
        if self._is_too_stale():
            return Failed(
                ResultCode.configuration_stale,
                retry_after=STALE_RETRY_SECONDS,
            )
        presented = self._parse_key(exchange)
        if isinstance(presented, Failed):
            return presented
        return self._hasher.verify_presented(
            presented.value,
            self._view.directory.find_key,
        )

    def _is_too_stale(self) -> bool:
        stale = self._view.stale_seconds
        return bool(self._refuse_after) and stale > self._refuse_after

    def find_key_text(self, exchange: Exchange) -> str:
        """Return the text of the key as it was sent, empty if there is none."""
        header = exchange.headers.get('authorization', '')
        if header:
            return header.partition(' ')[2].strip() or header
        for name in self._names.headers:
            text = exchange.headers.get(name, '')
            if text:
                return text
        return self._find_in_query_or_cookies(exchange)

    def _parse_key(self, exchange: Exchange) -> Outcome[PresentedKey]:
        header = exchange.headers.get('authorization', '')
        if header:
            return parse_authorization(header)
        return parse_key(self.find_key_text(exchange))

    def _find_in_query_or_cookies(self, exchange: Exchange) -> str:
        queries = parse_qs(exchange.query)
        for parameter in self._names.queries:
            if parameter in queries:
                return queries[parameter][0]
        cookies = _read_cookies(exchange.headers.get('cookie', ''))
        for cookie in self._names.cookies:
            if cookie in cookies:
                return cookies[cookie].value
        return ''


def _read_cookies(header: str) -> 'SimpleCookie':
    try:
        return SimpleCookie(header)
    except CookieError:
        return SimpleCookie()
