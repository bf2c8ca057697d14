"""Whether a target that has failed may be used again."""

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
    """Failures in a row that open a circuit; its pauses in seconds."""

    failures: int = 3
    first_pause: float = 0.5
    longest_pause: float = 15


@dataclass(slots=True)
class Circuit:
    """The circuit of one target."""

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
    """The circuits of all targets; one that never failed costs nothing."""

    def __init__(self, options: CircuitOptions) -> None:
        """Begin with all circuits closed."""
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
        """Count a failure; the pause doubles with each one after opening."""
        circuit = self._circuits.setdefault(target, Circuit())
        circuit.failures += 1
        if circuit.failures < self._options.failures:
            return
        doubled = max(self._options.first_pause, circuit.pause * 2)
        circuit.pause = min(doubled, self._options.longest_pause)
        circuit.open_until = now + circuit.pause * rnd.uniform(0.5, 1)

    def admits(self, target: str, now: float, *, may_fail: bool) -> bool:
        """Tell whether a request may go to a target.

        A request that must not fail is kept off a half-open circuit, unless
        nobody has probed the target for the longest pause.
        """
        circuit = self._circuits.get(target)
        if circuit is None:
            return True
        state = circuit.state(self._options, now)
        if state != CircuitState.half_open:
            return state == CircuitState.closed
        return (
            may_fail or now >= circuit.open_until + self._options.longest_pause
        )

    def note_trial(self, target: str, now: float) -> None:
        """Let one request or probe decide; its loss only costs a pause."""
        circuit = self._circuits.get(target)
        if circuit is None:
            return
        if circuit.state(self._options, now) == CircuitState.half_open:
            circuit.open_until = now + self._options.longest_pause

    def probes(self, now: float) -> list[str]:
        """Return the targets to probe now; report each answer."""
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
