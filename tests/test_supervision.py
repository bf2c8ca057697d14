"""Long-running tasks of entry and agent go on after an exception."""

import pytest
import pytest_asyncio

from mintlanding.entry.health import HealthProbes
from tests.fleet import Fleet, eventually


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def fleet():
    running = Fleet()
    await running.start(instances=1, workers=1)
    yield running
    await running.stop()


def runner(node):
    return next(iter(node.agent.stewards._runners.values()))


WORK = {
    'view': lambda node: (node.entry.context.view, 'apply'),
    'ledger': lambda node: (
        node.entry.context.ledger,
        'retry_pending_writes',
    ),
    'samples': lambda node: (node.entry.context.samples, 'take'),
    'probes': lambda node: (HealthProbes, '_probe_all'),
    'membership': lambda node: (node.agent.membership.node, 'tick'),
    'instance list': lambda node: (node.agent.context.instance_list, 'fetch'),
    'configuration': lambda node: (node.agent.configuration.node, 'tick'),
    'limits': lambda node: (node.agent.limits.node, 'tick'),
    'seats': lambda node: (node.agent.seats, '_assign'),
    'stewards': lambda node: (node.agent.stewards, '_tick'),
    'steward': lambda node: (runner(node).steward, 'tick'),
    'reports': lambda node: (runner(node), '_as_report'),
}


@pytest.mark.asyncio(loop_scope='module')
@pytest.mark.parametrize('name', WORK)
async def test_task_that_raises_is_started_again(fleet, monkeypatch, name):
    node = fleet.nodes[0]
    owner, method = WORK[name](node)
    work = getattr(owner, method)
    calls = []

    def fail_once(*args, **kwargs):
        calls.append(name)
        if len(calls) == 1:
            raise LookupError('unforeseen')
        return work(*args, **kwargs)

    monkeypatch.setattr(owner, method, fail_once)
    await eventually(lambda: len(calls) > 2, timeout=10)
