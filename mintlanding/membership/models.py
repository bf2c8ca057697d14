"""Members, their states, options and the actions of the node."""

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

from mintlanding.placement.messages import WorkerDigest

if TYPE_CHECKING:
    from mintlanding.membership.messages import Heartbeat


LOAD_BYTES = 32
_LOAD_BURST = 4


class MemberState(StrEnum):
    """State of a member, as seen by one instance."""

    live = 'live'
    leaving = 'leaving'
    silent = 'silent'
    gone = 'gone'


class Member(msgspec.Struct, frozen=True, omit_defaults=True):
    """An instance: its agent's peer address, its zone and its incarnation.

    A restart gives a new incarnation, so that the instance is not assumed to
    own what an earlier incarnation did.
    """

    instance: str
    zone: str
    region: str
    address: str
    incarnation: int = 0
    state: MemberState = MemberState.live


@dataclass(frozen=True, slots=True)
class MembershipOptions:
    """Intervals and limits of heartbeats.

    `interval` between heartbeats and `forget_after` are in seconds. A member
    is silent after `silent_intervals` without contact, and gone after two
    instances have suspected it for `gone_intervals`.

    A region of at most `mesh_limit` instances is a full mesh. In a larger one
    an instance calls `fanout` instances of its zone, and `gateways` instances
    of each zone call the other zones. `digest_rate` is the bandwidth for loads
    of workers on one link, in bytes per second; `record_limit` is the maximum
    number of member records in one message. `seeds` are addresses to call
    before other members are known.
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
        """Return the seconds of suspicion that make a member gone."""
        return self.gone_intervals * self.interval

    @property
    def loads_in_message(self) -> int:
        """Return how many loads one message may carry.

        This exceeds the number of loads that `load_period` allows between two
        messages, so that no load is delayed for long by newer ones.
        """
        usual = self.digest_rate * self.interval / LOAD_BYTES
        return max(_LOAD_BURST, round(_LOAD_BURST * usual))

    def load_period(self, workers: int) -> float:
        """Return the seconds between two loads of a worker, of `workers`."""
        return max(self.interval, workers * LOAD_BYTES / self.digest_rate)


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send a heartbeat to an address; `instance` is empty for a seed."""

    address: str
    message: 'Heartbeat'
    instance: str = ''


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member is new or has another state, address or incarnation."""

    member: Member


@dataclass(frozen=True, slots=True)
class DigestChanged:
    """A newer digest of a worker has arrived."""

    digest: WorkerDigest


@dataclass(frozen=True, slots=True)
class Superseded:
    """A process with a later incarnation has joined as this instance."""

    incarnation: int


MembershipAction = SendHeartbeat | MemberChanged | DigestChanged | Superseded
