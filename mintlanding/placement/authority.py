"""What the lease on a worker lets its steward do."""

import math

from transitions import Machine

from mintlanding.placement.models import LeaseState, StewardOptions, WorkerSpec

_State = LeaseState
_TRANSITIONS = (
    {'trigger': 'gather', 'source': '*', 'dest': _State.gathering},
    {'trigger': 'hold', 'source': _State.gathering, 'dest': _State.held},
    {
        'trigger': 'lapse',
        'source': (_State.gathering, _State.held),
        'dest': _State.lapsed,
    },
    {'trigger': 'extend', 'source': _State.lapsed, 'dest': _State.gathering},
    {'trigger': 'retire', 'source': '*', 'dest': _State.superseded},
)


class Authority:
    """Life cycle of the lease, and what is known since it was taken.

    The slots are known once a report cannot show the time before the
    takeover. The pins are known once all entries of the zone have told
    theirs, or their longest life is over, and what earlier grants began
    shows in the engine's report.
    """

    state: LeaseState

    def __init__(self, spec: WorkerSpec, options: StewardOptions) -> None:
        """Start without a lease."""
        self.fencing = 0
        self._checks_fencing = spec.checks_fencing
        self._options = options
        self.since = math.inf
        self._confirmed = math.inf
        self._until = math.inf
        self._reported = -math.inf
        self._has_pins = False
        self._machine = Machine(
            self,
            states=_State,
            transitions=_TRANSITIONS,
            initial=_State.none,
            auto_transitions=False,
        )

    def take_over(self, fencing: int, now: float, until: float) -> bool:
        """Begin to gather under a new number; refuse an old one."""
        if fencing <= self.fencing:
            return False
        self.fencing = fencing
        self.since = now
        self._confirmed = math.inf if self._checks_fencing else now
        self._until = until
        self._reported = -math.inf
        self._has_pins = False
        self._trigger('gather')
        return True

    def renew(self, until: float, now: float) -> None:
        """Extend the lease under its number."""
        self._until = until
        self._trigger('extend')
        self.advance(now)

    def lose(self) -> None:
        """Note that the lease has lapsed."""
        self._trigger('lapse')

    def supersede(self) -> None:
        """Note that a newer steward exists."""
        self._trigger('retire')

    def confirm(self, now: float) -> None:
        """Note that the engine knows the number."""
        self._confirmed = min(self._confirmed, now)

    def report(self, now: float) -> None:
        """Note that a report of the engine has come."""
        self._reported = max(self._reported, now)

    def complete_pins(self) -> None:
        """Note that all entries of the zone have told their pins."""
        self._has_pins = True

    def advance(self, now: float) -> None:
        """Move on with time: the lease ends, or the pins become known."""
        if now >= self._until:
            self._trigger('lapse')
        if self.state is _State.gathering and self._knows_pins(now):
            self._trigger('hold')

    @property
    def needs_fence(self) -> bool:
        """Tell whether the engine has yet to learn the number."""
        return self.is_active and self._confirmed == math.inf

    @property
    def is_active(self) -> bool:
        """Tell whether requests may be queued here."""
        return self.state not in {_State.none, _State.superseded}

    @property
    def knows_slots(self) -> bool:
        """Tell whether the resident set is of after the takeover."""
        return self._reported >= self._confirmed + self._options.report_lag

    def may_load(self) -> bool:
        """Tell whether grants and loads into free slots are allowed."""
        return self.is_active and self.knows_slots

    def may_evict(self, now: float) -> bool:
        """Tell whether evictions are allowed."""
        if self.state is _State.lapsed and not self._checks_fencing:
            return False
        return self.may_load() and self._knows_pins(now)

    def may_evict_later(self) -> bool:
        """Tell whether evictions are allowed now or once pins are known."""
        return self.state is not _State.lapsed or self._checks_fencing

    def _knows_pins(self, now: float) -> bool:
        options = self._options
        settled = self._confirmed + options.report_lag + options.start_within
        is_over = now >= self.since + options.reservation_life
        return self._reported >= settled and (self._has_pins or is_over)

    def _trigger(self, name: str) -> None:
        if name not in self._machine.get_triggers(self.state):
            return
        self._machine.events[name].trigger(self)
