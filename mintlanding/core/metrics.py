"""Metrics over statsd; docs/reference/metrics.md lists the names."""

from dataclasses import dataclass
from typing import Protocol

import statsd

_MILLISECONDS = 1000


class Metrics(Protocol):
    """Destination of counters, gauges and timings."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, reading: float) -> None:
        """Set a gauge."""

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""


class NullMetrics:
    """Discard all metrics; for tests and without a statsd address."""

    def count(self, name: str, amount: int = 1) -> None:
        """Discard the count."""

    def gauge(self, name: str, reading: float) -> None:
        """Discard the reading."""

    def timing(self, name: str, seconds: float) -> None:
        """Discard the duration."""


@dataclass(slots=True)
class StatsdMetrics:
    """Send metrics to a statsd daemon by UDP; lost datagrams are ignored."""

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
    """The settings for the destination of metrics."""

    @property
    def host(self) -> str:
        """Return the host."""

    @property
    def port(self) -> int:
        """Return the UDP port."""

    @property
    def prefix(self) -> str:
        """Return the prefix of all metric names."""


def build_metrics(address: StatsdAddress | None) -> Metrics:
    """Return metrics sent to an address, or discarded without one."""
    if address is None:
        return NullMetrics()
    return StatsdMetrics.from_address(
        address.host,
        address.port,
        address.prefix,
    )
