"""Settings of the process of one instance; times in seconds."""

from dataclasses import dataclass, field

from mintlanding.byte_budget.models import ProcessLimits
from mintlanding.capacity.options import CapacityOptions
from mintlanding.http1.models import ClientOptions
from mintlanding.quarantine.ledger import QuarantineOptions
from mintlanding.quarantine.request_ledger import RequestQuarantineOptions
from mintlanding.residency.authority import AuthorityOptions
from mintlanding.residency.models import StewardOptions
from mintlanding.residency.worker_choice import ChoiceOptions
from mintlanding.streams.origins import StreamOptions
from mintlanding.target_speed.options import TargetSpeedOptions
from mintlanding.traffic.homes import RegionMap
from mintlanding.traffic.retries import FleetRetryOptions

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class InstanceFacts:
    """Name, zone and addresses of this instance.

    Members that do not reach a target ask for a path at `path_port`; 0 for
    none.
    """

    instance: str
    zone: str
    host: str
    front: Address
    ready: Address
    peer_port: int
    metrics_port: int
    link_mbps: float = 0
    path_port: int = 0
    regions: RegionMap = RegionMap()


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the users of the system have set.

    In any second a cold target gets at most its rate x `cold_excess` +
    `cold_slack` requests.
    """

    contact: float = 3
    drain: float = 2
    grace: float = 8
    apply: float = 2
    min_order_gap: float = 3
    version: float = 5
    shortest_lease: float = 1
    cold_excess: float = 1.5
    cold_slack: float = 5


@dataclass(frozen=True, slots=True)
class RelayOptions:
    """How requests are routed to targets.

    `max_wait_share`: share of the objective for which a request waits for an
    admission. `reroute_wait_share`: share of that wait while other workers can
    still be tried. `steward_timeout`: time after which a steward that has not
    replied is skipped. `start_window`: time after the start of the process in
    which requests wait for the other instances to start, several times what
    all of them need. `response_margin`: a response is abandoned this long
    before the caller's deadline. `first_event_factor`: a resumable stream
    without an event for this many objectives is restarted at another target.
    `retry_after`: default delay after which a caller should retry;
    `isolated_retry_after`: the same from an instance that stops or reaches at
    most half of the members, since another one can serve at once.
    `held_bytes`: a response is held up to this size, so that it can still be
    replaced by that of a retry; the rest is passed on as it arrives.
    `held_bytes_short`: the same while memory is short, `held_bytes_exceeded`
    while the budget is exceeded: what is held back cannot be given up.
    """

    max_wait_share: float = 0.9
    reroute_wait_share: float = 0.5
    steward_timeout: float = 0.25
    start_window: float = 1.2
    response_margin: float = 0.03
    first_event_factor: float = 1.5
    retry_after: float = 0.5
    isolated_retry_after: float = 0.06
    held_bytes: int = 1 << 20
    held_bytes_short: int = 1 << 16
    held_bytes_exceeded: int = 1 << 12


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """How instances exchange statuses and follow the store.

    `status_interval`: time between two statuses to each member.
    `member_timeout`: time without a status after which a member counts as
    unreachable. `zone_timeout`: the same for all members of a zone together,
    two and a half rounds of hubs. `watch_wait`: time for which the store may
    hold a watch call open, short enough that the members which depend on a
    reader notice its failure within `reader_timeout` and read for themselves;
    that is below the users' bound on configurations.
    `watch_pause`: time in which changes are collected before the next watch
    call, well below the users' bounds on configurations and leaving targets.
    `lapse_grace`: time after the return of the store for which targets are
    kept whose entries lapsed in its outage, the users' bound for their return.
    `renew_interval`: time between renewals of the lease, which bound the
    authority of a holder; `idle_renew_interval`: the same for an instance
    without workers, a little less than half the lease. `hub_threshold`:
    number of other members from which statuses go through a hub in each zone.
    A hub sends every `hub_interval` and is replaced after `hub_timeout`.
    """

    status_interval: float = 0.25
    member_timeout: float = 0.8
    zone_timeout: float = 1.0
    watch_wait: float = 0.5
    watch_pause: float = 0.5
    reader_timeout: float = 1.3
    lapse_grace: float = 2.2
    renew_interval: float = 0.6
    idle_renew_interval: float = 0.9
    hub_threshold: int = 17
    hub_interval: float = 0.4
    hub_timeout: float = 1.6


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """All settings of one instance."""

    facts: InstanceFacts
    bounds: Bounds = Bounds()
    process: ProcessLimits = ProcessLimits()
    retries: FleetRetryOptions = FleetRetryOptions()
    relay: RelayOptions = RelayOptions()
    fleet: FleetOptions = FleetOptions()
    client: ClientOptions = ClientOptions()
    steward: StewardOptions = StewardOptions()
    choice: ChoiceOptions = ChoiceOptions()
    authority: AuthorityOptions = field(default_factory=AuthorityOptions)
    streams: StreamOptions = StreamOptions()
    quarantine: QuarantineOptions = QuarantineOptions()
    request_quarantine: RequestQuarantineOptions = RequestQuarantineOptions()
    capacity: CapacityOptions = CapacityOptions()
    target_speed: TargetSpeedOptions = TargetSpeedOptions()
