"""A generation that runs on a worker under a reservation."""

from dataclasses import dataclass

from mintlanding.engines.relay import StreamRelay


@dataclass(frozen=True, slots=True)
class Generation:
    """An answer of a worker as it comes.

    `stalled` is the part of the wait in seconds that a load caused.
    """

    relay: StreamRelay
    worker: str
    reservation_id: str
    stalled: float = 0
