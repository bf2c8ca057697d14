"""The limits in force, each for one incarnation of a target."""

from collections.abc import Iterable
from dataclasses import dataclass

from mintlanding.target_limits.messages import NO_LIMIT, LimitReport

# Seconds for which instances tell each other that a target has no limit
# any more.
_CLEARED_SECONDS = 10.0

# Name and incarnation of a target.
TargetKey = tuple[str, int]


@dataclass(slots=True)
class _Named:
    """What a target named; `at` orders what several instances have seen."""

    limit: float | None
    at: float
    is_own: bool


class LimitTable:
    """What targets named last, to this instance or to another.

    A limit is named at the time of its response. A response without a limit
    counts from the time of its request: it says nothing about a limit that
    another response named while it was under way.
    """

    def __init__(self) -> None:
        """Start without limits."""
        self._named: dict[TargetKey, _Named] = {}

    def limit(self, target: TargetKey) -> float | None:
        """Return the limit of a target in requests per second, if any."""
        named = self._named.get(target)
        return None if named is None else named.limit

    def limited(self) -> tuple[TargetKey, ...]:
        """Return the targets that have a limit."""
        return tuple(
            target
            for target, named in self._named.items()
            if named.limit is not None
        )

    def record(
        self,
        target: TargetKey,
        limit: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Record a response to a request sent at a time; tell of changes."""
        if limit is not None:
            return self._apply(target, _Named(limit, now, is_own=True))
        if target not in self._named:
            return False
        return self._apply(target, _Named(None, sent_at, is_own=True))

    def merge(self, reports: Iterable[LimitReport], now: float) -> bool:
        """Apply what other instances report; tell of changes."""
        is_changed = False
        for report in reports:
            limit = None if report.limit < 0 else report.limit
            is_changed |= self._apply(
                (report.target, report.incarnation),
                _Named(limit, now - report.age, is_own=False),
            )
        return is_changed

    def reports(self, now: float) -> tuple[LimitReport, ...]:
        """Return what targets named to this instance itself.

        What others reported is not passed on: each hop would make it look
        newer than it is.
        """
        return tuple(
            _report(target, named, now)
            for target, named in self._named.items()
            if named.is_own and not _is_outdated(named, now)
        )

    def report(self, target: TargetKey, now: float) -> tuple[LimitReport, ...]:
        """Return the report of one target; empty if nothing is known."""
        named = self._named.get(target)
        return () if named is None else (_report(target, named, now),)

    def retain(self, targets: set[TargetKey], now: float) -> None:
        """Forget other targets, and limits that ended a while ago."""
        self._named = {
            target: named
            for target, named in self._named.items()
            if target in targets and not _is_outdated(named, now)
        }

    def _apply(self, target: TargetKey, named: _Named) -> bool:
        known = self._named.get(target)
        if known is not None and known.at > named.at:
            return False
        self._named[target] = named
        return known is None or known.limit != named.limit


def combine_limits(
    received: Iterable[tuple[LimitReport, float]],
) -> tuple[LimitReport, ...]:
    """Combine reports, each with the seconds since it was made."""
    newest: dict[TargetKey, LimitReport] = {}
    for report, delay in received:
        aged = LimitReport(
            report.target,
            report.incarnation,
            report.limit,
            report.age + delay,
        )
        key = (report.target, report.incarnation)
        known = newest.get(key)
        if known is None or aged.age < known.age:
            newest[key] = aged
    return tuple(newest.values())


def _is_outdated(named: _Named, now: float) -> bool:
    return named.limit is None and now > named.at + _CLEARED_SECONDS


def _report(target: TargetKey, named: _Named, now: float) -> LimitReport:
    limit = NO_LIMIT if named.limit is None else named.limit
    return LimitReport(*target, limit, max(0, now - named.at))
