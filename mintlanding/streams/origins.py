"""Origins of streams, and which instances keep a copy of each."""

from collections import OrderedDict
from collections.abc import Container, Iterable
from dataclasses import dataclass, field

import xxhash

from mintlanding.residency.authority import MemberInfo
from mintlanding.streams.messages import StreamOrigin


@dataclass(frozen=True, slots=True)
class StreamOptions:
    """How origins of streams are kept and found; times in seconds.

    `lifetime`: time for which an origin is kept, above the longest stream and
    the attempts of its caller to resume it. `max_origins`: origins that one
    instance keeps; the oldest are dropped. `copies`: zones in which one member
    keeps a copy. `queries_per_zone`: members of each zone that are asked, more
    than one since members come and go between notice and query.
    `lookup_timeout`: time to wait for replies.
    """

    lifetime: float = 30
    max_origins: int = 50_000
    copies: int = 3
    queries_per_zone: int = 2
    lookup_timeout: float = 0.15


@dataclass(slots=True)
class OriginTable:
    """Origins by request, for `lifetime` seconds after they were recorded."""

    options: StreamOptions
    _origins: OrderedDict[str, tuple[float, StreamOrigin]] = field(
        default_factory=OrderedDict,
    )

    def record(self, origin: StreamOrigin, now: float) -> None:
        """Record an origin, unless a later attempt is known."""
        known = self.find(origin.request_id, now)
        if known is not None and known.attempt > origin.attempt:
            return
        self._origins[origin.request_id] = (now, origin)
        self._origins.move_to_end(origin.request_id)
        self._prune(now)

    def find(self, request_id: str, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is not known."""
        recorded_at, origin = self._origins.get(request_id, (now, None))
        return origin if now < recorded_at + self.options.lifetime else None

    def of_services(
        self, services: Container[str], now: float
    ) -> tuple[StreamOrigin, ...]:
        """Return the known origins at some services, the oldest first."""
        since = now - self.options.lifetime
        return tuple(
            origin
            for recorded_at, origin in self._origins.values()
            if recorded_at > since and origin.service in services
        )

    def __len__(self) -> int:
        """Return the number of origins, including expired ones."""
        return len(self._origins)

    def _prune(self, now: float) -> None:
        while self._origins:
            recorded_at, oldest = next(iter(self._origins.values()))
            is_expired = now >= recorded_at + self.options.lifetime
            if not is_expired and len(self) <= self.options.max_origins:
                return
            self._origins.pop(oldest.request_id)


def choose_keepers(
    request_id: str,
    zone: str,
    members: Iterable[MemberInfo],
    copies: int,
) -> list[str]:
    """Return the members that get a copy of an origin, one in each zone.

    The own zone comes first, since a caller returns there unless the zone is
    lost.
    """
    by_zone = _rank_by_zone(request_id, members)
    zones = sorted(
        by_zone,
        key=lambda each: (each == zone, _weight(request_id, each)),
        reverse=True,
    )
    return [by_zone[each][0] for each in zones[:copies]]


def choose_members_to_query(
    request_id: str,
    members: Iterable[MemberInfo],
    per_zone: int,
) -> list[str]:
    """Return the members that may have a copy of an origin."""
    by_zone = _rank_by_zone(request_id, members)
    return [
        member for ranked in by_zone.values() for member in ranked[:per_zone]
    ]


def _rank_by_zone(
    request_id: str, members: Iterable[MemberInfo]
) -> dict[str, list[str]]:
    """Return the members of each zone by rendezvous hashing, best first."""
    ranked = sorted(
        members,
        key=lambda each: _weight(request_id, each.member),
        reverse=True,
    )
    by_zone: dict[str, list[str]] = {}
    for each in ranked:
        by_zone.setdefault(each.zone, []).append(each.member)
    return by_zone


def _weight(request_id: str, name: str) -> int:
    return int(xxhash.xxh64_intdigest(f'{request_id}|{name}'.encode()))
