"""Workspace caps over the whole fleet, kept by counters that members tell.

Load it answers: one workspace sends many times its cap through all
instances at once. Each instance counts what it admitted and tells the others
its counters every fraction of a second; all of them charge the same bucket,
so the excess is what is admitted between two rounds.
"""

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


@dataclass(slots=True)
class _Account:
    """The bucket of one workspace and the counters charged to it."""

    level: float
    at: float
    rate: float = 0
    admitted: float = 0
    counted: dict[str, float] = field(default_factory=dict)


class FleetCaps:
    """Buckets of all workspaces, as this instance sees the fleet.

    An instance that cannot hear `members - heard` of the members uses only
    the share of the rate that falls to those that it hears.
    """

    def __init__(self) -> None:
        """Start without workspaces."""
        self._accounts: dict[str, _Account] = {}
        self._share = 1.0

    def set_reach(self, heard: int, members: int) -> None:
        """Say how many members are heard of, oneself included."""
        self._share = min(1, heard / members) if members else 1

    def admit(self, workspace: Workspace, amount: float, now: float) -> float:
        """Charge a request; return 0, or the seconds until it may come back."""
        if workspace.rate <= 0:
            return 0
        account = self._advance(workspace, now)
        burst = self._burst(workspace)
        if account.level < min(amount, burst):
            missing = min(amount, burst) - account.level
            wait = missing / (workspace.rate * self._share * _USABLE_SHARE)
            return min(max(wait, _MIN_RETRY_AFTER), _MAX_RETRY_AFTER)
        account.level -= amount
        account.admitted += amount
        return 0

    def refund(self, workspace: str, amount: float) -> None:
        """Give back what a request that did not run was charged."""
        account = self._accounts.get(workspace)
        if account is not None:
            account.level += amount
            account.admitted -= amount

    def counters(self) -> dict[str, float]:
        """Return what this instance has admitted since it started."""
        return {
            name: account.admitted for name, account in self._accounts.items()
        }

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

    def charge_member(
        self,
        member: str,
        counters: dict[str, float],
        workspaces: dict[str, Workspace],
        now: float,
    ) -> None:
        """Charge what a member has admitted since it last told."""
        for name, total in counters.items():
            workspace = workspaces.get(name)
            if workspace is None or workspace.rate <= 0:
                continue
            account = self._advance(workspace, now)
            before = account.counted.get(member)
            account.counted[member] = total
            if before is not None:
                account.level -= total - before

    def _advance(self, workspace: Workspace, now: float) -> _Account:
        burst = self._burst(workspace)
        account = self._accounts.get(workspace.name)
        if account is None:
            account = _Account(level=burst, at=now)
            self._accounts[workspace.name] = account
        account.rate = workspace.rate * self._share * _USABLE_SHARE
        account.level += account.rate * max(0, now - account.at)
        account.level = min(account.level, burst)
        account.at = now
        return account

    def _burst(self, workspace: Workspace) -> float:
        return (
            max(workspace.burst, workspace.rate * _LEAST_BURST) * _USABLE_SHARE
        )
