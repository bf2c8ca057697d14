"""Loans of one instance in both directions, and who announces what."""

from dataclasses import dataclass, field
from typing import Self

from mintlanding.limits.borrowing import Borrowing
from mintlanding.limits.lending import Lending
from mintlanding.limits.messages import Announce, Recall
from mintlanding.limits.state import Shares


@dataclass(slots=True)
class Loans:
    """Move seats to whom the view names as their holder."""

    shares: Shares
    borrowing: Borrowing
    lending: Lending
    owners: set[str] = field(default_factory=set)
    stamps: dict[str, float] = field(default_factory=dict)
    used: dict[int, float] = field(default_factory=dict)

    @classmethod
    def from_shares(cls, shares: Shares) -> Self:
        """Begin without loans."""
        return cls(shares, Borrowing(shares), Lending(shares))

    def announce(self, now: float) -> None:
        """Tell the neighbours which seats are in use here."""
        message = Announce(
            tuple(sorted(self.shares.owned)),
            now,
            self.shares.is_leaving,
        )
        for name in self.shares.view.neighbours():
            self.shares.outbox.put(name, message, now)

    def hear(self, message: Announce, sender: str, now: float) -> None:
        """Note that the sender may lend, or no longer."""
        self.stamps[sender] = message.stamp
        if message.is_leaving:
            self.stamps.pop(sender)
            if self.shares.view.exclude(
                sender, self.shares.outbox.incarnation_of(sender)
            ):
                self.follow_view(now)
        for seat in message.seats:
            self.used[seat] = now
        if not message.seats:
            self.owners.discard(sender)
            return
        is_new = sender not in self.owners
        self.owners.add(sender)
        if is_new and not self.shares.is_leaving:
            self.borrowing.ask((sender,), now)

    def ask_all(self, now: float) -> None:
        """Renew the loans and ask for new ones."""
        if not self.shares.is_leaving:
            self.borrowing.ask(self._sources(), now)

    def follow_view(self, now: float) -> None:
        """Move what another should hold by the view from here."""
        self.shares.view.moved_at = now
        self.reindex()
        self.lending.recall_strays(now)
        others = [
            workspace
            for workspace in self.shares.pools
            if not self.shares.view.is_head(workspace)
        ]
        self.borrowing.give_back(others, now)
        self.ask_all(now)
        self.lending.push_all(now)

    def return_recalled(
        self,
        message: Recall,
        sender: str,
        now: float,
    ) -> None:
        """Give back what a lender wants; recall first what is lent on."""
        self.borrowing.give_back(message.workspaces, now, sender)
        lent_on = [
            workspace
            for workspace in message.workspaces
            if workspace in self.shares.pools
            and self.shares.pools[workspace].lends_on(sender)
        ]
        self.lending.recall(lent_on, now)

    def reindex(self) -> None:
        """Follow a change of the view or of the workspaces."""
        self.borrowing.reindex()
        self.lending.reindex()

    def forget(self) -> None:
        """Drop the seats, as after a pause."""
        self.shares.owned.clear()
        self.owners.clear()

    def _sources(self) -> list[str]:
        names = self.borrowing.lenders()
        if any(self.shares.view.is_head(each) for each in self.shares.pools):
            names.update(self.owners & set(self.shares.view.neighbours()))
        for workspace in self.shares.pools:
            names.update(self.shares.view.other_heads(workspace))
        return sorted(names & self.shares.view.live)
