"""Rates, and the durations that govern loans of seats."""

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
    """A limit: `rate` in tokens per second, `burst` in tokens."""

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class LimitsOptions:
    """Durations in seconds, and `flat_members`.

    A borrower may use a loan for `term` after its request; the holder of a
    workspace borrows from the holders of other zones for `zone_term`. The
    lender waits longer, by the clock drift and the delivery time of a grant.
    `renew` and `announce` are the intervals of loan requests and of
    announcements.

    A request that another instance has to grant times out after
    `request_timeout`. A request waits up to `patience` if a refill within
    `linger` is enough for it, or while seats move to a new holder. `flush` and
    `lazy` delay messages so that they share a batch. Settlements are repeated
    every `settle_retry`; a charge not settled within `settle_within` is final.

    A process that is not called for `pause` drops its seats. One that is
    isolated for `grace` drops them too, so that they can be taken over.
    Seat records are read every `seat_poll`. `drift` is the largest relative
    difference between the rates of two clocks. With more than
    `flat_members` instances, loans go through the holders of zones.
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
        """Return options from values by name; the others keep defaults.

        Raise ConfigurationError if a name is unknown or two durations
        contradict each other.
        """
        known = {each.name for each in fields(cls)}
        unknown = ', '.join(sorted(values.keys() - known))
        if unknown:
            raise ConfigurationError(f'unknown options of limits: {unknown}')
        options = cls(**values)  # type: ignore[arg-type]
        for smaller, larger in _ORDER:
            if getattr(options, smaller) >= getattr(options, larger):
                raise ConfigurationError(
                    f'limits: {smaller} must be shorter than {larger}',
                )
        return options

    @classmethod
    def for_fleet(cls) -> Self:
        """Return options for several hundred instances."""
        return cls(term=18, zone_term=6, renew=4, announce=15, grace=60)

    @property
    def delivery_time(self) -> float:
        """Return how long a grant may be in flight, by any clock."""
        return self.request_timeout * (1 + self.drift)

    def lender_term(self, term: float) -> float:
        """Return how long the lender has to wait for a loan of `term`."""
        return (term + self.request_timeout) * (
            1 + self.drift
        ) + self.delivery_time

    @property
    def takeover(self) -> float:
        """Return how long an owner must be gone before its seat is taken."""
        return self.grace * (1 + self.drift) + self.announce
