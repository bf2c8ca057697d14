"""What a dispatcher does with a worker that changes while a request waits."""

from types import SimpleNamespace

from mintlanding.configuration.models import Target
from mintlanding.core.clock import ManualClock
from mintlanding.core.results import Done, Failed, ResultCode
from mintlanding.engines.models import GenerateRequest
from mintlanding.entry.dispatch import Dispatcher, Job
from mintlanding.entry.view import EntryView
from mintlanding.placement.messages import (
    AdapterRef,
    ReserveReply,
    ReserveRequest,
)
from mintlanding.routing.models import WorkerRoute

ROUTE = WorkerRoute('w', 'i1', 'host:1')
REF = AdapterRef('a', 'v1')


class FakeEngine:
    """Counts the requests that reach the worker."""

    def __init__(self):
        self.requests = 0

    async def generate(self, req):
        self.requests += 1
        return Failed.of(ResultCode.target_unreachable, 'test')


class FakeTargets:
    """One worker, which starts to leave while a reservation is requested."""

    def __init__(self, engine):
        self.workers = SimpleNamespace(
            note_sent=lambda worker: None,
            circuits=SimpleNamespace(failed=lambda *args: None),
        )
        self.is_leaving = False
        self._engine = engine

    def engine(self, worker):
        return self._engine

    def find(self, worker):
        return Target(
            name=worker,
            service='s',
            zone='z',
            url='http://w',
            leaving=self.is_leaving,
        )

    def is_current(self, worker, fencing):
        return True


class FakeControl:
    """Grants every reservation after `meanwhile`."""

    def __init__(self, meanwhile):
        self._meanwhile = meanwhile

    async def reserve_worker(self, address, req):
        self._meanwhile()
        return Done(ReserveReply('r'))


async def test_worker_that_leaves_during_the_reservation_gets_no_request():
    engine = FakeEngine()
    targets = FakeTargets(engine)
    control = FakeControl(lambda: setattr(targets, 'is_leaving', True))
    dispatcher = Dispatcher(
        SimpleNamespace(
            view=EntryView(ManualClock()),
            targets=targets,
            control=control,
            background=None,
            retries=None,
            clock=ManualClock(),
        ),
    )
    req = ReserveRequest('r', 'w', 'acme', REF, 10)
    job = Job(GenerateRequest(b'', '/', REF, 'r'), req, 'p', 10.0, lambda: None)
    outcome = await dispatcher._reserve_and_call(job, ROUTE, req)
    assert outcome.code is ResultCode.no_target
    assert engine.requests == 0
