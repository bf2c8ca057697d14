"""Metrics over statsd; docs/reference/metrics.md tables the names."""

from dataclasses import dataclass
from typing import Protocol

import statsd

_MILLISECONDS = 1000


class Metrics(Protocol):
    """Where counts, gauges and timings go."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, reading: float) -> None:
        """Set a gauge."""

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""


class NullMetrics:
    """Drop everything; for tests and where no statsd is set."""

    def count(self, name: str, amount: int = 1) -> None:
        """Drop the count."""

    def gauge(self, name: str, reading: float) -> None:
        """Drop the reading."""

    def timing(self, name: str, seconds: float) -> None:
        """Drop the duration."""


@dataclass(slots=True)
class StatsdMetrics:
    """Send datagrams to a statsd daemon; a lost one is no error."""

    client: statsd.StatsClient

    @classmethod
    def from_address(cls, host: str, port: int, prefix: str) -> 'StatsdMetrics':
        """Open the socket to `host:port`."""
        return cls(statsd.StatsClient(host, port, prefix=prefix))

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.client.incr(name, amount)

    def gauge(self, name: str, reading: float) -> None:
        """Set a gauge."""
        self.client.gauge(name, reading)

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""
        self.client.timing(name, seconds * _MILLISECONDS)


class StatsdAddress(Protocol):
    """The part of the settings that says where metrics go."""

    @property
    def host(self) -> str:
        """Return the host."""

    @property
    def port(self) -> int:
        """Return the UDP port."""

    @property
    def prefix(self) -> str:
        """Return what all names begin with."""


def build_metrics(address: StatsdAddress | None) -> Metrics:
    """Return metrics that go to an address, or nowhere without one."""
    if address is None:
        return NullMetrics()
    return StatsdMetrics.from_address(
        address.host,
        address.port,
        address.prefix,
    )
