"""Fake engines and a fake weight store on a virtual clock."""

import heapq
import itertools
from dataclasses import dataclass, field

LOAD_SECONDS = 0.25
FULL_SPEED_LOADS = 24
PERMIT_BURST = 3
STEP_SECONDS = 0.02
STEP_SECONDS_PER_REQUEST = 0.0002


class Loop:
    """A virtual clock that runs callbacks in order of their time."""

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._count = itertools.count()

    def at(self, when, call, *args):
        row = (max(when, self.now), next(self._count), call, args)
        heapq.heappush(self._heap, row)

    def after(self, seconds, call, *args):
        self.at(self.now + seconds, call, *args)

    def run(self, until):
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._heap)
            call(*args)


class Store:
    """Grants load permits from a token bucket.

    Urgent requests come first; otherwise the order of arrival decides.
    """

    def __init__(self, loop, rate):
        self.loop = loop
        self.rate = rate
        self.in_flight = 0
        self.granted = 0
        self._level = PERMIT_BURST
        self._filled = 0.0
        self._waiting = []
        self._count = itertools.count()
        self._is_scheduled = False

    def request_permit(self, urgent, callback):
        heapq.heappush(self._waiting, (not urgent, next(self._count), callback))
        self._serve()

    def return_permit(self):
        self._fill()
        self._level = min(PERMIT_BURST, self._level + 1)
        self.granted -= 1
        self._serve()

    def load_seconds(self):
        return LOAD_SECONDS * max(1, self.in_flight / FULL_SPEED_LOADS)

    def _fill(self):
        earned = (self.loop.now - self._filled) * self.rate
        self._level = min(PERMIT_BURST, self._level + earned)
        self._filled = self.loop.now

    def _serve(self):
        self._fill()
        while self._waiting and self._level >= 1 - 1e-9:
            self._level -= 1
            self.granted += 1
            _, _, callback = heapq.heappop(self._waiting)
            self.loop.after(0.001, callback)
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self.loop.after(
                (1 - self._level) / self.rate, self._serve_scheduled
            )

    def _serve_scheduled(self):
        self._is_scheduled = False
        self._serve()


@dataclass(eq=False)
class Call:
    """A request that runs on an engine until it has `token_count` tokens."""

    ref: object
    token_count: int
    done: object
    generated: int = 0


@dataclass(eq=False)
class Engine:
    """A fake engine with continuous batching.

    Each step generates one token for every running call.
    """

    loop: Loop
    store: Store
    slots: int
    batch_limit: int
    resident: set = field(default_factory=set)
    loading: set = field(default_factory=set)
    running: list = field(default_factory=list)
    incarnation: int = 1
    steps: int = 0
    request_steps: int = 0
    overruns: int = 0
    is_stepping: bool = False

    def load(self, ref, done):
        is_full = len(self.resident) + len(self.loading) >= self.slots
        if is_full or ref in self.resident:
            self.loop.after(0.001, done, False)
            return
        self.loading.add(ref)
        self.store.in_flight += 1
        seconds = self.store.load_seconds()
        self.loop.after(seconds, self._loaded, ref, self.incarnation, done)

    def _loaded(self, ref, incarnation, done):
        self.store.in_flight -= 1
        if incarnation != self.incarnation:
            return
        self.loading.discard(ref)
        self.resident.add(ref)
        done(True)

    def evict(self, ref, done):
        assert all(call.ref != ref for call in self.running)
        self.resident.discard(ref)
        self.loop.after(0.002, done, True)

    def call(self, call):
        if call.ref not in self.resident:
            self.loop.after(0.001, call.done, False)
            return
        self.running.append(call)
        self.overruns += len(self.running) > self.batch_limit
        if not self.is_stepping:
            self.is_stepping = True
            self.loop.after(STEP_SECONDS, self._step)

    def restart(self):
        self.incarnation += 1
        self.resident.clear()
        self.loading.clear()
        aborted, self.running = self.running, []
        for call in aborted:
            self.loop.after(0.001, call.done, False)

    def _step(self):
        if not self.running:
            self.is_stepping = False
            return
        self.steps += 1
        self.request_steps += len(self.running)
        finished = []
        for call in self.running:
            call.generated += 1
            if call.generated >= call.token_count:
                finished.append(call)
        for call in finished:
            self.running.remove(call)
            call.done(True)
        seconds = STEP_SECONDS + STEP_SECONDS_PER_REQUEST * len(self.running)
        self.loop.after(seconds, self._step)
