"""Options of learning the speed of targets; times in seconds."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetSpeedOptions:
    """How quickly speeds are learned and forgotten, and how they are used.

    `noise_seconds`: what a single report says beyond the average fades in this
    time, the usual length of a short slow-down. `memory_seconds`: time constant
    of that average, `falling_seconds` that for reports below it,
    `usual_seconds` that of the usual slow-down. The average
    fades to the usual one in `return_seconds` for repeatable requests, and in
    `cautious_return_seconds` for others, which must not go to a slow target.
    `own_seconds`: time constant of the average of own times.

    What is known of a target that was not heard from for `silent_seconds`, in
    which no request was repeatable either, fades to the time of the quickest
    other one until `unknown_seconds`. A target that stays slow costs each
    instance one request in that time.

    `usual_falling_seconds`: time constant of the usual slow-down for reports
    far below it. A target that is quick again would otherwise be left for what
    is its usual slow-down.

    A repeatable request goes to a target that has not been heard from for
    `probe_interval` with a probability of `probe_share`. `other_zone_seconds`:
    about the delay between zones. Of more than `compared_all` targets `sampled`
    random ones are compared. `jitter`: random addition to an expected time, as
    a share of it. `log_factor`: a learned time is logged when it has changed by
    this factor, at most once per `log_interval` for each target.
    """

    is_enabled: bool = True
    noise_seconds: float = 0.6
    memory_seconds: float = 1.5
    falling_seconds: float = 0.25
    usual_seconds: float = 20
    usual_falling_seconds: float = 1.5
    largest_weight: float = 0.5
    own_seconds: float = 0.7
    return_seconds: float = 2
    cautious_return_seconds: float = 6
    silent_seconds: float = 20
    unknown_seconds: float = 40
    probe_interval: float = 1
    probe_share: float = 0.15
    other_zone_seconds: float = 0.003
    compared_all: int = 4
    sampled: int = 3
    jitter: float = 0.1
    log_factor: float = 2
    log_interval: float = 1
