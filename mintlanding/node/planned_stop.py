"""Refuse requests that the end of the process could cut off.

Answers a planned stop under load: callers go on sending on connections that
were open before. A refused caller is served by another instance, at the cost
of a connection; one whose response is cut off has waited in vain, and may not
repeat a request that has run.

Only its deadline bounds how long a request takes. How long others took, or how
fast their targets were, may change while the process stops.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class PlannedStop:
    """When the process ends, in monotonic seconds; None unless it stops."""

    ends_at: float | None = None

    def refuses(self, deadline: float) -> bool:
        """Tell whether a request with a deadline could be cut off."""
        return self.ends_at is not None and deadline > self.ends_at
