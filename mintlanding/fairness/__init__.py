"""Order of waiting reservations: fair over workspaces, bounded in number."""

from mintlanding.fairness.baselines import FifoQueue, RoundRobinQueue
from mintlanding.fairness.models import QueueOptions, Waiting
from mintlanding.fairness.policies import QUEUES, QueuePolicy
from mintlanding.fairness.weighted import WeightedFairQueue

__all__ = (
    'QUEUES',
    'FifoQueue',
    'QueuePolicy',
    'QueueOptions',
    'RoundRobinQueue',
    'Waiting',
    'WeightedFairQueue',
)
