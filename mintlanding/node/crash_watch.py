"""Find out whether a target crashed when a response breaks off."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from mintlanding.core.exceptions import (
    InvalidResponse,
    ResponseLost,
    ResponseTimeout,
)
from mintlanding.core.logs import Logger
from mintlanding.node.clock import boot_seconds
from mintlanding.node.target_connector import TargetConnector
from mintlanding.quarantine.ledger import CrashLedger
from mintlanding.quarantine.request_ledger import RequestLedger
from mintlanding.traffic.models import Target

# Seconds for a connection that shows whether a target still listens.
_CONNECT_SECONDS = 0.5
# Seconds for which a request whose caller left may still crash its target.
_DEPARTURE_SECONDS = 2.0
# Seconds after the departure of a caller until its target is checked, for all
# callers that leave meanwhile.
_DEPARTURE_CHECK_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class LostRequest:
    """A request without a complete response.

    `parts` are those of its prompt that may have crashed the engine: empty if
    it had brought events before.
    """

    digest: str
    parts: tuple[str, ...]


@dataclass(slots=True)
class _Check:
    """Requests lost at one incarnation of a target, while it is checked."""

    lost: set[LostRequest] = field(default_factory=set)
    task: asyncio.Task[None] | None = None


class CrashWatch:
    """Report unanswered requests once their target is gone.

    A response also breaks off where only the connection has failed. A target
    that has crashed refuses the next connection.
    """

    def __init__(
        self,
        parts: CrashLedger,
        requests: RequestLedger,
        connector: TargetConnector,
    ) -> None:
        """Take the ledgers of crashes and the connections to targets."""
        # Called when a request was lost in more than one crash.
        self.on_recurrence: Callable[[], None] = lambda: None
        self._parts = parts
        self._requests = requests
        self._connector = connector
        self._checks: dict[str, _Check] = {}
        # Requests whose callers left, with the time, by target.
        self._departed: dict[str, dict[LostRequest, float]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._logger = Logger('quarantine')

    def record_loss(
        self, target: Target, lost: LostRequest, exc: ResponseLost
    ) -> None:
        """Check a target whose connection ended before its response."""
        # A target that stays silent or sends garbage is still running.
        if isinstance(exc, ResponseTimeout | InvalidResponse):
            return
        self._check(target, lost, 0)

    def record_departure(self, target: Target, lost: LostRequest) -> None:
        """Remember a request whose caller left before its response."""
        departed = self._departed.setdefault(_run_of(target), {})
        now = boot_seconds()
        for other, at in tuple(departed.items()):
            if now > at + _DEPARTURE_SECONDS:
                departed.pop(other)
        departed[lost] = now
        self._check(target, None, _DEPARTURE_CHECK_SECONDS)

    async def settle(self, target: Target) -> None:
        """Wait until it is known whether a target has crashed."""
        check = self._checks.get(_run_of(target))
        if check is not None and check.task is not None:
            await asyncio.wait((check.task,))

    async def refuses_connections(self, target: Target) -> bool:
        """Tell whether a target is gone, by one connection to it."""
        return await self._connector.is_refused(target, _CONNECT_SECONDS)

    def retain(self, targets: set[tuple[str, int]]) -> None:
        """Forget the callers that left other targets."""
        runs = {f'{name}/{incarnation}' for name, incarnation in targets}
        for run in self._departed.keys() - runs:
            self._departed.pop(run)

    def stop(self) -> None:
        """Cancel the checks in progress."""
        for task in tuple(self._tasks):
            task.cancel()

    def _check(
        self, target: Target, lost: LostRequest | None, pause: float
    ) -> None:
        run = _run_of(target)
        check = self._checks.get(run)
        is_new = check is None
        if check is None:
            check = self._checks[run] = _Check()
        if lost is not None:
            check.lost.add(lost)
        if is_new:
            check.task = asyncio.create_task(self._run_check(target, pause))
            self._tasks.add(check.task)
            check.task.add_done_callback(self._tasks.discard)

    async def _run_check(self, target: Target, pause: float) -> None:
        run = _run_of(target)
        at = boot_seconds()
        try:
            await asyncio.sleep(pause)
            is_crashed = await self.refuses_connections(target)
        finally:
            lost = self._checks.pop(run).lost
        if not is_crashed:
            return
        departed = self._departed.pop(run, {})
        lost |= {
            each
            for each, left_at in departed.items()
            if at < left_at + _DEPARTURE_SECONDS
        }
        digests = {each.digest for each in lost} - {''}
        prompts = {each.parts for each in lost} - {()}
        self._logger.info(
            'Target crashed under unanswered requests.',
            target=run,
            requests=sorted(digests),
            prompts=len(prompts),
        )
        # A request that is to blame clears the parts of its prompt.
        self._requests.record_crash(run, digests, at)
        self._parts.record_crash(run, prompts, at)
        if any(self._requests.recurs(each) for each in digests):
            self.on_recurrence()


def _run_of(target: Target) -> str:
    """Return the name of one run of a target."""
    return f'{target.target}/{target.incarnation}'
