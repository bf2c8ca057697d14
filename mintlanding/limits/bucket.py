"""Token bucket of one workspace at one instance.

Granted tokens that are still on their way to the instance that asked count
against the capacity, so that the fleet never holds more than the burst. A
refund gives back only what a bucket that had not been charged would still
hold, so that a late refund cannot raise a later burst.
"""

from dataclasses import dataclass, field

_MAX_NOTES = 64


@dataclass(slots=True)
class Charge:
    """Tokens of a request; the notes after `note` bound its refund."""

    tokens: float
    note: int
    at: float


@dataclass(slots=True)
class _Note:
    """The free capacity at a moment after which it grew."""

    order: int
    headroom: float


@dataclass(frozen=True, slots=True)
class Transfer:
    """Tokens, and tokens on their way, that move along with seats."""

    tokens: float = 0
    flight: float = 0


@dataclass(slots=True)
class Bucket:
    """Tokens that accrue with `rate` up to `capacity`, from empty."""

    now: float
    rate: float = 0
    capacity: float = 0
    level: float = 0
    flight: float = 0
    _flights: dict[str, tuple[float, float]] = field(default_factory=dict)
    _charges: dict[str, Charge] = field(default_factory=dict)
    _notes: list[_Note] = field(default_factory=list)
    _order: int = 0

    @property
    def room(self) -> float:
        """Return the capacity that tokens on their way leave."""
        return self.capacity - self.flight

    def advance(self, now: float) -> None:
        """Accrue until `now`; flights end at their own time."""
        while self._flights:
            name, (tokens, until) = next(iter(self._flights.items()))
            if until > now:
                break
            self._accrue(until)
            self._land(name, tokens)
        self._accrue(now)

    def resize(self, rate: float, capacity: float, now: float) -> None:
        """Change rate and capacity from `now` on; tokens above are lost."""
        self.advance(now)
        self._note()
        self.rate = rate
        self.capacity = capacity
        self.advance(now)
        self._note()

    def put(self, transfer: Transfer, now: float, until: float) -> None:
        """Add what came with seats that are already counted."""
        self.advance(now)
        if transfer.flight > 0:
            self._order += 1
            self._fly(f'seats/{self._order}', transfer.flight, until)
        self.level += max(0, min(transfer.tokens, self.room - self.level))

    def split(self, part: float, now: float) -> Transfer:
        """Take out a part of the tokens and of those on their way."""
        self.advance(now)
        self._note()
        transfer = Transfer(max(self.level, 0) * part, self.flight * part)
        self.level -= transfer.tokens
        self._flights = {
            name: (tokens * (1 - part), until)
            for name, (tokens, until) in self._flights.items()
        }
        self.flight -= transfer.flight
        return transfer

    def take(
        self,
        request_id: str,
        tokens: float,
        now: float,
        until: float | None = None,
    ) -> bool:
        """Charge a request if there are tokens; `until` if it has to travel."""
        self.advance(now)
        if not 0 <= tokens <= self.level:
            return False
        self._note()
        self.level -= tokens
        self._charges[request_id] = Charge(tokens, self._order, now)
        if until is not None:
            self._fly(request_id, tokens, until)
        return True

    def land(self, request_id: str, now: float) -> None:
        """Note that a grant has arrived."""
        self.advance(now)
        flight = self._flights.get(request_id)
        if flight is not None:
            self._land(request_id, flight[0])

    def settle(self, request_id: str, used: float, now: float) -> None:
        """Refund what a request has not used, or charge what it used more."""
        self.land(request_id, now)
        charge = self._charges.pop(request_id, None)
        if charge is None:
            return
        used = max(0, used)
        if used > charge.tokens:
            self._note()
            self.level -= used - charge.tokens
            return
        self._refund(charge.tokens - used, charge.note)

    def wait(self, tokens: float, now: float) -> float | None:
        """Return the seconds until there are tokens; None if never."""
        self.advance(now)
        if tokens > self.capacity or self.rate <= 0:
            return None
        return max(0, (tokens - self.level) / self.rate)

    def forget(self, before: float) -> None:
        """Drop the records of charges that nobody has settled in time."""
        while self._charges:
            name, charge = next(iter(self._charges.items()))
            if charge.at >= before:
                return
            self._charges.pop(name)

    def is_full_within(self, seconds: float) -> bool:
        """Tell whether tokens would soon be lost for want of room."""
        return self.level + seconds * self.rate > self.room

    def has_charge(self, request_id: str) -> bool:
        """Tell whether the request is charged here and not settled."""
        return request_id in self._charges

    def _accrue(self, now: float) -> None:
        if now > self.now:
            self.level += (now - self.now) * self.rate
            self.now = now
        self.level = min(self.level, max(self.room, 0))

    def _fly(self, name: str, tokens: float, until: float) -> None:
        self._flights[name] = (tokens, until)
        self.flight += tokens

    def _land(self, name: str, tokens: float) -> None:
        self._note()
        self._flights.pop(name)
        self.flight -= tokens
        if not self._flights:
            self.flight = 0
        charge = self._charges.get(name)
        if charge is not None:
            charge.note = self._order

    def _refund(self, tokens: float, order: int) -> None:
        """Add what would be left if it had never been charged."""
        late = [each for each in self._notes if each.order > order]
        early = self._notes[: len(self._notes) - len(late)]
        for note in late:
            tokens = max(0, min(tokens, note.headroom))
            note.headroom -= tokens
        if late:
            lowest = late[0].headroom
            early = [each for each in early if each.headroom < lowest]
        self._notes = early + late
        self.level += max(0, min(tokens, self.room - self.level))

    def _note(self) -> None:
        """Remember the free capacity before it grows."""
        headroom = self.room - self.level
        self._order += 1
        notes = self._notes
        while notes and notes[-1].headroom >= headroom:
            notes.pop()
        notes.append(_Note(self._order, headroom))
        if len(notes) > _MAX_NOTES:
            notes[1].headroom = notes[0].headroom
            notes.pop(0)
