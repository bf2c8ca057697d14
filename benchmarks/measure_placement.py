"""Drive stewards, queues and the choice of workers on a virtual clock."""

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
WARM_SECONDS = 60
RUN_SECONDS = 200
FAULT_AT = 90
# The run goes on so long, so that the last requests measured can end.
DRAIN_SECONDS = 20
TRIES = 3
RETRIED = (ResultCode.no_target, ResultCode.draining, ResultCode.queue_full)
NOT_LOADED = 'the adapter is not loaded yet'


@dataclass
class Tally:
    """What the callers saw."""

    stalls: list = field(default_factory=list)
    waits: dict = field(default_factory=lambda: defaultdict(list))
    offered: dict = field(default_factory=lambda: defaultdict(float))
    served: dict = field(default_factory=lambda: defaultdict(float))
    refused: int = 0
    summaries_done: int = 0
    last_summary: float = 0


@dataclass(eq=False)
class Request:
    """One caller's request."""

    workspace: int
    ref: AdapterRef
    tokens: int
    arrived: float
    priority: Priority = Priority.interactive
    deadline: float = 0
    tries: int = 0


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
        self.asked = {}
        self.calls = {}
        self.act(self.steward.take_over(1, 0))
        self.act(self.steward.pins_complete(0))
        run.loop.after(TICK_SECONDS, self.tick)
        run.loop.after(0, self.report)

    def tick(self):
        self.act(self.steward.tick(self.run.loop.now))
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
        loop.after(lag, self.event, self.steward.engine_report, message)
        loop.after(REPORT_SECONDS, self.report)

    def event(self, method, *args):
        self.act(method(*args, self.run.loop.now))

    def act(self, actions):
        loop, steward = self.run.loop, self.steward
        for action in actions:
            if isinstance(action, ReserveReply):
                answer = self.asked.pop(action.reservation_id)
                loop.after(HOP_SECONDS, answer, action)
            elif isinstance(action, RequestPermit):
                args = (steward.permit, action.order_id, True, 0)
                answer = lambda args=args: self.event(*args)  # noqa: E731
                self.store.ask(action.urgent, answer)
            elif isinstance(action, ReturnPermit):
                if not action.used:
                    self.store.give_back()
            else:
                loop.after(HOP_SECONDS, self.order, action)

    def order(self, action):
        engine, steward = self.engine, self.steward
        if isinstance(action, FenceOrder):
            self.event(steward.fence_done, action.order_id, True)
        elif isinstance(action, LoadOrder):
            done = self.answer(steward.load_done, action)
            engine.load(action.ref, done)
        elif isinstance(action, EvictOrder):
            engine.evict(action.ref, self.answer(steward.evict_done, action))

    def answer(self, method, action):
        return lambda ok: self.run.loop.after(
            HOP_SECONDS, self.event, method, action.order_id, ok
        )


class Entry:
    """One entry instance with its own lagging view and popularity."""

    def __init__(self, run, nodes):
        self.run, self.nodes = run, {node.name: node for node in nodes}
        self.index = WorkerIndex()
        self.choice = CHOICES.get(run.policy.choice)()
        self.popularity = DecayedPopularity.from_config()

    def reach(self, nodes):
        for name in self.nodes.keys() - {node.name for node in nodes}:
            self.index.remove(name)
        self.nodes = {node.name: node for node in nodes}

    def send(self, request):
        run, now = self.run, self.run.loop.now
        if not request.tries:
            self.popularity.note(request.ref, now, run.site.entries)
        found = self.choice.choose(
            request.ref, self.index, self.popularity, now
        )
        if not found:
            run.refuse(request, None)
            return
        worker = found[min(request.tries, len(found) - 1)].worker
        request.tries += 1
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
        node.asked[reservation_id] = lambda reply: self.take(
            request, reply, node
        )
        steward = node.steward
        run.loop.after(HOP_SECONDS, node.event, steward.reserve, message)

    def take(self, request, reply, node):
        if reply.code:
            self.refused(request, reply)
            return
        self.run.granted(request, reply)
        done = lambda ok: self.finish(request, reply, node, ok)  # noqa: E731
        call = Call(request.ref, request.tokens, done)
        self.run.loop.after(HOP_SECONDS, node.engine.call, call)

    def refused(self, request, reply):
        now = self.run.loop.now
        if request.deadline > now:
            self.run.loop.after(reply.retry_after, self.send, request)
        elif reply.code in RETRIED and request.tries < TRIES:
            self.send(request)
        else:
            self.run.refuse(request, reply)

    def finish(self, request, reply, node, ok):
        used = request.tokens if ok else 0
        message = ReleaseRequest(reply.reservation_id, node.name, used, ok)
        loop, steward = self.run.loop, node.steward
        loop.after(HOP_SECONDS, node.event, steward.release, message)
        if ok:
            self.run.served(request)
        elif request.tries < TRIES:
            self.send(request)
        else:
            self.run.refuse(request, None)


