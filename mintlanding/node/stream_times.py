"""Time the events of a stream at their arrival from the target."""

from dataclasses import dataclass


@dataclass(slots=True)
class StreamTimes:
    """Times in seconds of one attempt; 0 for what has not happened.

    `first_event` counts from the sending of the request. Time in which the
    caller did not read is no pause of the target.
    """

    sent_at: float
    first_event: float = 0
    longest_pause: float = 0
    _passed_at: float = 0

    def record_event(self, now: float) -> None:
        """Record the arrival of whole events."""
        if not self.first_event:
            self.first_event = now - self.sent_at
            return
        self.longest_pause = max(self.longest_pause, now - self._passed_at)

    def record_passed(self, now: float) -> None:
        """Record that the caller has taken the events."""
        self._passed_at = now
