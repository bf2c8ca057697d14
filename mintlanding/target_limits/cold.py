"""Targets that are cold: how long, and how many requests per second they bear.

Answers targets that start or return together under full load: a cold target is
slow, and one that gets its usual share of requests crashes. Its entry says how
much longer it stays cold. The age of the entry is unknown, so that this counts
from its arrival. All instances together stay within the rate, since it is kept
like a limit that the target names. Who asks the holder of that limit for a turn
reports what it knows, since the entry may reach the holder later.
"""

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from mintlanding.evacuation.zones import ENTRY_DELAY, EvacuatedZones
from mintlanding.target_limits.brittle import member_weight
from mintlanding.target_limits.messages import ColdReport
from mintlanding.target_limits.pacer import BURST_SECONDS, LEAST_RATE
from mintlanding.target_limits.table import TargetKey
from mintlanding.traffic.models import Service, Target


class ColdBounds(Protocol):
    """How far the requests in one second may exceed the rate."""

    @property
    def cold_excess(self) -> float:
        """Return the factor by which they may."""

    @property
    def cold_slack(self) -> float:
        """Return by how many requests they may as well."""


@dataclass(slots=True)
class _Cold:
    """Since and until when a target is cold, and its last entry."""

    entry: Target
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class _Reported:
    """Since and until when a target is cold by the reports of others."""

    since: float
    until: float


@dataclass(slots=True)
class ColdTargets:
    """The cold targets of services that bound their requests."""

    service: Callable[[str], Service | None]
    bounds: ColdBounds
    zones: EvacuatedZones = field(default_factory=EvacuatedZones)
    _cold: dict[TargetKey, _Cold] = field(default_factory=dict)
    # By name: a run that others report may have no entry here yet.
    _reported: dict[str, _Reported] = field(default_factory=dict)

    def observe(self, targets: Iterable[Target], now: float) -> None:
        """Apply the entries of all targets; forget those that left."""
        found: dict[TargetKey, _Cold] = {}
        for target in targets:
            known = self._cold.get(target.key)
            if known is not None and known.entry is target:
                found[target.key] = known
            elif target.cold_time > 0:
                since = self._reported_since(target.target, now)
                if known is not None and now < known.until:
                    since = known.since
                until = now + target.cold_time
                found[target.key] = _Cold(target, since, until)
        self._cold = found
        self._retain_reports(now)

    def merge(self, reports: Iterable[ColdReport], now: float) -> bool:
        """Apply what another instance reports; tell of targets turned cold.

        A report counts for as long as the entry may take to arrive here, and
        each request renews it. One that is older than a warm entry would
        otherwise bound the target for the rest of its cold time.
        """
        is_changed = False
        for report in reports:
            until = now + min(report.left, ENTRY_DELAY)
            known = self._reported.get(report.target)
            if known is not None and until <= known.until:
                continue
            is_new = known is None or now >= known.until
            is_changed |= is_new
            self._reported[report.target] = _Reported(
                self._reported_since(report.target, now),
                until,
            )
        return is_changed

    def limit(self, target: Target, now: float) -> float | None:
        """Return the requests per second that a target bears, None for any."""
        service = self.service(target.service)
        if service is None or service.cold_rate <= 0:
            return None
        reported = self._reported.get(target.target)
        until = self._cold_until(target, service, now)
        if reported is not None:
            # One of another run counts too: the entry here may be outdated.
            until = max(until, reported.until)
        return self._rate(service) if now < until else None

    def most_granters(self, target: Target, now: float) -> float:
        """Return how many members may have parts of a cold target's rate.

        Each part has a least rate and passes a request that was saved up, so
        that more of them could exceed the users' bound. For any other target
        it is infinite.
        """
        service = self.service(target.service)
        if service is None or self.limit(target, now) is None:
            return math.inf
        most = self._most(service)
        granters = min(most - self._rate(service), most / (1 + LEAST_RATE))
        return max(1, int(granters))

    def report(self, target: Target, now: float) -> tuple[ColdReport, ...]:
        """Return what is known here of a cold target; empty for any other.

        What others reported is not passed on: it would never end.
        """
        service = self.service(target.service)
        if service is None or service.cold_rate <= 0:
            return ()
        left = self._cold_until(target, service, now) - now
        return (ColdReport(*target.key, left),) if left > 0 else ()

    def since(self, target: Target, now: float) -> float:
        """Return since when a bounded target is cold, -inf if it is not."""
        service = self.service(target.service)
        if service is None or self.limit(target, now) is None:
            return -math.inf
        if now >= self._cold_until(target, service, now):
            return self._reported_since(target.target, now)
        known = self._cold.get(target.key)
        if known is None or known.entry is not target:
            return now if target.cold_time > 0 else self._returned_at(target)
        if now < known.until:
            return known.since
        return self._returned_at(target)

    def count(self, targets: Iterable[Target], now: float) -> int:
        """Return the number of targets whose requests are bounded."""
        return sum(self.limit(each, now) is not None for each in targets)

    def _reported_since(self, name: str, now: float) -> float:
        """Return since when others report a target as cold, else `now`."""
        reported = self._reported.get(name)
        if reported is None or now >= reported.until:
            return now
        return reported.since

    def _retain_reports(self, now: float) -> None:
        """Forget reports that do not count any more."""
        self._reported = {
            name: reported
            for name, reported in self._reported.items()
            if now < reported.until
        }

    def _returned_at(self, target: Target) -> float:
        return self.zones.returned_at(target.zone)

    def _rate(self, service: Service) -> float:
        """Return a rate whose saved-up burst stays within the users' bound."""
        return min(service.cold_rate, self._most(service) / (1 + BURST_SECONDS))

    def _most(self, service: Service) -> float:
        """Return the users' bound for the requests within one second."""
        bounds = self.bounds
        return service.cold_rate * bounds.cold_excess + bounds.cold_slack

    def _cold_until(
        self, target: Target, service: Service, now: float
    ) -> float:
        known = self._cold.get(target.key)
        if known is None or known.entry is not target:
            # An entry that has arrived since the last look.
            until = now + target.cold_time
        else:
            until = known.until
        returned_at = self.zones.returned_at(target.zone)
        # Entries that arrive earlier may predate the return.
        return max(until, returned_at + service.cold_time + ENTRY_DELAY)


def rate_part(
    target: str,
    most: float,
    granters: Collection[str],
    members: Collection[str],
) -> float:
    """Return the part of a target's rate that some members may use.

    `most` members have equal parts: the first ones by rendezvous hashing, which
    all members find alike. `granters` are some of `members`.
    """
    if len(members) <= most:
        return len(granters) / len(members)
    ranked = sorted(members, key=lambda name: member_weight(target, name))
    return sum(name in granters for name in ranked[: int(most)]) / int(most)