class Run:
    """One policy at one site in one scenario."""

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
        self.loop.after(0, self.arrive)
        self._schedule_faults()
        self.until = RUN_SECONDS + DRAIN_SECONDS
        self.marks = [(0, 0)] * len(self.nodes)
        self.loop.at(WARM_SECONDS, self.mark)
        if scenario.summaries:
            self.loop.at(WARM_SECONDS, self.submit_summaries)

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

    def draw(self, workspace):
        cumulative = self.owned_weights[workspace]
        spot = self.traffic.random() * cumulative[-1]
        place = bisect.bisect_left(cumulative, spot)
        return self.adapters[self.owned[workspace][place]]

    def arrive(self):
        site, traffic = self.site, self.traffic
        shares = list(site.shares)
        if self.scenario.flood > 1 and self.loop.now >= FAULT_AT / 2:
            shares[1] *= self.scenario.flood
        rate = site.requests_per_second * self.scenario.load * sum(shares)
        workspace = traffic.choices(range(len(shares)), shares)[0]
        tokens = int(traffic.expovariate(1 / (site.mean_tokens - 20))) + 20
        request = Request(
            workspace, self.draw(workspace), min(tokens, 500), self.loop.now
        )
        if self.measured(request):
            self.tally.offered[workspace] += request.tokens
        traffic.choice(self.entries).send(request)
        self.loop.after(traffic.expovariate(rate), self.arrive)

    def submit_summaries(self):
        site, traffic = self.site, self.traffic
        deadline = self.loop.now + site.summary_deadline
        latest = deadline - site.summary_tokens * 2 * 0.03
        for _ in range(site.summaries):
            workspace = traffic.choices(range(len(site.shares)), site.shares)[0]
            tokens = traffic.randint(50, 2 * site.summary_tokens - 50)
            request = Request(
                workspace,
                self.draw(workspace),
                tokens,
                self.loop.now,
                Priority.batch,
                latest,
            )
            traffic.choice(self.entries).send(request)
        self.until = deadline

    def mark(self):
        engines = [node.engine for node in self.nodes]
        self.marks = [(each.steps, each.request_steps) for each in engines]
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
            loop.at(FAULT_AT, self.cut)

    def shift(self):
        half = self.adapters[: len(self.adapters) // 5]
        self.rnd.shuffle(half)
        self.adapters[: len(half)] = half

    def lose_leases(self):
        for node in self.nodes:
            node.event(node.steward.lease_lost)

    def cut(self):
        inside = [node for node in self.nodes if node.zone == 1]
        outside = [node for node in self.nodes if node.zone != 1]
        share = self.store.rate / self.site.zones
        alone = Store(self.loop, share)
        self.store.rate -= share
        for node in inside:
            node.store = node.engine.store = alone
        for number, entry in enumerate(self.entries):
            entry.reach(inside if number % self.site.zones == 1 else outside)

    def measured(self, request):
        starts = WARM_SECONDS
        if self.scenario.name not in {'light', 'steady', 'night'}:
            starts = FAULT_AT
        is_inside = starts <= request.arrived < RUN_SECONDS
        return is_inside and not request.deadline

    def granted(self, request, reply):
        if self.measured(request):
            self.tally.stalls.append(reply.stalled)
            waited = self.loop.now - request.arrived
            self.tally.waits[request.workspace].append(waited)

    def refuse(self, request, reply):
        if not self.measured(request):
            return
        self.tally.refused += 1
        waited = self.loop.now - request.arrived
        is_stall = reply is not None and reply.detail == NOT_LOADED
        self.tally.stalls.append(waited if is_stall else 0)
        self.tally.waits[request.workspace].append(waited)

    def served(self, request):
        if request.deadline:
            self.tally.summaries_done += self.loop.now <= self.until
            self.tally.last_summary = self.loop.now
            if self.tally.summaries_done == self.site.summaries:
                self.until = self.loop.now
        elif self.measured(request):
            self.tally.served[request.workspace] += request.tokens

    def run(self):
        moment = 0
        while moment < self.until:
            moment += 1
            self.loop.run(moment)
        return self
