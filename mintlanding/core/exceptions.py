"""Errors that the packages raise; all share one base class."""

from dataclasses import dataclass


class MintlandingError(Exception):
    """Base of every error that mintlanding raises on purpose."""


class ConfigurationError(MintlandingError):
    """Settings or configuration objects that cannot be used."""


class PlatformError(MintlandingError):
    """The platform did not answer as its protocol promises."""


class PlatformUnavailable(PlatformError):
    """The platform gave no answer; a write may or may not have happened."""


class PeerError(MintlandingError):
    """A call to another process of the system failed."""


class PeerUnavailable(PeerError):
    """The other process gave no answer; the call may have had effect."""


class PeerRefused(PeerError):
    """The other process refused the caller or the message."""


class RequestNotSent(MintlandingError):
    """No connection came about; the other side has seen nothing."""


class ResponseLost(MintlandingError):
    """No whole answer came; the other side may have acted."""


class ResponseTimeout(ResponseLost):
    """No answer came in time; the other side may have acted."""


class InvalidResponse(ResponseLost):
    """The answer breaks HTTP or is too large."""


class TargetError(MintlandingError):
    """A target broke its protocol or gave no answer."""


@dataclass(frozen=True, slots=True)
class Place:
    """Where in a document a mistake stands, as a dotted path."""

    path: str
    source: str = ''

    def __str__(self) -> str:
        """Write source and path the way messages show them."""
        return f'{self.source}: {self.path}' if self.source else self.path
