"""Token bucket of one workspace at one instance.

Tokens of grants in flight to another instance count against the capacity, so
that the fleet never holds more than the burst. A refund returns only the
tokens that the bucket would still hold if the request had never been charged,
so that a late refund cannot raise a later burst.
"""

from dataclasses import dataclass, field

_MAX_MARKS = 64


@dataclass(slots=True)
class Charge:
    """Tokens charged for a request; the marks after `mark` cap its refund."""

    tokens: float
    mark: int
    at: float


@dataclass(slots=True)
class _HeadroomMark:
    """Free capacity just before it increased."""

    sequence: int
    headroom: float


@dataclass(frozen=True, slots=True)
class Transfer:
    """Available tokens and tokens in flight that move with seats."""

    tokens: float = 0
    in_flight: float = 0


@dataclass(slots=True)
class Bucket:
    """Tokens that accrue at `rate` up to `capacity`; starts empty."""

    now: float
    rate: float = 0
    capacity: float = 0
    level: float = 0
    in_flight: float = 0
    _pending_grants: dict[str, tuple[float, float]] = field(
        default_factory=dict
    )
    _charges: dict[str, Charge] = field(default_factory=dict)
    _marks: list[_HeadroomMark] = field(default_factory=list)
    _sequence: int = 0

    @property
    def usable_capacity(self) -> float:
        """Return the capacity less the tokens in flight."""
        return self.capacity - self.in_flight

    def advance(self, now: float) -> None:
        """Accrue tokens until `now`; end each pending grant when it is due."""
        while self._pending_grants:
            name, (tokens, until) = next(iter(self._pending_grants.items()))
            if until > now:
                break
            self._accrue(until)
            self._remove_in_flight(name, tokens)
        self._accrue(now)

    def resize(self, rate: float, capacity: float, now: float) -> None:
        """Change rate and capacity at `now`; drop excess tokens."""
        self.advance(now)
        self._mark_headroom()
        self.rate = rate
        self.capacity = capacity
        self.advance(now)
        self._mark_headroom()

    def add(self, transfer: Transfer, now: float, until: float) -> None:
        """Add the tokens of seats that the capacity already includes."""
        self.advance(now)
        if transfer.in_flight > 0:
            self._sequence += 1
            self._add_in_flight(
                f'seats/{self._sequence}', transfer.in_flight, until
            )
        self.level += max(
            0, min(transfer.tokens, self.usable_capacity - self.level)
        )

    def take_fraction(self, fraction: float, now: float) -> Transfer:
        """Remove a fraction of the tokens, available and in flight."""
        self.advance(now)
        self._mark_headroom()
        transfer = Transfer(
            max(self.level, 0) * fraction, self.in_flight * fraction
        )
        self.level -= transfer.tokens
        self._pending_grants = {
            name: (tokens * (1 - fraction), until)
            for name, (tokens, until) in self._pending_grants.items()
        }
        self.in_flight -= transfer.in_flight
        return transfer

    def take(
        self,
        request_id: str,
        tokens: float,
        now: float,
        until: float | None = None,
    ) -> bool:
        """Charge a request if there are enough tokens; return whether it is.

        `until` is when a grant sent to another instance counts as delivered.
        """
        self.advance(now)
        if not 0 <= tokens <= self.level:
            return False
        self._mark_headroom()
        self.level -= tokens
        self._charges[request_id] = Charge(tokens, self._sequence, now)
        if until is not None:
            self._add_in_flight(request_id, tokens, until)
        return True

    def confirm_delivery(self, request_id: str, now: float) -> None:
        """Record that a grant has been delivered."""
        self.advance(now)
        in_flight = self._pending_grants.get(request_id)
        if in_flight is not None:
            self._remove_in_flight(request_id, in_flight[0])

    def settle(self, request_id: str, used: float, now: float) -> None:
        """Refund the unused tokens of a request, or charge the excess."""
        self.confirm_delivery(request_id, now)
        charge = self._charges.pop(request_id, None)
        if charge is None:
            return
        used = max(0, used)
        if used > charge.tokens:
            self._mark_headroom()
            self.level -= used - charge.tokens
            return
        self._refund(charge.tokens - used, charge.mark)

    def time_until(self, tokens: float, now: float) -> float | None:
        """Return the seconds until the tokens are available; None if never."""
        self.advance(now)
        if tokens > self.capacity or self.rate <= 0:
            return None
        return max(0, (tokens - self.level) / self.rate)

    def forget_charges(self, before: float) -> None:
        """Drop charges made before `before` that were never settled."""
        while self._charges:
            name, charge = next(iter(self._charges.items()))
            if charge.at >= before:
                return
            self._charges.pop(name)

    def is_full_within(self, seconds: float) -> bool:
        """Return whether the bucket overflows within `seconds`."""
        return self.level + seconds * self.rate > self.usable_capacity

    def has_charge(self, request_id: str) -> bool:
        """Return whether the request is charged here and not yet settled."""
        return request_id in self._charges

    def _accrue(self, now: float) -> None:
        if now > self.now:
            self.level += (now - self.now) * self.rate
            self.now = now
        self.level = min(self.level, max(self.usable_capacity, 0))

    def _add_in_flight(self, name: str, tokens: float, until: float) -> None:
        self._pending_grants[name] = (tokens, until)
        self.in_flight += tokens

    def _remove_in_flight(self, name: str, tokens: float) -> None:
        self._mark_headroom()
        self._pending_grants.pop(name)
        self.in_flight -= tokens
        if not self._pending_grants:
            self.in_flight = 0
        charge = self._charges.get(name)
        if charge is not None:
            charge.mark = self._sequence

    def _refund(self, tokens: float, sequence: int) -> None:
        """Add the tokens that would remain if they had never been charged."""
        later = [each for each in self._marks if each.sequence > sequence]
        earlier = self._marks[: len(self._marks) - len(later)]
        for mark in later:
            tokens = max(0, min(tokens, mark.headroom))
            mark.headroom -= tokens
        if later:
            lowest = later[0].headroom
            earlier = [each for each in earlier if each.headroom < lowest]
        self._marks = earlier + later
        self.level += max(0, min(tokens, self.usable_capacity - self.level))

    def _mark_headroom(self) -> None:
        """Record the free capacity before it increases.

        Marks with more headroom than a later one are redundant. Beyond
        `_MAX_MARKS` the oldest two are merged.
        """
        headroom = self.usable_capacity - self.level
        self._sequence += 1
        marks = self._marks
        while marks and marks[-1].headroom >= headroom:
            marks.pop()
        marks.append(_HeadroomMark(self._sequence, headroom))
        if len(marks) > _MAX_MARKS:
            marks[1].headroom = marks[0].headroom
            marks.pop(0)
