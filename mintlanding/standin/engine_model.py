"""How a model engine behaves: slots, continuous batching, fencing."""

import asyncio
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import StrEnum

from mintlanding.standin.settings import StandinSettings

_EVENTS_KEPT = 256
_PREFIX_LENGTH = 64
_PREFIXES_KEPT = 512


class OrderResult(StrEnum):
    """What became of an order."""

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
        """Tell whether no more tokens will come."""
        return self.cancelled or self.done >= self.total

    def wake(self) -> None:
        """Let the readers look again."""
        self.changed.set()
        self.changed = asyncio.Event()


class EngineModel:
    """State of one engine; `step` generates one token for each in batch."""

    def __init__(self, settings: StandinSettings, incarnation: int) -> None:
        """Start cold."""
        self.incarnation = incarnation
        self.role = 'mixed'
        self.fencing = 0
        self.steps = 0
        self.batched = 0
        self.resident: set[str] = set()
        self.loading: set[str] = set()
        self.runs: OrderedDict[str, Run] = OrderedDict()
        self.cache: OrderedDict[str, bytes] = OrderedDict()
        self.events: deque[tuple[int, str, str]] = deque(maxlen=_EVENTS_KEPT)
        self._settings = settings
        self._waiting: list[Run] = []
        self._running: list[Run] = []
        self._order = 0
        self._event = 0

    @property
    def running(self) -> int:
        """Return the size of the batch."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Return how many requests wait for the batch."""
        return len(self._waiting)

    @property
    def is_idle(self) -> bool:
        """Tell whether a step would do nothing."""
        return not self._waiting and not self._running

    def accept(self, run: Run) -> None:
        """Queue a request for the batch."""
        self._order += 1
        run.order = self._order
        self.runs[run.request_id] = run
        self._waiting.append(run)
        while len(self.runs) > self._settings.kept_streams:
            self.runs.popitem(last=False)

    def remember_prefix(self, adapter: str, prompt: str) -> None:
        """Cache the start of a prompt and publish the event."""
        prefix = prompt[:_PREFIX_LENGTH].encode().hex()
        if not prefix:
            return
        self.store_prefix(prefix, b'kv:' + prefix.encode(), adapter)

    def store_prefix(self, prefix: str, block: bytes, adapter: str) -> None:
        """Put a block in the cache; the oldest goes when it is full."""
        if prefix not in self.cache:
            self._publish('stored', prefix)
        self.cache[prefix] = block
        self.cache.move_to_end(prefix)
        if len(self.cache) > _PREFIXES_KEPT:
            removed, _ = self.cache.popitem(last=False)
            self._publish('removed', removed)

    def step(self) -> None:
        """Fill the batch by priority and generate one token for each."""
        self._waiting = [run for run in self._waiting if not run.cancelled]
        self._waiting.sort(key=lambda run: (run.priority, run.order))
        free = self._settings.batch_limit - len(self._running)
        self._running.extend(self._waiting[:free])
        del self._waiting[:free]
        if self._running:
            self.steps += 1
            self.batched += len(self._running)
        for run in self._running:
            if not run.is_over:
                run.done += 1
            run.wake()
        self._running = [each for each in self._running if not each.is_over]

    def cancel(self, request_id: str) -> bool:
        """End a request; false when it is unknown or over."""
        run = self.runs.get(request_id)
        if run is None or run.is_over:
            return False
        run.cancelled = True
        run.wake()
        return True

    @property
    def busy(self) -> set[str]:
        """Return the adapters with requests that wait or run."""
        active = (*self._waiting, *self._running)
        return {each.adapter for each in active if not each.is_over}

    def is_running(self, adapter: str) -> bool:
        """Tell whether a request of the adapter waits or runs."""
        return adapter in self.busy

    def check_fencing(self, fencing: int, ignore: bool) -> bool:
        """Accept an order's number unless it is below one seen before."""
        if not ignore and fencing < self.fencing:
            return False
        self.fencing = max(self.fencing, fencing)
        return True

    def has_free_slot(self) -> bool:
        """Tell whether another adapter may be loaded."""
        used = len(self.resident) + len(self.loading)
        return used < self._settings.slots

    def _publish(self, kind: str, prefix: str) -> None:
        self._event += 1
        self.events.append((self._event, kind, prefix))
