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
_MIN_BURST_SECONDS = 0.25
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
# Suffix of the counter of requested tokens, beside that of admitted ones.
_REQUESTED = '\0asked'


@dataclass(slots=True)
class _Bucket:
    """Token bucket of one workspace and the counters charged to it.

    `local_demand` and `remote_demand` are the tokens requested here and
    elsewhere in about the last `_DEMAND_SECONDS`. `debt` is what was admitted
    here beyond the local rate. `counters` are the last ones of other members.
    """

    level: float
    at: float
    rate: float = 0
    burst: float = 0
    admitted: float = 0
    requested: float = 0
    local_demand: float = 0
    remote_demand: float = 0
    debt: float = 0
    counters: dict[str, float] = field(default_factory=dict)

    @property
    def demand_share(self) -> float:
        """Return the share of the demand that arrives here."""
        total = self.local_demand + self.remote_demand
        return self.local_demand / total if total else 1

    @property
    def local_rate(self) -> float:
        """Return the share of the rate that this instance admits."""
        correction = self.level / (self.rate * _CORRECTION_SECONDS)
        return (
            self.rate
            * self.demand_share
            * max(0, min(1 + correction, _MAX_CORRECTION))
        )

    @property
    def unreported(self) -> float:
        """Return what others may have admitted but not reported yet."""
        remote = self.remote_demand / _DEMAND_SECONDS * _PROPAGATION_SECONDS
        return min(remote, self.burst * _MAX_UNREPORTED_SHARE)

    def advance(self, seconds: float) -> None:
        """Refill the bucket, pay back debt and decay the demand."""
        self.debt = max(0, self.debt - self.local_rate * seconds)
        kept = math.exp(-seconds / _DEMAND_SECONDS)
        self.local_demand *= kept
        self.remote_demand *= kept
        self.level = min(self.level + self.rate * seconds, self.burst)

    def admit(self, amount: float) -> float:
        """Admit an amount; return 0, or the seconds after which to retry."""
        self.requested += amount
        self.local_demand += amount
        is_low = self.level < max(min(amount, self.burst), self.unreported)
        # A request larger than the local share passes once there is no debt.
        excess = self.debt - max(
            0, self.unreported * self.demand_share - amount
        )
        if is_low and excess > 0:
            least = self.rate * self.demand_share * _MIN_CORRECTION
            return max(excess / max(self.local_rate, least), _MIN_RETRY_AFTER)
        if is_low:
            self.debt += amount
        self.level -= amount
        self.admitted += amount
        return 0


class FleetQuotas:
    """Buckets of all workspaces, as this instance sees the fleet.

    While some members are unreachable, rate and burst are reduced to the share
    of those that are reachable.
    """

    def __init__(self) -> None:
        """Start without workspaces."""
        self._buckets: dict[str, _Bucket] = {}
        self._share = 1.0

    def set_reachable(self, reachable: int, members: int) -> None:
        """Set the numbers of reachable and of all members, self included."""
        before = self._share
        self._share = min(1, reachable / members) if members else 1
        if self._share < before:
            # Unreachable members keep their share of tokens and debts.
            for bucket in self._buckets.values():
                bucket.level *= self._share / before

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
            name: bucket.level + bucket.rate * max(0, now - bucket.at)
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
                bucket.level += _CONVERGENCE_SHARE * (level - bucket.level)

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
            source = member + name.removeprefix(workspace.name)
            more = total - bucket.counters.get(source, total)
            bucket.counters[source] = total
            if name.endswith(_REQUESTED):
                bucket.remote_demand += max(0, more)
            else:
                bucket.level -= more

    def _advance(self, workspace: Workspace, now: float) -> _Bucket:
        burst = self._burst(workspace)
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = _Bucket(level=burst, at=now)
            self._buckets[workspace.name] = bucket
        bucket.rate = workspace.rate * self._share * _USABLE_SHARE
        bucket.burst = burst
        bucket.advance(max(0, now - bucket.at))
        bucket.at = now
        return bucket

    def _burst(self, workspace: Workspace) -> float:
        burst = max(workspace.burst, workspace.rate * _MIN_BURST_SECONDS)
        return burst * self._share * _USABLE_SHARE
