"""Exceptions of all packages; they share one base class."""

from dataclasses import dataclass


class MintlandingError(Exception):
    """Base class of all exceptions that mintlanding raises."""


class ConfigurationError(MintlandingError):
    """Settings or configuration objects are invalid."""


class AddressNotAvailable(MintlandingError):
    """A server cannot listen at its address."""


class PlatformError(MintlandingError):
    """The platform did not respond as its protocol requires."""


class PlatformUnavailable(PlatformError):
    """The platform did not respond; a write may have taken effect."""


class PeerError(MintlandingError):
    """A call to another process of the system failed."""


class PeerUnavailable(PeerError):
    """The other process did not reply; the call may have taken effect."""


class PeerRefused(PeerError):
    """The other process rejected the caller or the message."""


class RequestNotSent(MintlandingError):
    """The request was not sent; the server has seen nothing."""


class ResponseLost(MintlandingError):
    """No complete response arrived; the server may have acted."""


class ResponseTimeout(ResponseLost):
    """No response arrived in time; the server may have acted."""


class InvalidResponse(ResponseLost):
    """The response violates HTTP or is too large."""


class MemberDataInvalid(MintlandingError, ValueError):
    """Raised for a record or message of another instance, with the reason."""


class MessageUnexpected(MemberDataInvalid):
    """A message is readable, but none of this version."""


class ResponseAlreadyBegun(MintlandingError):
    """A second response to one request would reach its caller."""


class TargetError(MintlandingError):
    """A target violated its protocol or did not respond."""


@dataclass(frozen=True, slots=True)
class Place:
    """The location of a mistake in a document, as a dotted path."""

    path: str
    source: str = ''

    def __str__(self) -> str:
        """Return source and path in the format of error messages."""
        return f'{self.source}: {self.path}' if self.source else self.path
