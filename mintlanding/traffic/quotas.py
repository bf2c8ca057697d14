"""Workspace caps over the whole fleet, kept by counters that members tell.

Load it answers: one workspace sends many times its cap through all
instances at once, a third of which may be cut off. Each instance counts what
it was asked for and what it admitted, and tells the others several times a
second; all of them charge the same bucket. While that holds plenty, requests
are admitted wherever they come. Once it is so low that others may have used
it up meanwhile, each instance gives out the part of the rate that its part of
the demand is: all of them would otherwise begin and cease together, a
round of words too late.
"""

import math
from dataclasses import dataclass, field

from mintlanding.traffic.models import Workspace

# A refused caller is told to come back no later than this many seconds.
_MAX_RETRY_AFTER = 2.0
_MIN_RETRY_AFTER = 0.05
# Share of rate and burst that is given out: about a third of the excess that
# the users allow, so that nothing within a cap is refused for late counters.
_USABLE_SHARE = 1.03
# Share of a difference between two buckets that one word closes.
_APPROACH = 0.1
# A cap without a burst lets this many seconds of its rate through at once.
_LEAST_BURST = 0.25
# Seconds for which demand is remembered.
_DEMAND_SECONDS = 2.0
# Seconds that words take to all members of a large fleet: two rounds of hubs
# and half of one.
_WORD_SECONDS = 1.0
# Seconds of its rate by which a bucket differs from empty when the parts of
# all instances are doubled, or vanish; words reach everyone twice meanwhile.
_CORRECTION_SECONDS = 2.0
_MOST_CORRECTION = 2.0
# Who is told when to come back is told by no less of the part: what is owed
# is soon paid back.
_LEAST_CORRECTION = 0.5
# Part of a bucket that others may be thought to use up unheard of.
_MOST_UNSURE = 0.5
# What the counter of demand is called beside that of what was admitted.
_ASKED = '\0asked'


@dataclass(slots=True)
class _Account:
    """The bucket of one workspace and the counters charged to it.

    `own_demand` and `other_demand` are what was asked for here and elsewhere
    in about the last `_DEMAND_SECONDS`. `debt` is what was given out here
    beyond the own part of the rate.
    """

    level: float
    at: float
    rate: float = 0
    burst: float = 0
    admitted: float = 0
    asked: float = 0
    own_demand: float = 0
    other_demand: float = 0
    debt: float = 0
    counted: dict[str, float] = field(default_factory=dict)

    @property
    def share(self) -> float:
        """Return the own part of the demand."""
        total = self.own_demand + self.other_demand
        return self.own_demand / total if total else 1

    @property
    def part(self) -> float:
        """Return the own part of the rate."""
        off = self.level / (self.rate * _CORRECTION_SECONDS)
        return self.rate * self.share * max(0, min(1 + off, _MOST_CORRECTION))

    @property
    def unsure(self) -> float:
        """Return what others may have admitted that is not known yet."""
        unheard = self.other_demand / _DEMAND_SECONDS * _WORD_SECONDS
        return min(unheard, self.burst * _MOST_UNSURE)

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.debt = max(0, self.debt - self.part * seconds)
        kept = math.exp(-seconds / _DEMAND_SECONDS)
        self.own_demand *= kept
        self.other_demand *= kept
        self.level = min(self.level + self.rate * seconds, self.burst)

    def ask(self, amount: float) -> float:
        """Admit an amount; return 0, or the seconds until it may come back."""
        self.asked += amount
        self.own_demand += amount
        is_low = self.level < max(min(amount, self.burst), self.unsure)
        # A request that is larger than the own part goes once nothing is owed.
        excess = self.debt - max(0, self.unsure * self.share - amount)
        if is_low and excess > 0:
            least = self.rate * self.share * _LEAST_CORRECTION
            return max(excess / max(self.part, least), _MIN_RETRY_AFTER)
        if is_low:
            self.debt += amount
        self.level -= amount
        self.admitted += amount
        return 0


class FleetQuotas:
    """Buckets of all workspaces, as this instance sees the fleet.

    An instance that cannot hear `members - heard` of the members uses only
    the share of rate and burst that falls to those that it hears.
    """

    def __init__(self) -> None:
        """Start without workspaces."""
        self._accounts: dict[str, _Account] = {}
        self._share = 1.0

    def set_reach(self, heard: int, members: int) -> None:
        """Say how many members are heard of, oneself included."""
        before = self._share
        self._share = min(1, heard / members) if members else 1
        if self._share < before:
            # The others go on with their part of what there is, or is owed.
            for account in self._accounts.values():
                account.level *= self._share / before

    def admit(self, workspace: Workspace, amount: float, now: float) -> float:
        """Charge a request; return 0, or the seconds until it may come back."""
        if workspace.rate <= 0:
            return 0
        wait = self._advance(workspace, now).ask(amount)
        return min(wait, _MAX_RETRY_AFTER)

    def refund(self, workspace: str, amount: float) -> None:
        """Give back what a request that did not run was charged."""
        account = self._accounts.get(workspace)
        if account is not None:
            account.level += amount
            account.admitted -= amount

    def counters(self) -> dict[str, float]:
        """Return what was admitted and asked for here since the start."""
        found = {}
        for name, account in self._accounts.items():
            found[name] = account.admitted
            found[name + _ASKED] = account.asked
        return found

    def levels(self, now: float) -> dict[str, float]:
        """Return what is left in the buckets, debts below zero."""
        return {
            name: account.level + account.rate * max(0, now - account.at)
            for name, account in self._accounts.items()
        }

    def approach(self, levels: dict[str, float]) -> None:
        """Move towards the levels of a member.

        Buckets drift apart where a cap changes here sooner than there; none
        of a workspace's callers should find the emptier one for ever.
        """
        for name, level in levels.items():
            account = self._accounts.get(name)
            if account is not None:
                account.level += _APPROACH * (level - account.level)

    def add_remote_counters(
        self,
        member: str,
        counters: dict[str, float],
        workspaces: dict[str, Workspace],
        now: float,
    ) -> None:
        """Charge what a member has admitted since it last told.

        Note what it was asked for, too.
        """
        for name, total in counters.items():
            workspace = workspaces.get(name.removesuffix(_ASKED))
            if workspace is None or workspace.rate <= 0:
                continue
            account = self._advance(workspace, now)
            source = member + name.removeprefix(workspace.name)
            more = total - account.counted.get(source, total)
            account.counted[source] = total
            if name.endswith(_ASKED):
                account.other_demand += max(0, more)
            else:
                account.level -= more

    def _advance(self, workspace: Workspace, now: float) -> _Account:
        burst = self._burst(workspace)
        account = self._accounts.get(workspace.name)
        if account is None:
            account = _Account(level=burst, at=now)
            self._accounts[workspace.name] = account
        account.rate = workspace.rate * self._share * _USABLE_SHARE
        account.burst = burst
        account.advance(max(0, now - account.at))
        account.at = now
        return account

    def _burst(self, workspace: Workspace) -> float:
        burst = max(workspace.burst, workspace.rate * _LEAST_BURST)
        return burst * self._share * _USABLE_SHARE
