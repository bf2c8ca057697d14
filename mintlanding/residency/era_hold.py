"""Hold orders back after the store has returned in another era.

A holder that cannot see the new era may send orders until its lease, or the
consent of members that have not seen it either, has ended. Records of holders
may be lost, so that nothing in the store tells of it. Therefore every instance
pauses its orders, and one without a memory of the time before waits for longer
at workers that have no record.

Times are seconds of a clock that goes on while the machine is suspended.
"""

from mintlanding.residency.authority import AuthorityOptions


class EraHold:
    """From when this instance may send orders in the store's current era."""

    def __init__(self, options: AuthorityOptions) -> None:
        """Start in an era whose beginning nobody has seen."""
        self.orders_from = float('-inf')
        # When the current era began, as far as members know.
        self._began_at = float('-inf')
        self._held_at = float('-inf')
        self._options = options

    @property
    def has_seen_change(self) -> bool:
        """Tell whether some known member has seen the current era begin."""
        return self._began_at > float('-inf')

    def begin(self, now: float) -> None:
        """Record that a new era was seen; orders wait for a renewed lease."""
        self._began_at = now
        self.hold(now)

    def hold(self, now: float) -> None:
        """Send no orders until the store was reached by a later call."""
        self.orders_from = float('inf')
        self._held_at = now

    def release(self, sent_at: float) -> None:
        """Record a renewal of the lease by a call that was sent at a time."""
        if self.orders_from < float('inf') or sent_at < self._held_at:
            return
        options = self._options
        self.orders_from = max(
            self._held_at + options.era_delay, sent_at + options.takeover_delay
        )

    def learn(self, age: float, now: float) -> None:
        """Record for how long the era has lasted at another member.

        Only an instance that has not seen the change itself needs to be told.
        """
        if self.has_seen_change or age <= 0:
            return
        self._began_at = now - age
        self.orders_from = max(
            self.orders_from, self._began_at + self._options.era_delay
        )

    def age(self, now: float) -> float:
        """Return for how long the era has lasted, 0 if it has not changed."""
        return now - self._began_at if self.has_seen_change else 0

    def unrecorded_wait(self, now: float) -> float:
        """Return the wait before the first order to a worker without a record.

        It may have had a holder whose zone has lost the store.
        """
        options = self._options
        last_order = self._began_at + options.zone_hold
        return max(0, last_order + options.handover_delay - now)
