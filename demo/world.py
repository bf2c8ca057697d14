"""State that the scenarios of the demo share."""

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
    """The running fleet, its callers and its operator.

    `excluded` names instances that callers leave out while they restart.
    """

    fleet: Fleet
    operator: Operator
    side_ports: SidePorts
    keys: dict[str, str]
    started: float = field(default_factory=time.monotonic)
    callers: dict[str, Caller] = field(default_factory=dict)
    excluded: set[str] = field(default_factory=set)

    def caller(self, workspace: str) -> Caller:
        """Return the caller with the key of a workspace."""
        if workspace not in self.callers:
            self.callers[workspace] = Caller(
                self.fleet,
                self.keys[workspace],
                excluded=self.excluded,
            )
        return self.callers[workspace]

    def new_caller(self, key: str) -> Caller:
        """Return a caller with the given key."""
        return Caller(self.fleet, key, excluded=self.excluded)

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
        """Return the names of the engine stand-ins."""
        return [
            each.name for each in self.fleet.standins if each.kind == 'engine'
        ]

    def plain(self) -> list[str]:
        """Return the names of the plain stand-ins."""
        return [
            each.name for each in self.fleet.standins if each.kind == 'plain'
        ]

    def print_progress(self, message: str) -> None:
        """Print a message with the time since the start."""
        elapsed = time.monotonic() - self.started
        print(f'[{elapsed:5.1f} s] {message}', flush=True)  # noqa: WPS421


async def poll(
    condition: Callable[[], Awaitable[bool]],
    seconds: float,
) -> float | None:
    """Poll a condition until it holds; return the seconds that took.

    Return None if it does not hold within `seconds`.
    """
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        if await condition():
            return time.monotonic() - started
        await asyncio.sleep(0.05)
    return None
