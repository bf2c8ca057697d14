"""Simulate stewards, queues and the choice of workers on a virtual clock."""

import bisect
import itertools
import random
from collections import defaultdict
from dataclasses import dataclass, field

from benchmarks.fakes import Call, Engine, Loop, Store
from mintlanding.core.results import ResultCode
from mintlanding.placement.index import WorkerIndex
from mintlanding.placement.messages import (
    AdapterRef,
    EngineReport,
    Priority,
    ReleaseRequest,
    ReserveReply,
    ReserveRequest,
)
from mintlanding.placement.models import (
    EvictOrder,
    FenceOrder,
    LoadOrder,
    RequestPermit,
    ReturnPermit,
    WorkerSpec,
)
from mintlanding.placement.policies import CHOICES
from mintlanding.placement.popularity import DecayedPopularity
from mintlanding.placement.steward import Steward

HOP_SECONDS = 0.001
TICK_SECONDS = 0.05
DIGEST_SECONDS = 0.1
REPORT_SECONDS = 0.5
WARMUP_SECONDS = 60
RUN_SECONDS = 200
FAULT_AT = 90
# The run continues for this time so that the last measured requests can end.
DRAIN_SECONDS = 20
MAX_ATTEMPTS = 3
RETRIED_CODES = (
    ResultCode.no_target,
    ResultCode.draining,
    ResultCode.queue_full,
)
NOT_LOADED = 'the adapter is not loaded yet'


@dataclass
class Tally:
    """Outcomes of the measured requests."""

    stalls: list = field(default_factory=list)
    waits: dict = field(default_factory=lambda: defaultdict(list))
    offered: dict = field(default_factory=lambda: defaultdict(float))
    served: dict = field(default_factory=lambda: defaultdict(float))
    refused: int = 0
    summaries_done: int = 0
    last_summary: float = 0


@dataclass(eq=False)
class Request:
    """One request of a caller."""

    workspace: int
    ref: AdapterRef
    tokens: int
    arrived: float
    priority: Priority = Priority.interactive
    deadline: float = 0
    attempts: int = 0


class Node:
    """One worker: its engine and its steward."""

    def __init__(self, run, number, store):
        site = run.site
        self.run, self.store = run, store
        self.name = f'worker-{number}'
        self.zone = number % site.zones
        self.engine = Engine(run.loop, store, site.slots, site.batch_limit)
        spec = WorkerSpec(
            self.name,
            f'zone-{self.zone}',
            site.slots,
            site.batch_limit,
            checks_fencing=number % 2 == 0,
        )
        self.steward = Steward.from_config(spec, run.policy.options(), run.rnd)
        self.pending = {}
        self.calls = {}
        self.execute(self.steward.take_over(1, 0))
        self.execute(self.steward.pins_complete(0))
        run.loop.after(TICK_SECONDS, self.tick)
        run.loop.after(0, self.report)

    def tick(self):
        self.execute(self.steward.tick(self.run.loop.now))
        self.run.loop.after(TICK_SECONDS, self.tick)

    def report(self):
        engine, loop = self.engine, self.run.loop
        message = EngineReport(
            self.name,
            engine.incarnation,
            resident=tuple(engine.resident),
            loading=tuple(engine.loading),
            busy=tuple({call.ref for call in engine.running}),
            running=len(engine.running),
        )
        lag = self.run.rnd.uniform(0.2, 1.0)
        loop.after(lag, self.handle, self.steward.engine_report, message)
        loop.after(REPORT_SECONDS, self.report)

    def handle(self, method, *args):
        self.execute(method(*args, self.run.loop.now))

    def execute(self, actions):
        loop, steward = self.run.loop, self.steward
        for action in actions:
            if isinstance(action, ReserveReply):
                callback = self.pending.pop(action.reservation_id)
                loop.after(HOP_SECONDS, callback, action)
            elif isinstance(action, RequestPermit):
                args = (steward.permit, action.order_id, True, 0)
                callback = lambda args=args: self.handle(*args)  # noqa: E731
                self.store.request_permit(action.urgent, callback)
            elif isinstance(action, ReturnPermit):
                if not action.used:
                    self.store.return_permit()
            else:
                loop.after(HOP_SECONDS, self.execute_order, action)

    def execute_order(self, action):
        engine, steward = self.engine, self.steward
        if isinstance(action, FenceOrder):
            self.handle(steward.fence_done, action.order_id, True)
        elif isinstance(action, LoadOrder):
            done = self.build_callback(steward.load_done, action)
            engine.load(action.ref, done)
        elif isinstance(action, EvictOrder):
            engine.evict(
                action.ref, self.build_callback(steward.evict_done, action)
            )

    def build_callback(self, method, action):
        return lambda ok: self.run.loop.after(
            HOP_SECONDS, self.handle, method, action.order_id, ok
        )


