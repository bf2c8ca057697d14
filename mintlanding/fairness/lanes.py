"""Start-time fair queueing over workspaces, for one priority."""

import heapq

from mintlanding.fairness.models import Flow, Group, QueuedRequest, oldest
from mintlanding.placement.messages import AdapterRef

# Beyond this number, outdated tags of idle workspaces are dropped in bulk.
_MAX_IDLE_TAGS = 4096


class Lane:
    """Serve the ready flow with the lowest virtual start time, its tag.

    `ready` is the set of ready adapters, shared by all lanes. Heap rows may be
    stale: a row is valid only if it matches the tag of its flow.
    """

    def __init__(self, ready: set[AdapterRef]) -> None:
        """Start empty at virtual time 0."""
        self.flows: dict[str, Flow] = {}
        self.tokens: float = 0
        self.missing_refs: set[AdapterRef] = set()
        self._ready = ready
        self._virtual: float = 0
        self._idle_tags: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []
        self._tags: list[tuple[float, str]] = []
        self._workspaces: dict[AdapterRef, set[str]] = {}
        self._weight: float = 0

    def add(self, item: QueuedRequest) -> None:
        """Append a request; an idle workspace restarts at the virtual time."""
        flow = self.flows.get(item.workspace)
        if flow is None:
            tag = self._idle_tags.pop(item.workspace, 0)
            self._advance()
            flow = Flow(item.workspace, max(tag, self._virtual))
            self.flows[item.workspace] = flow
            heapq.heappush(self._tags, (flow.tag, flow.workspace))
        else:
            self._weight -= flow.weight
        flow.add(item)
        self._weight += flow.weight
        self.tokens += item.tokens
        self._workspaces.setdefault(item.ref, set()).add(item.workspace)
        if item.ref not in self._ready:
            self.missing_refs.add(item.ref)
        elif len(flow.groups[item.ref]) == 1:
            self._push_ready(flow, item.ref)

    def discard(self, item: QueuedRequest) -> None:
        """Remove a request from any position."""
        flow = self.flows[item.workspace]
        flow.discard(item)
        self.tokens -= item.tokens
        if item.ref in flow.groups:
            if item.ref in self._ready:
                self._push_ready(flow, item.ref)
        else:
            self._remove_ref(item)
        if not flow.order:
            self._remove_flow(flow)

    def charge(self, item: QueuedRequest) -> None:
        """Advance the tag of a workspace before its request is served."""
        self._advance_tag(self.flows[item.workspace], item.tokens / item.weight)

    def settle(self, item: QueuedRequest, used: float) -> None:
        """Correct the tag of a workspace to the tokens that a request used."""
        correction = (used - item.tokens) / item.weight
        flow = self.flows.get(item.workspace)
        if flow is not None:
            self._advance_tag(flow, correction)
        elif item.workspace in self._idle_tags:
            self._idle_tags[item.workspace] += correction

    def next_ready(self) -> QueuedRequest | None:
        """Return the request to serve next."""
        while self._heap:
            tag, workspace = self._heap[0]
            flow = self.flows.get(workspace)
            group = None
            if flow is not None and flow.tag == tag:
                group = self._ready_group(flow)
            if group is not None:
                return oldest(group)
            heapq.heappop(self._heap)
        return None

    def mark_ready(self, ref: AdapterRef) -> None:
        """Make the flows that need a now ready adapter eligible."""
        self.missing_refs.discard(ref)
        for workspace in sorted(self._workspaces.get(ref, ())):
            self._push_ready(self.flows[workspace], ref)

    def mark_missing(self, ref: AdapterRef) -> None:
        """Record that an adapter is no longer ready."""
        if ref in self._workspaces:
            self.missing_refs.add(ref)

    def missing_adapters(self) -> list[AdapterRef]:
        """Return adapters that are not ready, in loading order.

        The flow with the lowest tag goes first; among equals the one with the
        smallest backlog, so that a flooding workspace does not delay others.
        Within a flow, the adapter with the most requests goes first.
        """
        candidates = [
            (flow.tag, flow.backlog, -len(group), oldest(group))
            for flow in self.flows.values()
            for group in flow.missing_groups(self._ready)
        ]
        candidates.sort(key=_load_order)
        return list(
            dict.fromkeys(candidate[-1].ref for candidate in candidates)
        )

    def largest_backlog(self) -> Flow:
        """Return the flow with the most tokens per weight."""
        return max(
            self.flows.values(),
            key=lambda flow: flow.backlog,
        )

    def backlog_with(self, item: QueuedRequest) -> float:
        """Return the backlog of a workspace if a request were added."""
        flow = self.flows.get(item.workspace)
        queued = 0 if flow is None else flow.tokens
        return (queued + item.tokens) / item.weight

    def tokens_ahead(self, workspace: str, weight: float) -> float:
        """Return the tokens served before a new request of a workspace."""
        flow = self.flows.get(workspace)
        if flow is None:
            own, weights = 0.0, self._weight + weight
        else:
            own, weights = flow.tokens, self._weight
        return min(self.tokens, own * weights / weight)

    def _advance(self) -> None:
        """Move the virtual time to the lowest tag of the queued flows.

        A flow that waits for its adapter holds the virtual time back.
        Otherwise a flow that starts in the meantime would be queued behind
        everything that has been served.
        """
        while self._tags:
            tag, workspace = self._tags[0]
            flow = self.flows.get(workspace)
            if flow is not None and flow.tag == tag:
                self._virtual = max(self._virtual, tag)
                return
            heapq.heappop(self._tags)

    def _advance_tag(self, flow: Flow, amount: float) -> None:
        flow.tag += amount
        row = (flow.tag, flow.workspace)
        heapq.heappush(self._heap, row)
        heapq.heappush(self._tags, row)
        self._advance()

    def _ready_group(self, flow: Flow) -> Group | None:
        while flow.ready:
            sequence, ref = flow.ready[0]
            group = flow.groups.get(ref)
            is_current = group and oldest(group).sequence == sequence
            if is_current and ref in self._ready:
                return group
            heapq.heappop(flow.ready)
        return None

    def _push_ready(self, flow: Flow, ref: AdapterRef) -> None:
        group = flow.groups[ref]
        heapq.heappush(flow.ready, (oldest(group).sequence, ref))
        heapq.heappush(self._heap, (flow.tag, flow.workspace))

    def _remove_ref(self, item: QueuedRequest) -> None:
        workspaces = self._workspaces[item.ref]
        workspaces.discard(item.workspace)
        if not workspaces:
            self._workspaces.pop(item.ref)
            self.missing_refs.discard(item.ref)

    def _remove_flow(self, flow: Flow) -> None:
        self.flows.pop(flow.workspace)
        self._weight = self._weight - flow.weight if self.flows else 0
        self.tokens = self.tokens if self.flows else 0
        self._idle_tags[flow.workspace] = flow.tag
        self._advance()
        if len(self._idle_tags) > _MAX_IDLE_TAGS:
            self._idle_tags = {
                workspace: tag
                for workspace, tag in self._idle_tags.items()
                if tag > self._virtual
            }


def _load_order(
    candidate: tuple[float, float, int, QueuedRequest],
) -> tuple[float, float, int, int]:
    tag, backlog, size, item = candidate
    return tag, backlog, size, item.sequence
