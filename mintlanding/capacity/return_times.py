"""When a refused caller should return, and whether one returned as told.

Answers callers that are refused together, return together and are refused
again. Each gets the next place that is expected to become free, up to the time
that callers honour; beyond that, and where the rate of places is not known, the
returns are spread evenly. Workspaces whose callers are to return share the
places, so that one that is refused often does not delay the others.

Told times are kept in a table of fixed size; a newer one replaces an older one
in its place. One that returns as told counts once. One that returns too early
waits anew, so that to return often gains nothing.
"""

import random
from dataclasses import dataclass

import xxhash

from mintlanding.capacity.options import CapacityOptions

# Share of the remaining time up to which callers honour a retry time.
_HONOURED_SHARE = 1 / 3
# Least retry time in seconds that a refusal gives.
_MIN_RETRY_AFTER = 0.1
# Share of a wait beyond that time over which returns are spread.
_LATE_SPREAD = 0.3
# Seconds that a return may be early, for rounding of the time in the response.
_EARLY = 0.02
# Seconds that a return may be late, for the caller's timers and connection.
_LATE = 1.0


@dataclass(frozen=True, slots=True)
class Refused:
    """A refused request; `left` is the seconds to its caller's deadline.

    `wait` is the expected seconds until a place is free, `gap` that between
    two places that callers of this instance get, 0 if not known.
    """

    key: str
    priority: int
    wait: float
    gap: float
    left: float
    workspace: str = ''


class ReturnTimes:
    """Retry times that one instance gave."""

    def __init__(self, options: CapacityOptions, rnd: random.Random) -> None:
        """Start without any retry times."""
        self._rnd = rnd
        # When the next place is free, by priority and workspace.
        self._next_place: dict[tuple[int, str], float] = {}
        # Hash of a refused request and its time, at the place of its hash.
        self._told: dict[int, tuple[int, float]] = {}
        self._places = options.max_return_times

    def __len__(self) -> int:
        """Count the retry times that are remembered."""
        return len(self._told)

    def assign(self, refused: Refused, now: float) -> float:
        """Return the seconds after which a caller should return."""
        wait = max(_MIN_RETRY_AFTER, refused.wait)
        early = self.early_seconds(refused.key, now)
        if early > 0:
            return self._tell(refused.key, now, now + max(early, wait))
        latest = refused.left * _HONOURED_SHARE
        if wait >= latest:
            # An honest time beyond the latest is better than a second refusal.
            wait *= 1 + _LATE_SPREAD * self._rnd.random()
            return self._tell(refused.key, now, now + wait)
        line = (refused.priority, refused.workspace)
        gap = refused.gap * self._sharers(line, now)
        at = max(now + wait, self._next_place.get(line, 0))
        at += self._rnd.random() * gap
        if gap <= 0 or at > now + latest:
            at = now + self._rnd.uniform(wait, latest)
        else:
            self._next_place[line] = at + gap
        return self._tell(refused.key, now, at)

    def _sharers(self, line: tuple[int, str], now: float) -> int:
        """Return how many workspaces share the places of a priority now."""
        self._next_place = {
            each: at for each, at in self._next_place.items() if at > now
        }
        priority, _ = line
        return len(
            {line} | {each for each in self._next_place if each[0] == priority}
        )

    def _tell(self, key: str, now: float, at: float) -> float:
        mark = _mark(key)
        self._told[mark % self._places] = (mark, at)
        return at - now

    def early_seconds(self, key: str, now: float) -> float:
        """Return how much too early a refused request returns, 0 if not."""
        mark = _mark(key)
        told, at = self._told.get(mark % self._places, (0, 0))
        return max(0, at - _EARLY - now) if told == mark else 0

    def take_return(self, key: str, now: float) -> bool:
        """Return whether a request returns as told; it counts once."""
        mark = _mark(key)
        place = mark % self._places
        told, at = self._told.get(place, (0, 0))
        if told != mark or not at - _EARLY <= now <= at + _LATE:
            return False
        self._told.pop(place)
        return True


def _mark(key: str) -> int:
    return xxhash.xxh64_intdigest(key.encode())
