"""Check framework: report all mistakes at once, with stable ids and hints."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from mintlanding.core.registry import Registry


class Level(StrEnum):
    """Severity of a message; errors prevent a start."""

    warning = 'warning'
    error = 'error'


@dataclass(frozen=True, slots=True)
class CheckMessage:
    """One mistake: a stable id, its place, a message and a hint."""

    check_id: str
    place: str
    message: str
    hint: str
    level: Level = Level.error

    def __str__(self) -> str:
        """Return the message and the hint on two lines."""
        head = f'{self.place}: {self.level} {self.check_id}: {self.message}'
        return f'{head}\n    HINT: {self.hint}'


Check = Callable[[Any], Iterable[CheckMessage]]
CHECKS: Registry[Check] = Registry('check')


def run_checks(subject: object, names: Iterable[str]) -> list[CheckMessage]:
    """Run the named checks on the subject and return all messages."""
    found: list[CheckMessage] = []
    for name in names:
        found.extend(CHECKS.get(name)(subject))
    return found
