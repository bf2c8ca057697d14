"""Progress of this instance and its peers in each other's journals."""

from dataclasses import dataclass

from mintlanding.membership.messages import Heartbeat


@dataclass(slots=True)
class Link:
    """Journal numbers, valid for one incarnation of the peer.

    `acknowledged` counts the local journal, `received` the peer's.
    """

    incarnation: int
    acknowledged: int = 0
    received: int = 0


class Links:
    """One link for each peer; a restart of the peer resets it."""

    def __init__(self, incarnation: int) -> None:
        """Start without links.

        Acknowledgements for another incarnation than this one are ignored.
        """
        self._incarnation = incarnation
        self._links: dict[str, Link] = {}

    def get(self, instance: str) -> Link:
        """Return the link to a peer; the numbers of an unknown one are 0."""
        return self._links.get(instance, Link(0))

    def apply_heartbeat(self, message: Heartbeat) -> None:
        """Update the journal numbers from a heartbeat that has been applied.

        Changes that were sent to an earlier incarnation of this instance start
        above the received number and are not acknowledged.
        """
        member = message.sender.member
        link = self._links.get(member.instance)
        if link is None or link.incarnation != member.incarnation:
            link = Link(member.incarnation)
            self._links[member.instance] = link
        if message.journal_after <= link.received:
            link.received = max(link.received, message.journal)
        if message.acknowledged_incarnation == self._incarnation:
            # It goes back when the peer has forgotten this instance; one that
            # comes late only repeats changes.
            link.acknowledged = message.acknowledged

    def forget(self, instance: str) -> None:
        """Remove a peer that is gone."""
        self._links.pop(instance, None)
