"""Start generations: reserve a worker, send the request, retry where safe."""

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from mintlanding.core.results import Done, Failed, Outcome, Ran, ResultCode
from mintlanding.engines.client import EngineClient, OpenedResponse
from mintlanding.engines.models import GenerateRequest
from mintlanding.engines.relay import StreamRelay
from mintlanding.entry.context import EntryContext
from mintlanding.entry.generation import Generation
from mintlanding.entry.pins import Pins
from mintlanding.entry.steward_watch import StewardWatch
from mintlanding.placement.messages import ReleaseRequest, ReserveRequest
from mintlanding.routing.models import (
    Attempt,
    AttemptProgress,
    RetryAfter,
    WorkerRoute,
)

_PROGRESS: Mapping[Ran, AttemptProgress] = {
    Ran.not_run: AttemptProgress.refused,
    Ran.ran: AttemptProgress.sent,
    Ran.unknown: AttemptProgress.sent,
}
# A retry on another worker cannot succeed.
_FINAL_CODES = frozenset(
    (
        ResultCode.deadline_unreachable,
        ResultCode.target_wrong_adapter,
    ),
)
_TARGET_FAULTS = frozenset(
    (
        ResultCode.target_unreachable,
        ResultCode.target_timeout,
        ResultCode.target_interrupted,
        ResultCode.target_garbage,
        ResultCode.target_wrong_adapter,
    ),
)
_RESUMABLE_CODES = frozenset(
    (
        ResultCode.target_interrupted,
        ResultCode.target_timeout,
        ResultCode.outcome_unknown,
    ),
)


@dataclass(frozen=True, slots=True)
class Job:
    """A validated request to dispatch to a worker.

    `deadline` is in seconds of the monotonic clock.
    """

    generate: GenerateRequest
    reserve: ReserveRequest
    pool: str
    deadline: float
    note_sent: Callable[[], None]
    is_repeatable: bool = False


class Dispatcher:
    """Start generations on workers and release their reservations."""

    def __init__(self, context: EntryContext) -> None:
        """Use the targets, clients and retry policy of the context."""
        self.pins = Pins()
        self._stewards = StewardWatch(context.view)
        self._targets = context.targets
        self._control = context.control
        self._background = context.background
        self._retries = context.retries
        self._clock = context.clock
        self._rnd = random.Random()  # noqa: S311

    async def start(self, job: Job) -> Outcome[Generation]:
        """Try workers one after another while the retry policy allows it."""
        self._retries.budget.note_first_attempt()
        tried: set[str] = set()
        attempts = 0
        last: Failed | None = None
        while True:
            route = self._targets.choose_worker(
                job.pool,
                job.reserve.ref,
                tried,
            )
            if isinstance(route, Failed):
                return last or route
            tried.add(route.value.worker)
            attempts += 1
            outcome = await self._try_worker(job, route.value, attempts)
            if isinstance(outcome, Done):
                return outcome
            decision = self._decide(job, outcome, attempts)
            if isinstance(decision, Failed):
                return decision
            last = outcome
            await asyncio.sleep(decision.seconds)

    def finish(self, generation: Generation, used: float) -> None:
        """Cancel a generation that still runs, and release its reservation."""
        self._background.spawn(self._finish(generation, used))

    def _decide(
        self,
        job: Job,
        failure: Failed,
        attempts: int,
    ) -> RetryAfter | Failed:
        if failure.code in _FINAL_CODES:
            return failure
        attempt = Attempt(
            _PROGRESS[failure.ran],
            job.is_repeatable,
            attempts,
            job.deadline,
        )
        now = self._clock.monotonic()
        return self._retries.decide(attempt, failure, now, self._rnd)

    async def _try_worker(
        self,
        job: Job,
        route: WorkerRoute,
        attempts: int,
    ) -> Outcome[Generation]:
        reservation_id = f'{job.generate.request_id}-{attempts}'
        req = msgspec.structs.replace(
            job.reserve,
            worker=route.worker,
            reservation_id=reservation_id,
        )
        self.pins.add(route.worker, reservation_id, req.ref)
        outcome: Outcome[Generation] | None = None
        try:
            outcome = await self._reserve_and_call(job, route, req)
        finally:
            if not isinstance(outcome, Done):
                self._background.spawn(self._abort(req, outcome))
        return outcome

    async def _reserve_and_call(
        self,
        job: Job,
        route: WorkerRoute,
        req: ReserveRequest,
    ) -> Outcome[Generation]:
        self._targets.workers.note_sent(route.worker)
        granted = await self._stewards.wait(
            route,
            self._control.reserve_worker(route.steward_address, req),
        )
        if isinstance(granted, Failed):
            return granted
        if not self._targets.is_current(route.worker, granted.value.fencing):
            return Failed.of(ResultCode.no_target, 'a newer steward exists')
        engine = self._targets.engine(route.worker)
        if engine is None:
            return Failed.of(ResultCode.no_target, 'the worker was removed')
        target = self._targets.find(route.worker)
        if target is not None and target.leaving:
            return Failed.of(ResultCode.no_target, 'the worker is leaving')
        generate = replace(job.generate, request_id=req.reservation_id)
        job.note_sent()
        opened = await engine.generate(generate)
        if isinstance(opened, Failed) and _is_resumable_failure(
            opened, generate
        ):
            opened = await self._resume_stream(engine, generate, opened)
        self._record_health(route.worker, opened)
        if isinstance(opened, Failed):
            return opened
        relay = StreamRelay(
            engine,
            opened.value,
            req.ref,
            req.reservation_id,
        )
        stalled = granted.value.stalled
        return Done(
            Generation(relay, route.worker, req.reservation_id, stalled),
        )

    def _record_health(self, worker: str, outcome: Outcome[Any]) -> None:
        circuits = self._targets.workers.circuits
        if isinstance(outcome, Done):
            circuits.succeeded(worker)
        elif outcome.code in _TARGET_FAULTS:
            circuits.failed(worker, self._clock.monotonic(), self._rnd)

    async def _resume_stream(
        self,
        engine: EngineClient,
        generate: GenerateRequest,
        failure: Failed,
    ) -> Outcome[OpenedResponse]:
        """Resume a stream whose first connection broke before its response."""
        resumed = await engine.resume(generate.ref, generate.request_id, 0)
        return resumed if isinstance(resumed, Done) else failure

    async def _finish(self, generation: Generation, used: float) -> None:
        await generation.relay.cancel()
        await self._release(
            generation.worker,
            generation.reservation_id,
            used,
        )

    async def _abort(
        self,
        req: ReserveRequest,
        failure: Failed | None,
    ) -> None:
        engine = self._targets.engine(req.worker)
        may_run = failure is None or failure.ran is not Ran.not_run
        if engine is not None and may_run:
            await engine.cancel(req.reservation_id)
        await self._release(req.worker, req.reservation_id, used=0)

    async def _release(
        self,
        worker: str,
        reservation_id: str,
        used: float,
    ) -> None:
        self.pins.remove(worker, reservation_id)
        address = self._targets.steward_address(worker)
        if address:
            req = ReleaseRequest(reservation_id, worker, used)
            await self._control.release_worker(address, req)


def _is_resumable_failure(failure: Failed, generate: GenerateRequest) -> bool:
    may_run = failure.ran is not Ran.not_run
    return may_run and generate.is_stream and failure.code in _RESUMABLE_CODES
