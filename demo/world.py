"""What the scenarios of the demo share."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from demo.clients import Caller, SidePorts
from demo.fleet import Fleet
from demo.operator import Operator
from demo.seed import adapter_name, workspace_of


@dataclass(slots=True)
class World:
    """The running fleet with its callers and its operator."""

    fleet: Fleet
    operator: Operator
    side: SidePorts
    keys: dict[str, str]
    started: float = field(default_factory=time.monotonic)
    callers: dict[str, Caller] = field(default_factory=dict)
    away: set[str] = field(default_factory=set)

    def caller(self, workspace: str) -> Caller:
        """Return the caller of a workspace."""
        if workspace not in self.callers:
            self.callers[workspace] = Caller(
                self.fleet,
                self.keys[workspace],
                away=self.away,
            )
        return self.callers[workspace]

    def new_caller(self, key: str) -> Caller:
        """Return a caller with another key."""
        return Caller(self.fleet, key, away=self.away)

    def adapters(self, workspace: str, count: int, first: int = 0) -> list[str]:
        """Return some adapters of a workspace, from number `first` on."""
        size = self.fleet.size
        found = [
            adapter_name(number)
            for number in range(first, size.adapters)
            if workspace_of(size, number) == workspace
        ]
        return found[:count]

    def engines(self) -> list[str]:
        """Name the engine stand-ins."""
        return [
            each.name for each in self.fleet.standins if each.kind == 'engine'
        ]

    def plain(self) -> list[str]:
        """Name the plain stand-ins."""
        return [
            each.name for each in self.fleet.standins if each.kind == 'plain'
        ]

    def say(self, sentence: str) -> None:
        """Print a progress line."""
        elapsed = time.monotonic() - self.started
        print(f'[{elapsed:5.1f} s] {sentence}', flush=True)  # noqa: WPS421


async def poll(
    question: Callable[[], Awaitable[bool]],
    seconds: float,
) -> float | None:
    """Ask until the answer is yes; return the seconds it took, or nothing."""
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        if await question():
            return time.monotonic() - started
        await asyncio.sleep(0.05)
    return None
