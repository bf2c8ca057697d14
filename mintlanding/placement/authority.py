"""What the lease on a worker permits its steward to do."""

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
    """State of the lease, and what is known since it was acquired.

    The slots are known after a report that cannot show the time before the
    takeover. The pins are known after all entries of the zone have reported
    theirs, or the reservations have expired, and once a report shows the
    requests that started under earlier grants.
    """

    state: LeaseState

    def __init__(self, spec: WorkerSpec, options: StewardOptions) -> None:
        """Start without a lease."""
        self.fencing = 0
        self._checks_fencing = spec.checks_fencing
        self._options = options
        self.since = math.inf
        self._token_accepted_at = math.inf
        self._lease_until = math.inf
        self._reported_at = -math.inf
        self._has_pins = False
        self._machine = Machine(
            self,
            states=_State,
            transitions=_TRANSITIONS,
            initial=_State.none,
            auto_transitions=False,
        )

    def take_over(self, fencing: int, now: float, until: float) -> bool:
        """Start gathering under a new fencing token; reject an older one."""
        if fencing <= self.fencing:
            return False
        self.fencing = fencing
        self.since = now
        self._token_accepted_at = math.inf if self._checks_fencing else now
        self._lease_until = until
        self._reported_at = -math.inf
        self._has_pins = False
        self._trigger('gather')
        return True

    def renew(self, until: float, now: float) -> None:
        """Extend the lease under its fencing token."""
        self._lease_until = until
        self._trigger('extend')
        self.advance(now)

    def lose(self) -> None:
        """Record that the lease has lapsed."""
        self._trigger('lapse')

    def supersede(self) -> None:
        """Record that a newer steward exists."""
        self._trigger('retire')

    def confirm(self, now: float) -> None:
        """Record that the engine has accepted the fencing token."""
        self._token_accepted_at = min(self._token_accepted_at, now)

    def report(self, now: float) -> None:
        """Record the arrival of a report of the engine."""
        self._reported_at = max(self._reported_at, now)

    def complete_pins(self) -> None:
        """Record that all entries of the zone have reported their pins."""
        self._has_pins = True

    def advance(self, now: float) -> None:
        """Update the state: the lease ends, or the pins become known."""
        if now >= self._lease_until:
            self._trigger('lapse')
        if self.state is _State.gathering and self._knows_pins(now):
            self._trigger('hold')

    @property
    def needs_fence(self) -> bool:
        """Return whether the engine has yet to accept the fencing token."""
        return self.is_active and self._token_accepted_at == math.inf

    @property
    def is_active(self) -> bool:
        """Return whether requests may be queued here."""
        return self.state not in {_State.none, _State.superseded}

    @property
    def knows_slots(self) -> bool:
        """Return whether a report shows the time after the takeover."""
        return (
            self._reported_at
            >= self._token_accepted_at + self._options.report_lag
        )

    def may_load(self) -> bool:
        """Return whether grants and loads into free slots are allowed."""
        return self.is_active and self.knows_slots

    def may_evict(self, now: float) -> bool:
        """Return whether evictions are allowed."""
        if self.state is _State.lapsed and not self._checks_fencing:
            return False
        return self.may_load() and self._knows_pins(now)

    def may_evict_later(self) -> bool:
        """Return whether evictions are allowed now or once pins are known."""
        return self.state is not _State.lapsed or self._checks_fencing

    def _knows_pins(self, now: float) -> bool:
        options = self._options
        settled_at = (
            self._token_accepted_at + options.report_lag + options.start_within
        )
        is_expired = now >= self.since + options.reservation_lifetime
        return self._reported_at >= settled_at and (
            self._has_pins or is_expired
        )

    def _trigger(self, name: str) -> None:
        if name not in self._machine.get_triggers(self.state):
            return
        self._machine.events[name].trigger(self)
