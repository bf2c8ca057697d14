"""Fencing tokens of the orders that this process has sent.

An order without a response is given up, but may still reach its engine after
later ones. Where these bear a higher token, the engine sees the token fall.
"""

from dataclasses import dataclass

# Seconds for which an order without a response may still arrive.
LATE_ORDER_SECONDS = 10.0


@dataclass(slots=True)
class WorkerOrders:
    """Orders to one worker: the last token, and those without a response.

    `given_up_token` and `given_up_at` are those of the last order that was
    given up. `overtaking` counts the orders that were sent under a higher token
    while one that was given up could still arrive.
    """

    token: int = 0
    token_changes: int = 0
    given_up: int = 0
    given_up_token: int = 0
    given_up_at: float = float('-inf')
    overtaking: int = 0


class OrderHistory:
    """The orders of this process by worker; times in seconds of one clock."""

    def __init__(self) -> None:
        """Start without orders."""
        self.workers: dict[str, WorkerOrders] = {}

    def token(self, worker: str) -> int:
        """Return the token of the last order to a worker, 0 without one."""
        found = self.workers.get(worker)
        return 0 if found is None else found.token

    def begin(self, worker: str, token: int, now: float) -> float | None:
        """Record that an order is sent.

        Return how long ago an order under another token was given up, None if
        none may still arrive.
        """
        orders = self.workers.setdefault(worker, WorkerOrders())
        if orders.token not in {0, token}:
            orders.token_changes += 1
        orders.token = token
        age = now - orders.given_up_at
        if age > LATE_ORDER_SECONDS or orders.given_up_token == token:
            return None
        orders.overtaking += 1
        return age

    def give_up(self, worker: str, now: float) -> None:
        """Record that the last order to a worker got no response in time."""
        orders = self.workers[worker]
        orders.given_up += 1
        orders.given_up_token = orders.token
        orders.given_up_at = now
