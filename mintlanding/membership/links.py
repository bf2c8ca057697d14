"""How far each peer and this instance have got in each other's journals."""

from dataclasses import dataclass

from mintlanding.membership.messages import Heartbeat


@dataclass(slots=True)
class Link:
    """Journal numbers that hold for one incarnation of the peer."""

    incarnation: int
    acknowledged: int = 0
    received: int = 0


class Links:
    """One link for each peer; a peer that restarts begins anew."""

    def __init__(self, incarnation: int) -> None:
        """Take the own incarnation, which the peers' numbers must name."""
        self._incarnation = incarnation
        self._links: dict[str, Link] = {}

    def get(self, instance: str) -> Link:
        """Return the link to a peer; one never met has numbers of zero."""
        return self._links.get(instance, Link(0))

    def note(self, message: Heartbeat) -> None:
        """Take the numbers of a heartbeat that has been applied.

        One meant for an earlier life of this instance begins above what this
        life has received, and is not acknowledged.
        """
        member = message.sender.member
        link = self._links.get(member.instance)
        if link is None or link.incarnation != member.incarnation:
            link = Link(member.incarnation)
            self._links[member.instance] = link
        if message.journal_after <= link.received:
            link.received = max(link.received, message.journal)
        if message.acknowledged_incarnation == self._incarnation:
            link.acknowledged = max(link.acknowledged, message.acknowledged)

    def forget(self, instance: str) -> None:
        """Drop a peer that is gone."""
        self._links.pop(instance, None)
