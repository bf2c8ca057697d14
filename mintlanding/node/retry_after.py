"""The pause that this instance asks of callers that it refuses."""

import random
from dataclasses import dataclass

from mintlanding.node.settings import RelayOptions


@dataclass(slots=True)
class RetryAfter:
    """Longer while the instance reaches half of the members or fewer."""

    options: RelayOptions
    rnd: random.Random
    is_isolated: bool = False

    def seconds(self) -> float:
        """Return the seconds after which a caller should retry, with jitter."""
        options = self.options
        pause = options.retry_after
        if self.is_isolated:
            pause = options.isolated_retry_after
        return pause * self.rnd.uniform(0.6, 1.4)