class Entry:
    """One entry with its own delayed view of the workers and its popularity."""

    def __init__(self, run, nodes):
        self.run, self.nodes = run, {node.name: node for node in nodes}
        self.index = WorkerIndex()
        self.choice = CHOICES.get(run.policy.choice)()
        self.popularity = DecayedPopularity.from_config()

    def set_reachable(self, nodes):
        for name in self.nodes.keys() - {node.name for node in nodes}:
            self.index.remove(name)
        self.nodes = {node.name: node for node in nodes}

    def send(self, request):
        run, now = self.run, self.run.loop.now
        if not request.attempts:
            self.popularity.note(request.ref, now, run.site.entries)
        candidates = self.choice.choose(
            request.ref, self.index, self.popularity, now
        )
        if not candidates:
            run.note_refused(request, None)
            return
        worker = candidates[min(request.attempts, len(candidates) - 1)].worker
        request.attempts += 1
        self.index.note_sent(worker)
        reservation_id = f'r{next(run.ids)}'
        left = request.deadline - now if request.deadline else run.site.wait
        message = ReserveRequest(
            reservation_id=reservation_id,
            worker=worker,
            workspace=f'workspace-{request.workspace}',
            ref=request.ref,
            tokens=request.tokens,
            weight=run.site.shares[request.workspace],
            priority=request.priority,
            wait=left,
        )
        node = self.nodes[worker]
        node.pending[reservation_id] = lambda reply: self.handle_reply(
            request, reply, node
        )
        steward = node.steward
        run.loop.after(HOP_SECONDS, node.handle, steward.reserve, message)

    def handle_reply(self, request, reply, node):
        if reply.code:
            self.handle_refusal(request, reply)
            return
        self.run.note_granted(request, reply)
        done = lambda ok: self.finish(request, reply, node, ok)  # noqa: E731
        call = Call(request.ref, request.tokens, done)
        self.run.loop.after(HOP_SECONDS, node.engine.call, call)

    def handle_refusal(self, request, reply):
        now = self.run.loop.now
        if request.deadline > now:
            self.run.loop.after(reply.retry_after, self.send, request)
        elif reply.code in RETRIED_CODES and request.attempts < MAX_ATTEMPTS:
            self.send(request)
        else:
            self.run.note_refused(request, reply)

    def finish(self, request, reply, node, ok):
        used = request.tokens if ok else 0
        message = ReleaseRequest(reply.reservation_id, node.name, used, ok)
        loop, steward = self.run.loop, node.steward
        loop.after(HOP_SECONDS, node.handle, steward.release, message)
        if ok:
            self.run.note_served(request)
        elif request.attempts < MAX_ATTEMPTS:
            self.send(request)
        else:
            self.run.note_refused(request, None)


