"""Log the outcome of each request and count them for metrics."""

from collections import Counter

from mintlanding.core.logs import Logger, describe_exception
from mintlanding.node.clock import boot_seconds
from mintlanding.node.request_plan import RequestPlan
from mintlanding.node.view import FleetView
from mintlanding.traffic.header_fields import CallerFields

# Upper bounds of the latency histogram's buckets in seconds.
_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


class RequestLog:
    """Log how requests ended and why, and keep counts and latencies."""

    def __init__(self) -> None:
        """Start with empty counts."""
        self.outcomes: Counter[tuple[str, str]] = Counter()
        self.buckets: Counter[float] = Counter()
        self.seconds: float = 0
        self.unforeseen_errors = 0
        self.configuration = 0
        self._logger = Logger('request')

    def refused(
        self,
        fields: CallerFields,
        status: int,
        reason: str,
        retry_after: float,
        view: FleetView,
    ) -> None:
        """Log a request that was refused without an attempt."""
        self.outcomes[('', str(status))] += 1
        version = 0 if view.config is None else view.config.version
        self._logger.info(
            'Request refused.',
            request=fields.request_id,
            status=status,
            reason=reason,
            retry_after=round(retry_after, 2),
            configuration=version,
            age=_age(view),
        )

    def log_accepted_late(
        self, plan: RequestPlan, ends_in: float, deadline_in: float
    ) -> None:
        """Log a request that was accepted in a planned stop.

        Both are in seconds from now: the end of the stop and the time by which
        the response is due.
        """
        self._logger.info(
            'Request accepted in a planned stop.',
            request=plan.fields.request_id,
            route=plan.route.name,
            ends_in=round(ends_in, 3),
            deadline_in=round(deadline_in, 3),
        )

    def log_failed_attempt(
        self, plan: RequestPlan, outcome: str, left: float
    ) -> None:
        """Log an attempt that gave no response to pass on."""
        self._logger.info(
            'Attempt failed.',
            request=plan.fields.request_id,
            digest=plan.digest,
            target=plan.target,
            through=plan.through,
            build=plan.build,
            adapter=plan.fields.adapter.adapter,
            parts=plan.shared_parts,
            has_events=plan.has_events,
            limit=plan.limit,
            outcome=outcome,
            reason=plan.reason,
            left=round(left, 3),
            has_caller=not plan.req.is_disconnected,
        )

    def log_unforeseen_error(
        self, request_id: bytes, target: str, exc: Exception
    ) -> None:
        """Log and count an exception that no code on a request's way expects.

        `target` is empty if the request was not sent.
        """
        self.unforeseen_errors += 1
        self._logger.error(
            'Request handling failed.',
            request=request_id.decode('latin-1'),
            target=target,
            **describe_exception(exc),
        )

    def log_pause(self, plan: RequestPlan, seconds: float) -> None:
        """Log that a target wants no requests for a number of seconds."""
        self._logger.info(
            'Target asked for a pause.',
            request=plan.fields.request_id,
            target=plan.target,
            seconds=round(seconds, 2),
        )

    def ended(self, plan: RequestPlan, outcome: str, now: float) -> None:
        """Log the end of a request that was accepted for routing."""
        seconds = now - plan.req.arrived
        self.outcomes[(plan.route.name, outcome)] += 1
        self.seconds += seconds
        for bound in _BUCKETS:
            if seconds <= bound:
                self.buckets[bound] += 1
        self._logger.info(
            'Request ended.',
            request=plan.fields.request_id,
            digest=plan.digest,
            route=plan.route.name,
            outcome=outcome,
            target=plan.target,
            through=plan.through,
            build=plan.build,
            entry=plan.entry,
            view_age=round(plan.view_age, 2),
            began_at_build=plan.began_at_build or '',
            resumes=plan.fields.resumes,
            adapter=plan.fields.adapter.adapter,
            service=plan.service.name,
            has_engine=plan.service.engine is not None,
            workspace=_workspace(plan),
            priority=plan.priority,
            prompt_tokens=plan.demand.prompt_tokens,
            output_tokens=plan.demand.output_tokens,
            objective=plan.route.objective,
            deadline=round(plan.deadline - plan.req.arrived, 3),
            parts=plan.shared_parts,
            has_events=plan.has_events,
            limit=plan.limit,
            sends=plan.sends,
            runs=plan.runs,
            framing=plan.framing,
            partial_event=plan.events.partial_bytes,
            waited=round(plan.waited, 3),
            seconds=round(seconds, 3),
            retry_after=round(plan.retry_after, 2),
            configuration=self.configuration,
            reason='' if outcome == 'served' else plan.reason,
            has_caller=not plan.req.is_disconnected,
        )

    def render(self) -> list[str]:
        """Return counts and histogram in the Prometheus text format."""
        lines = ['# TYPE mintlanding_requests_total counter']
        lines.extend(
            'mintlanding_requests_total'
            f'{{route="{route}",outcome="{outcome}"}} {count}'
            for (route, outcome), count in sorted(self.outcomes.items())
        )
        lines.append('# TYPE mintlanding_unforeseen_errors_total counter')
        lines.append(
            f'mintlanding_unforeseen_errors_total {self.unforeseen_errors}'
        )
        total = sum(self.outcomes.values())
        lines.append('# TYPE mintlanding_request_seconds histogram')
        lines.extend(
            f'mintlanding_request_seconds_bucket{{le="{bound}"}} '
            f'{self.buckets[bound]}'
            for bound in _BUCKETS
        )
        lines.append(
            f'mintlanding_request_seconds_bucket{{le="+Inf"}} {total}',
        )
        lines.append(f'mintlanding_request_seconds_sum {self.seconds:.3f}')
        lines.append(f'mintlanding_request_seconds_count {total}')
        return lines


def _workspace(plan: RequestPlan) -> str:
    return '' if plan.workspace is None else plan.workspace.name


def _age(view: FleetView) -> float:
    return round(boot_seconds() - view.fresh_at, 2)
