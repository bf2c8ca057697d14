"""What crashes targets: parts of prompts and whole requests."""

from dataclasses import dataclass
from typing import Self

from mintlanding.http1.server import CallerRequest
from mintlanding.node.clock import boot_seconds
from mintlanding.node.request_plan import RequestPlan
from mintlanding.node.settings import NodeSettings
from mintlanding.quarantine.fingerprints import request_digest
from mintlanding.quarantine.ledger import CrashLedger
from mintlanding.quarantine.request_ledger import RequestLedger
from mintlanding.traffic.header_fields import CallerFields


@dataclass(slots=True)
class Quarantines:
    """The crashes by part of the prompt and by request."""

    parts: CrashLedger
    requests: RequestLedger

    @classmethod
    def from_config(cls, cfg: NodeSettings) -> Self:
        """Create empty ledgers."""
        parts = CrashLedger(cfg.quarantine)
        requests = RequestLedger(cfg.request_quarantine)
        parts.explained_elsewhere = requests.explained
        return cls(parts, requests)

    def digest(
        self, secret: bytes, fields: CallerFields, req: CallerRequest
    ) -> str:
        """Return what is equal for requests that are the same."""
        return request_digest(
            secret,
            fields.host.encode(),
            req.target,
            fields.key.encode(),
            req.body,
        )

    def refusal(self, plan: RequestPlan) -> tuple[str, float]:
        """Return why a request is refused, and for how many seconds.

        The reason is empty if the request may be sent.
        """
        now = boot_seconds()
        # A stream that brought events has shown that it is sound so far.
        is_repeat = plan.runs > 0 and not plan.has_events
        wait = self.requests.refusal(plan.digest, now, is_repeat=is_repeat)
        if wait > 0:
            return f'request {plan.digest} crashes targets', wait
        part, wait = self.parts.refusal(
            plan.shared_parts, now, is_repeat=plan.runs > 0
        )
        if not part:
            return '', 0
        return f'part {part} of the prompt crashes engines', wait

    def begin_trial(self, plan: RequestPlan) -> None:
        """Record that a request is sent, maybe as a trial."""
        self.requests.begin_trial(plan.digest)
        self.parts.begin_trial(plan.shared_parts)

    def record_answer(self, plan: RequestPlan, *, is_success: bool) -> None:
        """Record a complete response: its target has not crashed under it."""
        now = boot_seconds()
        self.requests.record_answer(plan.digest, now)
        if is_success:
            self.parts.record_answer(plan.shared_parts, now)
