"""Streams that a caller resumes go on at the build that began them."""

from dataclasses import dataclass

from mintlanding.node.events import EventBuffer
from mintlanding.node.request_plan import RequestPlan
from mintlanding.node.stream_origins import StreamOrigins
from mintlanding.node.view import FleetView
from mintlanding.streams.messages import StreamOrigin


@dataclass(slots=True)
class StreamResumption:
    """What the origin of a stream is found by, and told to others with."""

    view: FleetView
    origins: StreamOrigins

    async def locate(self, plan: RequestPlan) -> bool:
        """Find the build that began a stream which the caller resumes.

        Return false if the stream cannot go on here; `plan.reason` says why.
        """
        route, fields = plan.route, plan.fields
        if not route.is_resumable or not fields.last_event:
            return True
        plan.events = EventBuffer(fields.last_event)
        origin = None
        if fields.resumes:
            origin = await self.origins.find(fields.resumes)
        if origin is not None:
            return self._continue_at(plan, origin)
        # Several services may share the route, and any may have begun it.
        if len(route.shares) == 1:
            service = plan.service.name
            plan.began_at_build = await self.origins.only_build(service)
        if plan.began_at_build is None:
            plan.reason = f'unknown origin of stream {fields.resumes!r}'
        return plan.began_at_build is not None

    def _continue_at(self, plan: RequestPlan, origin: StreamOrigin) -> bool:
        """Bind a request to the service and build that began its stream."""
        service = self.view.service(origin.service)
        if service is None or origin.service not in dict(plan.route.shares):
            plan.reason = (
                f'service {origin.service!r}, which began the stream, '
                f'is not on route {plan.route.name!r}'
            )
            return False
        plan.service = service
        plan.began_at_build = origin.build
        return True

    def announce(self, plan: RequestPlan) -> None:
        """Let other instances resume the stream if its caller goes there."""
        if plan.route.is_resumable and plan.began_at_build is None:
            self.origins.announce(_origin(plan))

    def confirm(self, plan: RequestPlan) -> None:
        """Record the build that has sent the first event of a stream."""
        if plan.began_at_build is not None:
            return
        plan.began_at_build = plan.build
        if plan.route.is_resumable:
            self.origins.confirm(_origin(plan))


def _origin(plan: RequestPlan) -> StreamOrigin:
    return StreamOrigin(
        plan.fields.request_id, plan.service.name, plan.build, plan.sends
    )
