"""Trials of what is in quarantine: few, and counted for the whole fleet.

Only a trial can show that a cause of crashes is gone, and each may crash one
more target. A trial is claimed in the store before it is made, so that no
restart of instances starts the count again.
"""

import math
from dataclasses import dataclass, field

# Seconds in which a claimed trial is made, or lost.
_CLAIM_SECONDS = 30.0
# Seconds after which a caller may ask again if no trial is left.
_LONGEST_WAIT = 3600.0


@dataclass(slots=True)
class _Trial:
    """The trials of one name that were claimed by any instance."""

    made: int = 0
    last: float = -math.inf
    # Until when this instance may make the trial that it has claimed.
    usable_until: float = -math.inf


@dataclass(slots=True)
class Trials:
    """Trials by name.

    `pauses` are the seconds before each trial, from the last crash or trial.
    `wanted` are names for which a request came when a trial was due.
    """

    pauses: tuple[float, ...]
    wanted: set[str] = field(default_factory=set)
    _trials: dict[str, _Trial] = field(default_factory=dict)

    def made(self, name: str) -> int:
        """Return the number of trials that were claimed."""
        trial = self._trials.get(name)
        return 0 if trial is None else trial.made

    def learn(self, name: str, made: int, now: float) -> None:
        """Record the number of trials that other instances have claimed.

        A new one is the trial that was wanted here, too.
        """
        trial = self._trials.setdefault(name, _Trial())
        if made > trial.made:
            trial.made = made
            trial.last = now
            self.wanted.discard(name)

    def claim(self, name: str, made: int, now: float) -> None:
        """Record that this instance has claimed trial number `made`."""
        self.learn(name, made, now)
        self._trials[name].usable_until = now + _CLAIM_SECONDS

    def may_send(self, name: str, last_crash: float, now: float) -> bool:
        """Tell whether a request may be sent as a trial; else ask for one."""
        trial = self._trials.get(name)
        if trial is not None and now < trial.usable_until:
            return True
        if self.wait(name, last_crash, now) <= 0:
            self.wanted.add(name)
        return False

    def begin(self, name: str) -> bool:
        """Use up a claimed trial; return false if there is none."""
        trial = self._trials.get(name)
        if trial is None or math.isinf(trial.usable_until):
            return False
        trial.usable_until = -math.inf
        return True

    def wait(self, name: str, last_crash: float, now: float) -> float:
        """Return the seconds until the next trial is due."""
        trial = self._trials.get(name, _Trial())
        if trial.made >= len(self.pauses):
            return _LONGEST_WAIT
        pause = self.pauses[trial.made]
        return max(0, max(last_crash, trial.last) + pause - now)

    def forget(self, name: str) -> None:
        """Forget a name that is not in quarantine any more."""
        self._trials.pop(name, None)
        self.wanted.discard(name)
