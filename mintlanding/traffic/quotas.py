"""Quotas of workspaces over the whole fleet, by counters that members exchange.

They must hold when one workspace sends many times its quota through all
instances at once, a third of which may be cut off. Each instance counts what
was requested and what it admitted, and sends both to the others several times
a second, so that all of them charge the same token bucket. While the bucket has
enough tokens, requests are admitted wherever they arrive. Once it is so low
that others may have used it up meanwhile, each instance admits at its share of
the rate, which is its share of the demand. Otherwise all of them would start
and stop admitting together, one round of statuses too late.
"""

import math
from dataclasses import dataclass, field
from typing import Self

from mintlanding.traffic.models import Workspace

# Bounds of the seconds after which a refused caller may retry.
_MAX_RETRY_AFTER = 2.0
_MIN_RETRY_AFTER = 0.05
# Share of rate and burst that is admitted: above 1 by about a third of the
# excess that the serving requirements allow, so that no request within a
# quota is refused because of late counters.
_USABLE_SHARE = 1.03
# Share of the difference between two buckets that one status closes.
_CONVERGENCE_SHARE = 0.1
# Least burst of a quota, in seconds of its rate.
MIN_BURST_SECONDS = 0.25
# Time constant of the decay of demand, in seconds.
_DEMAND_SECONDS = 2.0
# Seconds until a status has reached all members of a large fleet: two and a
# half rounds of hubs.
_PROPAGATION_SECONDS = 1.0
# Level of a bucket, in seconds of its rate, at which the local rates of all
# instances are doubled or, if it is negative, zero. Statuses reach everyone
# twice in that time.
_CORRECTION_SECONDS = 2.0
_MAX_CORRECTION = 2.0
# Least factor of the local rate by which the retry delay is computed, since a
# debt is soon paid back.
_MIN_CORRECTION = 0.5
# Largest share of a burst that others are assumed to use up unreported.
_MAX_UNREPORTED_SHARE = 0.5
# Seconds after its last report for which a counter is assumed to grow on;
# members that are unreachable for longer are left out of the shares.
_ASSUMED_SECONDS = 2.0
# Seconds between assumptions, since each one goes through all counters.
_ASSUMED_STEP_SECONDS = 0.05
# Shortest time in seconds that gives a rate: after this process has stalled,
# several reports arrive at once.
_SAMPLE_SECONDS = 0.1
# Seconds after its last report at which the counter of a process is dropped.
_FORGET_SECONDS = 600.0
# Weight of a new sample of the rate at which a counter grows.
_RATE_SMOOTHING = 0.5
# Seconds after the start of a process until the first counters of the others
# have come through hubs, and until the demand there is measured.
_SETTLE_SECONDS = 2.0
_MEASURE_SECONDS = 2 * _DEMAND_SECONDS
# Suffix of the counter of requested tokens, beside that of admitted ones.
_REQUESTED = '\0asked'


@dataclass(slots=True)
class _RemoteCounter:
    """A counter of another member as of its last report, at time `at`.

    Until the next report the counter is assumed to grow at `rate`; `assumed`
    and `assumed_reserve` were charged to level and reserve for that. So a
    member that is cut off does not take the silence of the others for tokens
    that they leave to it. `sampled_at` and `sampled_total` are of the report
    from which the rate is measured.
    """

    total: float
    at: float
    sampled_at: float
    sampled_total: float
    rate: float = 0
    assumed: float = 0
    assumed_reserve: float = 0

    @classmethod
    def first(cls, total: float, now: float) -> Self:
        """Create the counter of a member at its first report."""
        return cls(total, now, sampled_at=now, sampled_total=total)

    def assume(self, now: float, seconds: float) -> float:
        """Return what the counter has probably grown in the last seconds."""
        return self.rate * seconds if now < self.at + _ASSUMED_SECONDS else 0

    def report(self, total: float, now: float) -> float:
        """Return what the counter has grown."""
        more = total - self.total
        self.total, self.at = total, now
        self.assumed = self.assumed_reserve = 0
        elapsed = now - self.sampled_at
        if elapsed >= _SAMPLE_SECONDS:
            sample = max(0, total - self.sampled_total) / elapsed
            self.rate += _RATE_SMOOTHING * (sample - self.rate)
            self.sampled_at, self.sampled_total = now, total
        return more


