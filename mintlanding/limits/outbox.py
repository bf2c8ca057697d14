"""Batches of messages for other instances, and removal of duplicates."""

from dataclasses import dataclass, field

from mintlanding.limits.messages import Envelope, LimitsMessage, Send

_REMEMBERED_IDS = 1024


@dataclass(slots=True)
class _Peer:
    """The latest incarnation of a peer and the batch ids seen from it."""

    incarnation: int = 0
    highest: int = 0
    seen: set[int] = field(default_factory=set)


@dataclass(slots=True)
class Outbox:
    """Queues of messages, sent in numbered batches."""

    incarnation: int
    _queues: dict[str, list[LimitsMessage]] = field(default_factory=dict)
    _due: dict[str, float] = field(default_factory=dict)
    _peers: dict[str, _Peer] = field(default_factory=dict)
    _last_id: int = 0

    def put(self, instance: str, message: LimitsMessage, due: float) -> None:
        """Queue a message; it is sent at `due` or with an earlier batch."""
        self._queues.setdefault(instance, []).append(message)
        self._due[instance] = min(due, self._due.get(instance, due))

    def flush(self, now: float) -> list[Send]:
        """Remove and return the batches that are due."""
        ready = [name for name, due in self._due.items() if due <= now]
        return [self._build_batch(name) for name in ready]

    def next_due(self) -> float:
        """Return when the next batch is due."""
        return min(self._due.values(), default=float('inf'))

    def accept(self, envelope: Envelope, sender: str) -> bool:
        """Return whether a batch is new and addressed to this incarnation."""
        if envelope.receiver_incarnation not in {0, self.incarnation}:
            return False
        peer = self._peers.setdefault(sender, _Peer())
        if envelope.incarnation < peer.incarnation:
            return False
        if envelope.incarnation > peer.incarnation:
            peer = _Peer(envelope.incarnation)
            self._peers[sender] = peer
        number = envelope.message_id
        if number in peer.seen or number <= peer.highest - _REMEMBERED_IDS:
            return False
        self._remember(peer, number)
        return True

    def incarnation_of(self, instance: str) -> int:
        """Return the latest incarnation seen of an instance; 0 if none."""
        peer = self._peers.get(instance)
        return peer.incarnation if peer else 0

    def _build_batch(self, instance: str) -> Send:
        self._last_id += 1
        self._due.pop(instance)
        batch = Envelope(
            self.incarnation,
            self._last_id,
            self.incarnation_of(instance),
            tuple(self._queues.pop(instance)),
        )
        return Send(instance, batch)

    def _remember(self, peer: _Peer, number: int) -> None:
        peer.seen.add(number)
        peer.highest = max(peer.highest, number)
        if len(peer.seen) > 2 * _REMEMBERED_IDS:
            floor = peer.highest - _REMEMBERED_IDS
            peer.seen = {each for each in peer.seen if each > floor}
