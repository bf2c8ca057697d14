"""Loans of one instance in both directions, and announcements of seats."""

from dataclasses import dataclass, field
from typing import Self

from mintlanding.limits.borrowing import Borrowing
from mintlanding.limits.lending import Lending
from mintlanding.limits.messages import Announce, Recall
from mintlanding.limits.state import LimitsState


@dataclass(slots=True)
class Loans:
    """Move seats to the instances that are their holders.

    `stamps` are the incarnations and timestamps of the latest announcements by
    instance, `used_at` the times at which other instances announced a seat.
    """

    state: LimitsState
    borrowing: Borrowing
    lending: Lending
    seat_owners: set[str] = field(default_factory=set)
    stamps: dict[str, tuple[int, float]] = field(default_factory=dict)
    used_at: dict[int, float] = field(default_factory=dict)

    @classmethod
    def from_state(cls, state: LimitsState) -> Self:
        """Start without loans."""
        return cls(state, Borrowing(state), Lending(state))

    def announce(self, now: float) -> None:
        """Send the neighbours the seats that this instance owns."""
        message = Announce(
            tuple(sorted(self.state.owned)),
            now,
            self.state.is_leaving,
        )
        for name in self.state.view.neighbours():
            self.state.outbox.put(name, message, now)

    def handle_announce(
        self, message: Announce, sender: str, now: float
    ) -> None:
        """Record the sender's seats; request loans from a new lender.

        An announcement that was overtaken by a later one is ignored.
        """
        incarnation = self.state.outbox.incarnation_of(sender)
        stamp = (incarnation, message.stamp)
        if stamp < self.stamps.get(sender, stamp):
            return
        self.stamps[sender] = stamp
        if message.is_leaving:
            if self.state.view.exclude(sender, incarnation):
                self.rebalance(now)
        for seat in message.seats:
            self.used_at[seat] = now
        if not message.seats:
            self.seat_owners.discard(sender)
            return
        is_new = sender not in self.seat_owners
        self.seat_owners.add(sender)
        if is_new and not self.state.is_leaving:
            self.borrowing.request_loans((sender,), now)

    def renew_all(self, now: float) -> None:
        """Request new and renewed loans from all known lenders."""
        if not self.state.is_leaving:
            self.borrowing.request_loans(self._known_lenders(), now)

    def rebalance(self, now: float) -> None:
        """Move seats whose holder has changed."""
        self.state.view.rebalanced_at = now
        self.reindex()
        self.lending.recall_misplaced(now)
        others = [
            workspace
            for workspace in self.state.pools
            if not self.state.view.is_zone_holder(workspace)
        ]
        self.borrowing.return_seats(others, now)
        self.renew_all(now)
        self.lending.lend_free_to_all(now)

    def handle_recall(
        self,
        message: Recall,
        sender: str,
        now: float,
    ) -> None:
        """Return seats that a lender recalls.

        Seats that are lent to others are recalled first.
        """
        self.borrowing.return_seats(message.workspaces, now, sender)
        lent_on = [
            workspace
            for workspace in message.workspaces
            if workspace in self.state.pools
            and self.state.pools[workspace].has_relent(sender)
        ]
        self.lending.recall(lent_on, now)

    def reindex(self) -> None:
        """Rebuild indexes after a change of members or workspaces."""
        self.borrowing.reindex()
        self.lending.reindex()

    def drop_owned(self) -> None:
        """Drop the owned seats, as after a pause."""
        self.state.owned.clear()
        self.seat_owners.clear()

    def _known_lenders(self) -> list[str]:
        names = self.borrowing.lenders()
        if any(
            self.state.view.is_zone_holder(each) for each in self.state.pools
        ):
            names.update(self.seat_owners & set(self.state.view.neighbours()))
        for workspace in self.state.pools:
            names.update(self.state.view.other_zone_holders(workspace))
        return sorted(names & self.state.view.live)
