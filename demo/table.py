"""Checks of the demo and the table of their results."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from tabulate import tabulate

from mintlanding.core.registry import Registry


@dataclass(frozen=True, slots=True)
class Row:
    """The result of one check, with a figure."""

    check: str
    is_held: bool
    figure: str


Scenario = Callable[..., Awaitable[list[Row]]]
SCENARIOS: Registry[Scenario] = Registry('scenario')


def render(rows: list[Row]) -> str:
    """Return the rows as a text table."""
    lines = [
        (each.check, 'held' if each.is_held else 'NOT HELD', each.figure)
        for each in rows
    ]
    return tabulate(lines, headers=('check', 'result', 'figure'))
