"""Options of order, room and retry times; times in seconds."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CapacityOptions:
    """How requests are served when engines cannot serve all in time.

    `is_enabled`: whether the deployment wants this; without it engines serve
    the least slack first.

    `usual_time`: time constant of the usual use of a workspace; a burst of
    some seconds changes it little. `least_weight`: part of the mean use that
    every workspace may have besides its own. `max_workspaces` bounds memory.
    `patience`: part of its longest wait after which a large request that lacks
    memory is not overtaken any more. `hang_factor`: an engine hangs when its
    full batch has freed no slot for so many usual run times; with one, a burst
    of long prompts counted as a hang. `max_return_times`: retry times that an
    instance remembers, several times those that it gives within two seconds.
    """

    is_enabled: bool = False
    usual_time: float = 120
    least_weight: float = 0.25
    max_workspaces: int = 256
    patience: float = 0.5
    hang_factor: float = 2
    max_return_times: int = 1024