class Run:
    """A run of one policy at one site in one scenario."""

    def __init__(self, site, scenario, policy, seed):
        self.site, self.scenario, self.policy = site, scenario, policy
        self.rnd = random.Random(seed)
        self.traffic = random.Random(seed + 1)
        self.loop, self.tally = Loop(), Tally()
        self.ids = itertools.count()
        self.store = Store(self.loop, site.loads_per_second)
        self.nodes = [
            Node(self, number, self.store) for number in range(site.workers)
        ]
        self.entries = [Entry(self, self.nodes) for _ in range(site.entries)]
        self._build_adapters()
        self.gossip()
        self.loop.after(0, self.send_next_request)
        self._schedule_faults()
        self.until = RUN_SECONDS + DRAIN_SECONDS
        self.start_counts = [(0, 0)] * len(self.nodes)
        self.loop.at(WARMUP_SECONDS, self.start_measuring)
        if scenario.summaries:
            self.loop.at(WARMUP_SECONDS, self.submit_summaries)

    def _build_adapters(self):
        site = self.site
        weights = [1 / rank**site.zipf for rank in range(1, site.adapters + 1)]
        self.cumulative = list(itertools.accumulate(weights))
        self.adapters = [
            AdapterRef(f'adapter-{number}', 'v1')
            for number in range(site.adapters)
        ]
        numbers = range(len(site.shares))
        self.owners = self.traffic.choices(
            numbers, site.shares, k=site.adapters
        )
        self.owned = {
            number: [
                rank
                for rank, owner in enumerate(self.owners)
                if owner == number
            ]
            for number in numbers
        }
        self.owned_weights = {
            number: list(itertools.accumulate(weights[r] for r in ranks))
            for number, ranks in self.owned.items()
        }

    def gossip(self):
        now = self.loop.now
        digests = [(n.name, n.steward.digest(now)) for n in self.nodes]
        for entry in self.entries:
            for name, digest in digests:
                if name in entry.nodes:
                    entry.index.put(digest)
        self.loop.after(DIGEST_SECONDS, self.gossip)

    def choose_adapter(self, workspace):
        cumulative = self.owned_weights[workspace]
        point = self.traffic.random() * cumulative[-1]
        position = bisect.bisect_left(cumulative, point)
        return self.adapters[self.owned[workspace][position]]

    def send_next_request(self):
        site, traffic = self.site, self.traffic
        shares = list(site.shares)
        if self.scenario.flood > 1 and self.loop.now >= FAULT_AT / 2:
            shares[1] *= self.scenario.flood
        rate = site.requests_per_second * self.scenario.load * sum(shares)
        workspace = traffic.choices(range(len(shares)), shares)[0]
        tokens = int(traffic.expovariate(1 / (site.mean_tokens - 20))) + 20
        request = Request(
            workspace,
            self.choose_adapter(workspace),
            min(tokens, 500),
            self.loop.now,
        )
        if self.is_measured(request):
            self.tally.offered[workspace] += request.tokens
        traffic.choice(self.entries).send(request)
        self.loop.after(traffic.expovariate(rate), self.send_next_request)

    def submit_summaries(self):
        site, traffic = self.site, self.traffic
        deadline = self.loop.now + site.summary_deadline
        latest = deadline - site.summary_tokens * 2 * 0.03
        for _ in range(site.summaries):
            workspace = traffic.choices(range(len(site.shares)), site.shares)[0]
            tokens = traffic.randint(50, 2 * site.summary_tokens - 50)
            request = Request(
                workspace,
                self.choose_adapter(workspace),
                tokens,
                self.loop.now,
                Priority.batch,
                latest,
            )
            traffic.choice(self.entries).send(request)
        self.until = deadline

    def start_measuring(self):
        engines = [node.engine for node in self.nodes]
        self.start_counts = [
            (each.steps, each.request_steps) for each in engines
        ]
        self.loads_before = self.store.granted

    def _schedule_faults(self):
        scenario, loop = self.scenario, self.loop
        if scenario.shift:
            loop.at(FAULT_AT, self.shift)
        if scenario.cold:
            loop.at(FAULT_AT, self.nodes[0].engine.restart)
        if scenario.outage:
            loop.at(FAULT_AT, self.lose_leases)
        if scenario.cut:
            loop.at(FAULT_AT, self.partition_zone)

    def shift(self):
        popular = self.adapters[: len(self.adapters) // 5]
        self.rnd.shuffle(popular)
        self.adapters[: len(popular)] = popular

    def lose_leases(self):
        for node in self.nodes:
            node.handle(node.steward.lease_lost)

    def partition_zone(self):
        inside = [node for node in self.nodes if node.zone == 1]
        outside = [node for node in self.nodes if node.zone != 1]
        share = self.store.rate / self.site.zones
        own_store = Store(self.loop, share)
        self.store.rate -= share
        for node in inside:
            node.store = node.engine.store = own_store
        for number, entry in enumerate(self.entries):
            entry.set_reachable(
                inside if number % self.site.zones == 1 else outside
            )

    def is_measured(self, request):
        starts = WARMUP_SECONDS
        if self.scenario.name not in {'light', 'steady', 'night'}:
            starts = FAULT_AT
        is_inside = starts <= request.arrived < RUN_SECONDS
        return is_inside and not request.deadline

    def note_granted(self, request, reply):
        if self.is_measured(request):
            self.tally.stalls.append(reply.stalled)
            waited = self.loop.now - request.arrived
            self.tally.waits[request.workspace].append(waited)

    def note_refused(self, request, reply):
        if not self.is_measured(request):
            return
        self.tally.refused += 1
        waited = self.loop.now - request.arrived
        is_stall = reply is not None and reply.detail == NOT_LOADED
        self.tally.stalls.append(waited if is_stall else 0)
        self.tally.waits[request.workspace].append(waited)

    def note_served(self, request):
        if request.deadline:
            self.tally.summaries_done += self.loop.now <= self.until
            self.tally.last_summary = self.loop.now
            if self.tally.summaries_done == self.site.summaries:
                self.until = self.loop.now
        elif self.is_measured(request):
            self.tally.served[request.workspace] += request.tokens

    def run(self):
        second = 0
        while second < self.until:
            second += 1
            self.loop.run(second)
        return self
