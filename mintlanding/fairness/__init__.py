"""Bounded queues of pending reservations, fair between workspaces.

Used by mintlanding.placement. QueuedRequest is not the class of that name in
mintlanding.residency.
"""

from mintlanding.fairness.baselines import FifoQueue, RoundRobinQueue
from mintlanding.fairness.models import QueuedRequest, QueueOptions
from mintlanding.fairness.policies import QUEUES, QueuePolicy
from mintlanding.fairness.weighted import WeightedFairQueue

__all__ = (
    'QUEUES',
    'FifoQueue',
    'QueuePolicy',
    'QueueOptions',
    'RoundRobinQueue',
    'QueuedRequest',
    'WeightedFairQueue',
)