@dataclass(slots=True)
class _Bucket:
    """Token bucket of one workspace and the counters charged to it.

    `share` is the part of the quota of the members that this instance hears;
    `reserve` are the tokens of the others, which are not in `level`. `rate` and
    `burst` are those of all members. `local_demand` and `remote_demand` are the
    tokens requested here and elsewhere in about the last `_DEMAND_SECONDS`.
    `debt` is what was admitted here beyond the local rate. Until `settled_at`
    the process does not know what was admitted before it started: the bucket
    holds what the others report to have. Until `is_measured` it does not know
    the demand at the other `members`: each admits an equal part of the rate.
    `remotes` are the counters of other members, `requested_remotes` those of
    what was requested; their growth is assumed up to `assumed_at`.
    """

    level: float
    at: float
    settled_at: float = -math.inf
    is_measured: bool = True
    members: int = 1
    rate: float = 0
    burst: float = 0
    share: float = 1
    reserve: float = 0
    admitted: float = 0
    requested: float = 0
    local_demand: float = 0
    remote_demand: float = 0
    debt: float = 0
    assumed_at: float = 0
    remotes: dict[str, _RemoteCounter] = field(default_factory=dict)
    requested_remotes: dict[str, _RemoteCounter] = field(default_factory=dict)

    @property
    def demand_share(self) -> float:
        """Return the share of the demand that arrives here."""
        if not self.is_measured:
            return 1 / (self.members * self.share)
        total = self.local_demand + self.remote_demand
        return self.local_demand / total if total else 1

    @property
    def local_rate(self) -> float:
        """Return the share of the rate that this instance admits."""
        rate = self.rate * self.share
        correction = self.level / (rate * _CORRECTION_SECONDS)
        return (
            rate
            * self.demand_share
            * max(0, min(1 + correction, _MAX_CORRECTION))
        )

    @property
    def unreported(self) -> float:
        """Return what others may have admitted but not reported yet."""
        most = self.burst * self.share * _MAX_UNREPORTED_SHARE
        remote = self.remote_demand / _DEMAND_SECONDS * _PROPAGATION_SECONDS
        return min(remote, most) if self.is_measured else most

    def _assume_growth(self, now: float) -> None:
        """Charge what the other members have probably admitted."""
        seconds = now - self.assumed_at
        self.assumed_at = now
        others = 1 - self.share
        for remote in self.remotes.values():
            grown = remote.assume(now, seconds)
            remote.assumed += grown * self.share
            remote.assumed_reserve += grown * others
            self.level -= grown * self.share
            self.reserve -= grown * others
        kept = math.exp(-seconds / _DEMAND_SECONDS)
        for remote in self.requested_remotes.values():
            grown = remote.assume(now, seconds)
            remote.assumed = remote.assumed * kept + grown
            self.remote_demand += grown

    def set_share(self, share: float) -> None:
        """Set the part of the quota that the members in reach have.

        Those that fall silent take their part of the tokens and debts along.
        Those that are heard again bring along what they have not used.
        """
        moved: float = 0
        if share < self.share:
            moved = self.level * (1 - share / self.share)
        elif self.share < 1:
            moved = self.reserve * (share - self.share) / (self.share - 1)
        self.level -= moved
        self.reserve += moved
        self.share = share

    def advance(self, now: float) -> None:
        """Refill the bucket, pay back debt and decay the demand."""
        seconds = max(0, now - self.at)
        self.at = now
        self.debt = max(0, self.debt - self.local_rate * seconds)
        kept = math.exp(-seconds / _DEMAND_SECONDS)
        self.local_demand *= kept
        self.remote_demand *= kept
        others = 1 - self.share
        measured_at = self.settled_at + _MEASURE_SECONDS - _SETTLE_SECONDS
        self.is_measured = now >= measured_at
        seconds = min(seconds, max(0, now - self.settled_at))
        self.level += self.rate * self.share * seconds
        self.reserve += self.rate * others * seconds
        self.level = min(self.level, self.burst * self.share)
        self.reserve = min(self.reserve, self.burst * others)
        if now >= self.assumed_at + _ASSUMED_STEP_SECONDS:
            self._assume_growth(now)

    def report(self, member: str, total: float, now: float) -> None:
        """Charge what a member has admitted, instead of what was assumed.

        What it admitted before its first report is not charged.
        """
        known = _find_counter(self.remotes, member, total, now)
        self.level += known.assumed
        self.reserve += known.assumed_reserve
        self.level -= known.report(total, now)

    def report_requested(self, member: str, total: float, now: float) -> None:
        """Add what was requested at a member to the remote demand."""
        known = _find_counter(self.requested_remotes, member, total, now)
        assumed = known.assumed
        requested = max(0, known.report(total, now))
        self.remote_demand = max(0, self.remote_demand - assumed) + requested

    def admit(self, amount: float) -> float:
        """Admit an amount; return 0, or the seconds after which to retry."""
        self.requested += amount
        self.local_demand += amount
        burst = self.burst * self.share
        is_low = self.level < max(min(amount, burst), self.unreported)
        # A request larger than the local share passes once there is no debt.
        excess = self.debt - max(
            0, self.unreported * self.demand_share - amount
        )
        if is_low and excess > 0:
            least = self.rate * self.share * self.demand_share
            least *= _MIN_CORRECTION
            return max(excess / max(self.local_rate, least), _MIN_RETRY_AFTER)
        if is_low:
            self.debt += amount
        self.level -= amount
        self.admitted += amount
        return 0


