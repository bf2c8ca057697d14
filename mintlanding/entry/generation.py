"""A generation that runs on a worker under a reservation."""

from dataclasses import dataclass

from mintlanding.engines.relay import StreamRelay


@dataclass(frozen=True, slots=True)
class Generation:
    """A response that a worker is generating.

    `stalled` is how much of the wait, in seconds, an adapter load caused.
    """

    relay: StreamRelay
    worker: str
    reservation_id: str
    stalled: float = 0
