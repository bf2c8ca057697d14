"""A brittle target that knows its room, for tests on a simulated clock."""

import heapq

from mintlanding.residency.messages import GrantOutcome


class Oracle:
    """A target that knows its room and when it refused."""

    def __init__(self, slots, room, run_seconds):
        self.slots = slots
        self.room = room
        self.run_seconds = run_seconds
        self.ends = []
        self.refused_at = []

    def arrive(self, now):
        """Return the outcome of a request and when its response is sent."""
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        if len(self.ends) >= self.room:
            self.refused_at.append(now)
            return GrantOutcome.full, now
        busy = sorted(self.ends)[-self.slots :]
        begin = busy[0] if len(self.ends) >= self.slots else now
        end = max(now, begin) + self.run_seconds
        heapq.heappush(self.ends, end)
        return GrantOutcome.served, end

    def most_refused(self):
        return most_within_a_second(self.refused_at)


def most_within_a_second(times):
    return max(
        (sum(first <= at < first + 1 for at in times) for first in times),
        default=0,
    )