class FleetQuotas:
    """Buckets of all workspaces, as this instance sees the fleet.

    While some members are silent, rate and burst are reduced to the share of
    those that are heard.
    """

    def __init__(self, started_at: float = -math.inf) -> None:
        """Start without workspaces, in a process that started at a time."""
        self._settled_at = started_at + _SETTLE_SECONDS
        self._members = 1
        self._buckets: dict[str, _Bucket] = {}
        self._share = 1.0

    def set_reachable(self, reachable: float, members: int) -> None:
        """Set the numbers of reachable and of all members, self included.

        A member whose last status is late may count in part.
        """
        self._members = max(1, members)
        self._share = min(1, reachable / self._members)
        for bucket in self._buckets.values():
            bucket.set_share(self._share)

    def admit(self, workspace: Workspace, amount: float, now: float) -> float:
        """Charge a request; return 0, or the seconds after which to retry."""
        if workspace.rate <= 0:
            return 0
        wait = self._advance(workspace, now).admit(amount)
        return min(wait, _MAX_RETRY_AFTER)

    def refund(self, workspace: str, amount: float) -> None:
        """Return the charge of a request that did not run."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.level += amount
            bucket.admitted -= amount

    def counters(self) -> dict[str, float]:
        """Return what was admitted and requested here since the start."""
        found = {}
        for name, bucket in self._buckets.items():
            found[name] = bucket.admitted
            found[name + _REQUESTED] = bucket.requested
        return found

    def levels(self, now: float) -> dict[str, float]:
        """Return the tokens left in the buckets, negative if overdrawn."""
        return {
            name: bucket.level
            + bucket.rate * bucket.share * max(0, now - bucket.at)
            for name, bucket in self._buckets.items()
        }

    def converge(self, levels: dict[str, float]) -> None:
        """Move the levels towards those of a member.

        Buckets diverge when a changed quota takes effect at different times.
        Callers of the emptier one should not be at a disadvantage for good.
        """
        for name, level in levels.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                is_settled = bucket.at >= bucket.settled_at
                part = _CONVERGENCE_SHARE if is_settled else 1
                bucket.level += part * (level - bucket.level)

    def add_remote_counters(
        self,
        member: str,
        counters: dict[str, float],
        workspaces: dict[str, Workspace],
        now: float,
    ) -> None:
        """Charge what a member has admitted since its last counters.

        Add what was requested there to the remote demand.
        """
        for name, total in counters.items():
            workspace = workspaces.get(name.removesuffix(_REQUESTED))
            if workspace is None or workspace.rate <= 0:
                continue
            bucket = self._advance(workspace, now)
            if name.endswith(_REQUESTED):
                bucket.report_requested(member, total, now)
            else:
                bucket.report(member, total, now)

    def _advance(self, workspace: Workspace, now: float) -> _Bucket:
        burst = max(workspace.burst, workspace.rate * MIN_BURST_SECONDS)
        burst *= _USABLE_SHARE
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            refilled = workspace.rate * max(0, now - self._settled_at)
            bucket = _Bucket(
                min(burst, refilled), now, self._settled_at, assumed_at=now
            )
            bucket.set_share(self._share)
            self._buckets[workspace.name] = bucket
        bucket.rate = workspace.rate * _USABLE_SHARE
        bucket.burst = burst
        bucket.members = self._members
        bucket.advance(now)
        return bucket


def _find_counter(
    counters: dict[str, _RemoteCounter], member: str, total: float, now: float
) -> _RemoteCounter:
    """Return the counter of a member, which begins with its first report."""
    known = counters.get(member)
    if known is not None:
        return known
    for ended, each in tuple(counters.items()):
        if now > each.at + _FORGET_SECONDS:
            counters.pop(ended)
    counters[member] = _RemoteCounter.first(total, now)
    return counters[member]
