"""Find route, workspace, service, deadline and quota of a request."""

import asyncio
import random
from dataclasses import dataclass

from mintlanding.http1.server import CallerRequest
from mintlanding.node.clock import boot_seconds, loop_seconds
from mintlanding.node.quarantines import Quarantines
from mintlanding.node.request_plan import Refusal, RequestPlan
from mintlanding.node.retry_after import RetryAfter
from mintlanding.node.send_gate import STOPPING_REASON, SendGate
from mintlanding.node.settings import NodeSettings
from mintlanding.node.view import FleetView
from mintlanding.traffic.header_fields import CallerFields
from mintlanding.traffic.homes import home_regions
from mintlanding.traffic.models import Demand
from mintlanding.traffic.quotas import FleetQuotas

# Seconds that a request waits for the first configuration; reading the store
# takes a fraction of that.
_CONFIG_TIMEOUT = 0.15
_CONFIG_POLL_SECONDS = 0.01
# Requests that are under way with the same id are few.
_MARK_BITS = 32


@dataclass(slots=True)
class RequestPlanner:
    """What the plan of a request depends on."""

    cfg: NodeSettings
    view: FleetView
    gate: SendGate
    quarantines: Quarantines
    quotas: FleetQuotas
    retry_after: RetryAfter
    rnd: random.Random

    async def wait_for_config(self) -> None:
        """Wait for the first configuration after a restart."""
        deadline = loop_seconds() + _CONFIG_TIMEOUT
        while self.view.config is None and loop_seconds() < deadline:
            await asyncio.sleep(_CONFIG_POLL_SECONDS)

    def plan(
        self, req: CallerRequest, fields: CallerFields
    ) -> RequestPlan | Refusal:
        """Return the plan of a request, or why it is refused."""
        view = self.view
        if view.config is None:
            return Refusal(
                503, 'configuration missing', self.retry_after.seconds()
            )
        path = req.target.partition(b'?')[0].decode('latin-1')
        if not fields.request_id or not path.startswith('/'):
            return Refusal(400, 'request id or path missing')
        route = view.route(fields.host, path)
        if route is None:
            return self._refuse_unknown('no route', 404)
        workspace = None
        if not route.is_public and view.config.workspaces:
            workspace = view.workspace(fields.key)
            if workspace is None:
                return self._refuse_unknown('no such key', 401)
        service = view.choose_service(route, self.rnd)
        if service is None:
            return Refusal(503, 'no service', self.retry_after.seconds())
        wanted = route.timeout
        if fields.deadline is not None:
            wanted = min(wanted, fields.deadline)
        deadline = req.arrived + wanted - self.cfg.relay.response_margin
        plan = RequestPlan(
            req,
            fields,
            route,
            workspace,
            service,
            deadline,
            fields.demand or Demand(),
            self.quarantines.digest(view.fleet_key, fields, req),
            homes=home_regions(route, workspace),
            mark=f'{self.rnd.getrandbits(_MARK_BITS):08x}',
        )
        if self.gate.planned_stop.refuses(plan.deadline):
            retry_after = self.cfg.relay.isolated_retry_after
            return Refusal(503, STOPPING_REASON, retry_after)
        barrier = self.gate.refusal(plan)
        if barrier is not None:
            return Refusal(503, barrier.reason, barrier.retry_after)
        return self._charge_quota(plan)

    def _refuse_unknown(self, reason: str, status: int) -> Refusal:
        """Refuse as unknown, or as retryable by an old configuration."""
        age = boot_seconds() - self.view.fresh_at
        if age > self.cfg.bounds.contact + self.cfg.bounds.apply:
            return Refusal(
                503,
                f'{reason} in an old configuration',
                self.retry_after.seconds(),
            )
        return Refusal(status, reason)

    def _charge_quota(self, plan: RequestPlan) -> RequestPlan | Refusal:
        workspace = plan.workspace
        if workspace is None:
            return plan
        amount = 1.0
        if workspace.counts_tokens:
            amount = float(plan.demand.total or workspace.plain_tokens)
        wait = self.quotas.admit(workspace, amount, boot_seconds())
        if wait > 0:
            return Refusal(429, f'quota of {workspace.name} exceeded', wait)
        plan.charged = amount
        return plan
