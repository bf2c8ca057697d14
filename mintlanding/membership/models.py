"""What is known of the other instances."""

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

from mintlanding.placement.messages import WorkerDigest

if TYPE_CHECKING:
    from mintlanding.membership.messages import Heartbeat


LOAD_BYTES = 32
_BURST = 4


class MemberState(StrEnum):
    """How an instance looks from here."""

    live = 'live'
    leaving = 'leaving'
    silent = 'silent'
    gone = 'gone'


class Member(msgspec.Struct, frozen=True, omit_defaults=True):
    """An instance: its agent's peer address, its zone and its incarnation.

    An instance that restarts has a new incarnation, so that nothing which it
    held before is taken for its own.
    """

    instance: str
    zone: str
    region: str
    address: str
    incarnation: int = 0
    state: MemberState = MemberState.live


@dataclass(frozen=True, slots=True)
class MembershipOptions:
    """Periods and bounds on who is called and how much is sent.

    `interval` between heartbeats and `forget_after` are in seconds. A member
    is silent after `silent_intervals` without contact, and gone after
    `gone_intervals` during which two doubt it.

    A region of at most `mesh_limit` instances is a full mesh. In a larger one
    an instance calls `fanout` instances of its zone, and `gateways` instances
    of each zone call the other zones. `digest_rate` is the number of bytes a
    second that loads of workers may take on one link, `record_limit` the
    number of member records in one message.
    """

    interval: float = 1
    silent_intervals: float = 3.5
    gone_intervals: float = 10
    forget_after: float = 3600
    mesh_limit: int = 12
    fanout: int = 2
    gateways: int = 2
    digest_rate: int = 1200
    record_limit: int = 64
    seeds: tuple[str, ...] = ()

    @property
    def silent_after(self) -> float:
        """Return the seconds without contact that make a member silent."""
        return self.silent_intervals * self.interval

    @property
    def gone_after(self) -> float:
        """Return the seconds of doubt that make a member gone."""
        return self.gone_intervals * self.interval

    @property
    def loads_in_message(self) -> int:
        """Return how many loads one message may carry.

        This is more than what `load_period` lets arise between two messages,
        so that no change waits behind later ones for long.
        """
        usual = self.digest_rate * self.interval / LOAD_BYTES
        return max(_BURST, round(_BURST * usual))

    def load_period(self, workers: int) -> float:
        """Return how often the load of one of so many workers is told."""
        return max(self.interval, workers * LOAD_BYTES / self.digest_rate)


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Call HEARTBEAT at an address; `instance` is empty for a seed."""

    address: str
    message: 'Heartbeat'
    instance: str = ''


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member is new or has another state, address or incarnation."""

    member: Member


@dataclass(frozen=True, slots=True)
class DigestChanged:
    """A newer summary of a worker has arrived."""

    digest: WorkerDigest


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another process has joined as this instance with a later incarnation."""

    incarnation: int


MembershipAction = SendHeartbeat | MemberChanged | DigestChanged | Superseded
