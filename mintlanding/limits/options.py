"""Rates, and the durations that bound who may use a share until when."""

from collections.abc import Mapping
from dataclasses import dataclass, fields
from typing import Self

from mintlanding.core.exceptions import ConfigurationError

_ORDER = (
    ('renew', 'term'),
    ('renew', 'zone_term'),
    ('linger', 'patience'),
    ('patience', 'request_timeout'),
    ('request_timeout', 'term'),
    ('pause', 'grace'),
    ('announce', 'grace'),
)


@dataclass(frozen=True, slots=True)
class Rate:
    """A limit: `rate` in tokens a second, `burst` in tokens."""

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class LimitsOptions:
    """Durations in seconds.

    A borrower uses a loan for `term` from the moment it asked for it; the
    lender counts longer, by the clock drift and by the time that a granted
    request may still be on its way. A holder of many zones borrows from the
    holders of the zones for `zone_term`.
    """

    term: float = 3
    zone_term: float = 3
    renew: float = 1
    announce: float = 2
    request_timeout: float = 0.25
    patience: float = 0.1
    linger: float = 0.05
    flush: float = 0.005
    lazy: float = 0.05
    settle_retry: float = 1
    settle_within: float = 900
    pause: float = 10
    grace: float = 30
    seat_poll: float = 5
    drift: float = 0.05
    flat_members: int = 24

    @classmethod
    def from_config(cls, values: Mapping[str, float]) -> Self:  # noqa: WPS110
        """Take durations by name; the others keep their defaults."""
        known = {each.name for each in fields(cls)}
        unknown = ', '.join(sorted(values.keys() - known))
        if unknown:
            raise ConfigurationError(f'unknown terms of the limits: {unknown}')
        options = cls(**values)  # type: ignore[arg-type]
        for smaller, larger in _ORDER:
            if getattr(options, smaller) >= getattr(options, larger):
                raise ConfigurationError(
                    f'limits: {smaller} has to be shorter than {larger}',
                )
        return options

    @classmethod
    def for_fleet(cls) -> Self:
        """Return terms for several hundred instances."""
        return cls(term=18, zone_term=6, renew=4, announce=15, grace=60)

    @property
    def flight(self) -> float:
        """How long a granted request may be on its way, by any clock."""
        return self.request_timeout * (1 + self.drift)

    def lender_term(self, term: float) -> float:
        """How long the lender has to wait for a loan of `term`."""
        return (term + self.request_timeout) * (1 + self.drift) + self.flight

    @property
    def takeover(self) -> float:
        """How long the owner of a seat has to be gone and silent."""
        return self.grace * (1 + self.drift) + self.announce
