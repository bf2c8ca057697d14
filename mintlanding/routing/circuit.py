"""Circuit breakers for targets."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum


class CircuitState(StrEnum):
    """Closed: in use. Open: avoided. Half-open: one trial decides."""

    closed = 'closed'
    open = 'open'
    half_open = 'half_open'


@dataclass(frozen=True, slots=True)
class CircuitOptions:
    """Consecutive failures that open a circuit, and its pauses in seconds."""

    failures: int = 3
    initial_pause: float = 0.5
    max_pause: float = 15


@dataclass(slots=True)
class Circuit:
    """The circuit breaker of one target."""

    failures: int = 0
    pause: float = 0
    open_until: float = 0

    def state(self, options: CircuitOptions, now: float) -> CircuitState:
        """Return the state at `now`."""
        if self.failures < options.failures:
            return CircuitState.closed
        if now < self.open_until:
            return CircuitState.open
        return CircuitState.half_open


class Circuits:
    """The circuit breakers of all targets that have failed."""

    def __init__(self, options: CircuitOptions) -> None:
        """Start with all circuits closed."""
        self._options = options
        self._circuits: dict[str, Circuit] = {}

    def state(self, target: str, now: float) -> CircuitState:
        """Return the state of a target's circuit."""
        circuit = self._circuits.get(target)
        if circuit is None:
            return CircuitState.closed
        return circuit.state(self._options, now)

    def succeeded(self, target: str) -> None:
        """Close the circuit."""
        self._circuits.pop(target, None)

    def failed(self, target: str, now: float, rnd: random.Random) -> None:
        """Count a failure; each one after the opening doubles the pause."""
        circuit = self._circuits.setdefault(target, Circuit())
        circuit.failures += 1
        if circuit.failures < self._options.failures:
            return
        doubled = max(self._options.initial_pause, circuit.pause * 2)
        circuit.pause = min(doubled, self._options.max_pause)
        circuit.open_until = now + circuit.pause * rnd.uniform(0.5, 1)

    def admits(self, target: str, now: float, *, may_fail: bool) -> bool:
        """Return whether a request may be sent to a target.

        A request that must not fail is not sent through a half-open circuit,
        unless the target was not probed for the longest pause.
        """
        circuit = self._circuits.get(target)
        if circuit is None:
            return True
        state = circuit.state(self._options, now)
        if state != CircuitState.half_open:
            return state == CircuitState.closed
        return may_fail or now >= circuit.open_until + self._options.max_pause

    def note_trial(self, target: str, now: float) -> None:
        """Record the trial of a half-open circuit; a lost one costs a pause."""
        circuit = self._circuits.get(target)
        if circuit is None:
            return
        if circuit.state(self._options, now) == CircuitState.half_open:
            circuit.open_until = now + self._options.max_pause

    def probes(self, now: float) -> list[str]:
        """Return the targets to probe now; report the result of each."""
        due = [
            target
            for target, circuit in self._circuits.items()
            if circuit.state(self._options, now) == CircuitState.half_open
        ]
        for target in due:
            self.note_trial(target, now)
        return due

    def keep(self, targets: Iterable[str]) -> None:
        """Forget the targets that are no longer configured."""
        kept = set(targets)
        for target in set(self._circuits) - kept:
            self._circuits.pop(target)
