"""Send calls of plain services to their targets.

A call with an idempotency key runs at most once.
"""

import asyncio
import random
from dataclasses import dataclass

from mintlanding.configuration.models import Service
from mintlanding.core.results import Done, Failed, Outcome, Ran, ResultCode
from mintlanding.engines.models import Headers, PlainAnswer
from mintlanding.entry.context import EntryContext
from mintlanding.entry.open_requests import OpenRequest
from mintlanding.idempotency.models import (
    Claim,
    IdempotentRequest,
    StoredResponse,
)
from mintlanding.routing.models import Attempt, AttemptProgress, RetryAfter

_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A validated call of a plain service."""

    service: Service
    workspace: str
    key_id: str
    method: str
    path: str
    headers: Headers
    body: bytes
    idempotency_key: str

    @property
    def is_repeatable(self) -> bool:
        """Return whether the call may be sent more than once."""
        return self.service.repeatable or self.method in _SAFE_METHODS

    @property
    def idempotent_request(self) -> IdempotentRequest | None:
        """Return the idempotent request to claim, or None if none is needed."""
        if self.is_repeatable or not self.idempotency_key:
            return None
        path = f'{self.service.name}{self.path}'
        return IdempotentRequest(
            self.workspace,
            self.idempotency_key,
            self.method,
            path,
            self.body,
        )


class ServiceSender:
    """Choose targets for calls, and record outcomes of idempotent requests."""

    def __init__(self, context: EntryContext) -> None:
        """Use the targets, ledger and retry policy of the context."""
        self._context = context
        self._rnd = random.Random()  # noqa: S311

    async def send(
        self,
        call: ServiceCall,
        open_request: OpenRequest,
    ) -> Outcome[PlainAnswer]:
        """Send a call; if not repeatable, it runs on after a disconnect."""
        if call.is_repeatable:
            return await self._send_with_retries(call, open_request)
        return await self._context.background.run(
            self._send_with_retries(call, open_request)
        )

    async def send_idempotent(
        self,
        call: ServiceCall,
        claim: Claim,
        open_request: OpenRequest,
    ) -> Outcome[PlainAnswer]:
        ledger = self._context.ledger
        outcome = await self._send_with_retries(call, open_request, claim)
        if isinstance(outcome, Done):
            await ledger.finish(claim, _to_stored_answer(outcome.value))
        elif outcome.ran is Ran.not_run:
            await ledger.release(claim)
        else:
            await ledger.mark_unknown(claim)
        return outcome

    async def _send_with_retries(
        self,
        call: ServiceCall,
        open_request: OpenRequest,
        claim: Claim | None = None,
    ) -> Outcome[PlainAnswer]:
        self._context.retries.budget.note_first_try()
        deadline = (
            self._context.clock.monotonic()
            + self._context.entry.request_timeout
        )
        tried: set[str] = set()
        last: Failed | None = None
        while True:
            if claim and not claim.may_send(self._context.clock.monotonic()):
                return last or Failed.of(ResultCode.idempotency_unavailable)
            outcome = await self._try_target(call, tried, open_request)
            if outcome is None:
                return last or _no_target_failure()
            if isinstance(outcome, Done):
                return outcome
            decision = self._decide(call, outcome, len(tried), deadline)
            if isinstance(decision, Failed):
                return decision
            last = outcome
            await asyncio.sleep(decision.seconds)

    async def _try_target(
        self,
        call: ServiceCall,
        tried: set[str],
        open_request: OpenRequest,
    ) -> Outcome[PlainAnswer] | None:
        targets = self._context.targets
        route = targets.choose_plain(
            call.service.name,
            tried,
            is_repeatable=call.is_repeatable,
        )
        if isinstance(route, Failed):
            return None
        target = route.value.target
        tried.add(target)
        client = targets.plain_client(route.value)
        open_request.note_sent()
        targets.plain.started(target)
        try:
            outcome = await client.call(
                call.method,
                call.path,
                call.headers,
                call.body,
            )
        finally:
            targets.plain.ended(target)
        self._record_health(target, outcome)
        return outcome

    def _record_health(
        self,
        target: str,
        outcome: Outcome[PlainAnswer],
    ) -> None:
        circuits = self._context.targets.plain.circuits
        if isinstance(outcome, Done):
            circuits.succeeded(target)
            return
        now = self._context.clock.monotonic()
        circuits.failed(target, now, self._rnd)

    def _decide(
        self,
        call: ServiceCall,
        failure: Failed,
        attempts: int,
        deadline: float,
    ) -> RetryAfter | Failed:
        progress = AttemptProgress.sent
        if failure.ran is Ran.not_run:
            progress = AttemptProgress.not_sent
        attempt = Attempt(progress, call.is_repeatable, attempts, deadline)
        now = self._context.clock.monotonic()
        return self._context.retries.decide(attempt, failure, now, self._rnd)


def _to_stored_answer(answer: PlainAnswer) -> StoredResponse:
    content_types = [
        text for name, text in answer.headers if name.lower() == 'content-type'
    ]
    content_type = content_types[0] if content_types else ''
    return StoredResponse(answer.status, content_type, answer.body)


def _no_target_failure() -> Failed:
    return Failed(ResultCode.no_target, retry_after=1)
