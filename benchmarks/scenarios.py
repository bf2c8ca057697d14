"""Sites, scenarios and policies of the placement measurement."""

from dataclasses import dataclass

from mintlanding.placement.models import StewardOptions


@dataclass(frozen=True)
class Site:
    """Sizes and traffic of one installation.

    `shares` are the parts of the traffic by workspace.
    """

    name: str
    workers: int
    loads_per_second: float
    requests_per_second: float
    entries: int = 7
    zones: int = 3
    adapters: int = 3000
    zipf: float = 1.0
    slots: int = 24
    batch_limit: int = 16
    mean_tokens: int = 120
    wait: float = 10
    shares: tuple[float, ...] = (0.45, 0.35, 0.08, 0.07, 0.05)
    summaries: int = 0
    summary_tokens: int = 250
    summary_deadline: float = 0


@dataclass(frozen=True)
class Scenario:
    """The traffic and the fault of a run."""

    name: str
    flood: float = 1
    shift: bool = False
    cold: bool = False
    outage: bool = False
    cut: bool = False
    summaries: bool = False
    load: float = 1


@dataclass(frozen=True)
class Policy:
    """The policies for choosing a worker, queueing and eviction."""

    name: str
    choice: str
    queue: str
    eviction: str
    prefetch: bool = False

    def options(self):
        ratio = 4 if self.prefetch else float('inf')
        return StewardOptions(
            queue=self.queue,
            eviction=self.eviction,
            prefetch_ratio=ratio,
        )


AZULEJO = Site('azulejo', 6, 8, 13)
KETTLE_VALLEY = Site(
    'kettle-valley',
    9,
    6,
    11,
    summaries=2500,
    summary_deadline=270,
)
SITES = (AZULEJO, KETTLE_VALLEY)

STEADY = Scenario('steady')
LIGHT = Scenario('light', load=0.6)
SCENARIOS = (
    LIGHT,
    STEADY,
    Scenario('shift', shift=True),
    Scenario('cold worker', cold=True),
    Scenario('flood x5', flood=5),
    Scenario('kv outage', outage=True),
    Scenario('zone cut', cut=True),
)
NIGHT = Scenario('night', summaries=True, load=0.3)

POLICIES = (
    Policy('mintlanding', 'placed', 'weighted', 'popularity', prefetch=True),
    Policy('round-robin lru fifo', 'round-robin', 'fifo', 'lru'),
    Policy('least-loaded lru fifo', 'least-loaded', 'fifo', 'lru'),
    Policy('least-loaded lru rr', 'least-loaded', 'round-robin', 'lru'),
)
