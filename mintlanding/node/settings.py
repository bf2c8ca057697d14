"""What the process of one instance is told; times in seconds."""

from dataclasses import dataclass, field

from mintlanding.http1.models import ClientOptions
from mintlanding.residency.authority import AuthorityOptions
from mintlanding.residency.models import StewardOptions
from mintlanding.residency.worker_choice import ChoiceOptions
from mintlanding.traffic.retries import FleetRetryOptions

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class InstanceFacts:
    """Who this instance is and where it listens."""

    instance: str
    zone: str
    host: str
    front: Address
    ready: Address
    peer_port: int
    metrics_port: int
    link_mbps: float = 0


@dataclass(frozen=True, slots=True)
class Bounds:
    """What the users hold the system to."""

    contact: float = 3
    drain: float = 2
    grace: float = 8
    apply: float = 2
    min_order_gap: float = 3
    version: float = 5
    shortest_lease: float = 1


@dataclass(frozen=True, slots=True)
class RelayOptions:
    """How requests are sent on.

    `max_wait_share` is the share of the objective for which a request waits for
    a place; `reroute_wait_share` the share of that for which it waits while
    other workers are left to ask. `steward_timeout`: a steward that has not
    answered by then is passed over. `start_patience`: for so long after the
    start of its process an instance waits for others to start, too; several
    times what all of them take together. `answer_margin`: an answer is given up
    this long before the caller's deadline. `first_event_factor`: a resumable
    stream without an event after this many objectives is begun elsewhere.
    `retry_after`: when to come back where nothing better is known;
    `isolated_retry_after` to another instance, from one that hears at most half
    of the members.
    """

    max_wait_share: float = 0.9
    reroute_wait_share: float = 0.5
    steward_timeout: float = 0.25
    start_patience: float = 1.2
    answer_margin: float = 0.03
    first_event_factor: float = 1.5
    retry_after: float = 0.5
    isolated_retry_after: float = 0.06


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """How instances keep in touch.

    `status_interval`: between two words to each member. `silence`: a member
    not heard of for longer is taken for cut off. `zone_silence`: a zone of
    which nobody was heard for longer is; two rounds of hubs and a half.
    `watch_wait`: how long the
    store may keep a call waiting; so short that members who get the news
    from a reader know within `news_silence`, below the users' bound on
    configurations, that they have to read for themselves. `watch_pause`: how
    long changes gather before the next call; well below the users' bounds on
    configurations and leaving targets. `lapse_grace`: how long a target whose
    entry lapsed with the store is kept; the users' bound for its return.
    `renew_interval`: between renewals of the lease. `hub_members`: from so
    many other members on the fleet speaks through a hub in each zone, which
    speaks every `hub_interval` and is replaced after `hub_silence`.
    """

    status_interval: float = 0.25
    silence: float = 0.8
    zone_silence: float = 1.0
    watch_wait: float = 0.5
    watch_pause: float = 0.5
    news_silence: float = 1.3
    lapse_grace: float = 2.2
    renew_interval: float = 0.6
    hub_members: int = 17
    hub_interval: float = 0.4
    hub_silence: float = 1.6


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """All settings of one instance."""

    facts: InstanceFacts
    bounds: Bounds = Bounds()
    retries: FleetRetryOptions = FleetRetryOptions()
    relay: RelayOptions = RelayOptions()
    fleet: FleetOptions = FleetOptions()
    client: ClientOptions = ClientOptions()
    steward: StewardOptions = StewardOptions()
    choice: ChoiceOptions = ChoiceOptions()
    authority: AuthorityOptions = field(default_factory=AuthorityOptions)
