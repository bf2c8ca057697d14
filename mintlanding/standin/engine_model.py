"""Model of an inference engine: slots, continuous batching, fencing."""

import asyncio
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import StrEnum

from mintlanding.standin.settings import StandinSettings

_MAX_EVENTS = 256
_PREFIX_LENGTH = 64
_MAX_PREFIXES = 512


class OrderResult(StrEnum):
    """Result of an order."""

    done = 'done'
    old_fencing = 'old_fencing'
    no_free_slot = 'no_free_slot'
    adapter_running = 'adapter_running'
    load_failed = 'load_failed'


@dataclass(slots=True)
class Run:
    """One request on the engine; `done` counts generated tokens."""

    request_id: str
    adapter: str
    workspace: str
    total: int
    priority: int
    order: int
    chat: bool
    done: int = 0
    cancelled: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def is_over(self) -> bool:
        """Return whether no more tokens will be generated."""
        return self.cancelled or self.done >= self.total

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()


class EngineModel:
    """State of one engine; `step` generates one token per running request."""

    def __init__(self, settings: StandinSettings, incarnation: int) -> None:
        """Create an engine without adapters, requests or cache."""
        self.incarnation = incarnation
        self.role = 'mixed'
        self.fencing = 0
        self.steps = 0
        self.batched = 0
        self.resident: set[str] = set()
        self.loading: set[str] = set()
        self.runs: OrderedDict[str, Run] = OrderedDict()
        self.cache: OrderedDict[str, bytes] = OrderedDict()
        self.events: deque[tuple[int, str, str]] = deque(maxlen=_MAX_EVENTS)
        self._settings = settings
        self._queued: list[Run] = []
        self._running: list[Run] = []
        self._last_order = 0
        self._last_event = 0

    @property
    def running(self) -> int:
        """Return the number of requests in the batch."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Return the number of requests that wait for the batch."""
        return len(self._queued)

    @property
    def is_idle(self) -> bool:
        """Return whether a step would do nothing."""
        return not self._queued and not self._running

    def accept(self, run: Run) -> None:
        """Queue a request for the batch."""
        self._last_order += 1
        run.order = self._last_order
        self.runs[run.request_id] = run
        self._queued.append(run)
        while len(self.runs) > self._settings.kept_streams:
            self.runs.popitem(last=False)

    def cache_prompt(self, adapter: str, prompt: str) -> None:
        """Cache the start of a prompt."""
        prefix = prompt[:_PREFIX_LENGTH].encode().hex()
        if not prefix:
            return
        self.store_prefix(prefix, b'kv:' + prefix.encode(), adapter)

    def store_prefix(self, prefix: str, block: bytes, adapter: str) -> None:
        """Cache a block; a full cache evicts the least recently stored one."""
        if prefix not in self.cache:
            self._publish('stored', prefix)
        self.cache[prefix] = block
        self.cache.move_to_end(prefix)
        if len(self.cache) > _MAX_PREFIXES:
            removed, _ = self.cache.popitem(last=False)
            self._publish('removed', removed)

    def step(self) -> None:
        """Fill the batch by priority, then generate one token per request."""
        self._queued = [run for run in self._queued if not run.cancelled]
        self._queued.sort(key=lambda run: (run.priority, run.order))
        free = self._settings.batch_limit - len(self._running)
        self._running.extend(self._queued[:free])
        del self._queued[:free]
        if self._running:
            self.steps += 1
            self.batched += len(self._running)
        for run in self._running:
            if not run.is_over:
                run.done += 1
            run.notify()
        self._running = [each for each in self._running if not each.is_over]

    def cancel(self, request_id: str) -> bool:
        """Cancel a request; return False if it is unknown or over."""
        run = self.runs.get(request_id)
        if run is None or run.is_over:
            return False
        run.cancelled = True
        run.notify()
        return True

    @property
    def busy(self) -> set[str]:
        """Return the adapters of queued and running requests."""
        unfinished = (*self._queued, *self._running)
        return {each.adapter for each in unfinished if not each.is_over}

    def is_running(self, adapter: str) -> bool:
        """Return whether a request of the adapter is queued or running."""
        return adapter in self.busy

    def check_fencing(self, fencing: int, ignore: bool) -> bool:
        """Accept a fencing token unless it is older than the newest one."""
        if not ignore and fencing < self.fencing:
            return False
        self.fencing = max(self.fencing, fencing)
        return True

    def has_free_slot(self) -> bool:
        """Return whether another adapter may be loaded."""
        used = len(self.resident) + len(self.loading)
        return used < self._settings.slots

    def _publish(self, kind: str, prefix: str) -> None:
        self._last_event += 1
        self.events.append((self._last_event, kind, prefix))
