"""Small records from seeded patterns of load.

The fleet has two zones with two engines each, sized so that the usual load
takes about three quarters of the engines' time.
"""

import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from mintlanding.core.registry import Registry
from mintlanding.load_replay.models import (
    NO_ADAPTER,
    VERSION,
    EngineRates,
    EngineSpec,
    LoadRecord,
    LoadRequest,
    RecordHeader,
)

_SERVICE = 'engines'
_ZONES = ('z1', 'z2')
_ENGINES = 4
_SLOTS = 12
_ADAPTER_SLOTS = 8
_INSTANCES = 6
_SECONDS = 16
# When the pattern begins and ends; 6.5 s is the longest burst of a deployment.
_FROM = 5.0
_UNTIL = 11.5
# Weights of the workspaces; a few are large.
_WORKSPACES = (6, 4, 3, 2, 1, 1)
_FLOODING = 1
_FLOOD = 7
_BURST = 2.4
# Adapters of which some get most requests, by a Zipf distribution.
_ADAPTERS = 100
# Share of requests for the base model itself.
_BASE_SHARE = 0.1
_SHIFT_SECONDS = 3
_MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class _Class:
    """A class of requests, from deployment B; `rate` is that of the fleet."""

    route: str
    priority: int
    rate: float
    objective_ms: int
    deadline_ms: int
    prompt: int


_LIVE = _Class('live', 0, 56, 815, 5092, 300)
_BROADCAST = _Class('broadcast', 1, 14, 1015, 10_148, 300)
_ARCHIVE = _Class('archive', 2, 2, 2035, 5088, 4500)
_CLASSES = (_LIVE, _BROADCAST, _ARCHIVE)


@dataclass(frozen=True, slots=True)
class Pattern:
    """What differs from the usual load while the pattern lasts.

    `factor` multiplies the rate of a class and a workspace. `shift` is the
    number of seconds after which demand moves to other adapters, 0 for never.
    `lost_zone` loses half of its engines.
    """

    factor: Callable[[_Class, int], float] = lambda kind, workspace: 1
    shift: int = 0
    lost_zone: str = ''
    impatient: tuple[int, ...] = ()


PATTERNS: Registry[Callable[[], Pattern]] = Registry('pattern')


@PATTERNS.register('quiet')
def quiet() -> Pattern:
    """Return the usual load."""
    return Pattern()


@PATTERNS.register('class-burst')
def class_burst() -> Pattern:
    """Return a burst of the most urgent class."""
    return Pattern(lambda kind, workspace: _BURST if kind is _LIVE else 1)


@PATTERNS.register('workspace-flood')
def workspace_flood() -> Pattern:
    """Return one workspace at seven times its rate."""
    return Pattern(
        lambda kind, workspace: _FLOOD if workspace == _FLOODING else 1
    )


@PATTERNS.register('all-callers')
def all_callers() -> Pattern:
    """Return all callers at 2.4 times their rate."""
    return Pattern(lambda kind, workspace: _BURST)


@PATTERNS.register('shifting-demand')
def shifting_demand() -> Pattern:
    """Return demand that moves to other adapters every three seconds."""
    return Pattern(shift=_SHIFT_SECONDS)


@PATTERNS.register('lost-engines')
def lost_engines() -> Pattern:
    """Return the loss of half of a zone's engines."""
    return Pattern(lost_zone=_ZONES[0])


@PATTERNS.register('impatient-callers')
def impatient_callers() -> Pattern:
    """Return all callers at 2.4 times their rate; some retry immediately."""
    return replace(all_callers(), impatient=(_FLOODING,))


def generate(name: str, seed: int) -> LoadRecord:
    """Return the record of a pattern; equal seeds give equal records.

    Raise ConfigurationError if the pattern is unknown.
    """
    pattern = PATTERNS.get(name)()
    rnd = random.Random(f'{name}.{seed}')
    arrivals = itertools.chain.from_iterable(
        _requests(pattern, kind, workspace, rnd)
        for kind in _CLASSES
        for workspace in range(len(_WORKSPACES))
    )
    requests = sorted(arrivals, key=lambda req: req.at_ms)
    first = requests[0].at_ms
    header = RecordHeader(
        VERSION,
        (_SERVICE,),
        tuple(_engine(number, pattern) for number in range(_ENGINES)),
        EngineRates(),
        requests=len(requests),
        instances=_INSTANCES,
        impatient=pattern.impatient,
    )
    shifted = tuple(_shifted(req, first) for req in requests)
    return LoadRecord(header, shifted)


def _engine(number: int, pattern: Pattern) -> EngineSpec:
    zone = _ZONES[number % len(_ZONES)]
    is_lost = zone == pattern.lost_zone and number < len(_ZONES)
    lost_at = round(_FROM * _MILLISECONDS) if is_lost else -1
    return EngineSpec(
        f'e{number}', _SLOTS, _ADAPTER_SLOTS, zone, _SERVICE, lost_at
    )


def _requests(
    pattern: Pattern, kind: _Class, workspace: int, rnd: random.Random
) -> Iterator[LoadRequest]:
    """Generate Poisson arrivals, thinned from the greatest rate."""
    usual = kind.rate * _WORKSPACES[workspace] / sum(_WORKSPACES)
    factor = pattern.factor(kind, workspace)
    now: float = 0
    while True:
        now += rnd.expovariate(usual * factor)
        if now >= _SECONDS:
            return
        is_within = _FROM <= now < _UNTIL
        if not is_within and rnd.random() * factor >= 1:
            continue
        yield LoadRequest(
            round(now * _MILLISECONDS),
            rnd.choice(_ZONES),
            _SERVICE,
            kind.route,
            kind.priority,
            workspace,
            _adapter(pattern, now, rnd),
            round(rnd.uniform(0.5, 1.5) * kind.prompt),
            rnd.randint(20, 40),
            kind.objective_ms,
            kind.deadline_ms,
        )


def _adapter(pattern: Pattern, now: float, rnd: random.Random) -> int:
    """Return the number of an adapter, or none for a share of requests."""
    if rnd.random() < _BASE_SHARE:
        return NO_ADAPTER
    weights = [1 / (rank + 1) for rank in range(_ADAPTERS)]
    rank = rnd.choices(range(_ADAPTERS), weights)[0]
    turn = int(now / pattern.shift) if pattern.shift else 0
    # A prime step moves the most wanted adapters to less wanted ones.
    return (rank + 7 * turn) % _ADAPTERS


def _shifted(req: LoadRequest, first: int) -> LoadRequest:
    return LoadRequest(
        req.at_ms - first,
        req.zone,
        req.service,
        req.route,
        req.priority,
        req.workspace,
        req.adapter,
        req.prompt_tokens,
        req.output_tokens,
        req.objective_ms,
        req.deadline_ms,
    )
