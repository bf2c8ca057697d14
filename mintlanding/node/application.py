"""The process of one instance: its components, their start and stop."""

import asyncio
import random
import resource
from typing import Self

from mintlanding.byte_budget.budget import ByteBudget
from mintlanding.coordination.transactional_store import TransactionalStore
from mintlanding.core.application import Application
from mintlanding.http1.client import Address
from mintlanding.http1.models import ResponseHead
from mintlanding.http1.server import CallerRequest, CallerServer
from mintlanding.links.mesh import Reply
from mintlanding.links.messages import Message
from mintlanding.node.admissions import Admissions
from mintlanding.node.clock import boot_seconds
from mintlanding.node.codec import Codec
from mintlanding.node.limit_keeper import LimitKeeper
from mintlanding.node.membership import Membership
from mintlanding.node.metrics import (
    render_budget,
    render_capacity,
    render_metrics,
)
from mintlanding.node.origin_records import OriginRecords
from mintlanding.node.path_server import PathServer
from mintlanding.node.quarantine_records import QuarantineRecords
from mintlanding.node.relay import Relay
from mintlanding.node.settings import NodeSettings
from mintlanding.node.stewards import Stewards
from mintlanding.node.store_watcher import StoreWatcher
from mintlanding.node.stream_origins import StreamOrigins
from mintlanding.node.view import FleetView, Records
from mintlanding.residency.messages import (
    AdmissionEnd,
    AdmissionReply,
    GrantOutcome,
)
from mintlanding.traffic.reach import FleetReach

_UPKEEP_SECONDS = 0.25
# Seconds between looks at which members are silent.
REACH_SECONDS = 0.1
# Seconds after the signal for which connections are still accepted: the load
# balancer removes an instance after two failed checks, a second apart.
_ACCEPT_SECONDS = 2.6
# Seconds of the grace period that are reserved for closing.
_CLOSING_SECONDS = 0.6
_POLL_SECONDS = 0.1
# Connections to each of the ports for readiness and metrics.
_OPERATOR_CONNECTIONS = 16
# Least seconds between statuses sent because of what targets did.
_SHARE_SECONDS = 0.2
# Seconds between checks for the first configuration.
_START_SECONDS = 0.05


class NodeApplication:
    """The components of an instance and their connections."""

    def __init__(
        self,
        cfg: NodeSettings,
        store: TransactionalStore,
        records: Records,
        codec: Codec,
    ) -> None:
        """Create the components without starting them."""
        rnd = random.Random()
        self.application = Application('node')
        self.view = FleetView(
            records,
            lapse_grace=cfg.fleet.lapse_grace,
        )
        self._cfg = cfg
        self._store = store
        self._store_watcher = StoreWatcher(store, self.view, cfg.fleet, rnd)
        self._membership = Membership(cfg, store, self.view, rnd)
        self._limits = LimitKeeper(cfg, self.view, self._membership, rnd)
        self._stewards = Stewards(
            cfg,
            self.view,
            self._membership,
            codec,
            self._limits,
            rnd,
        )
        self._admissions = Admissions(
            cfg,
            self.view,
            self._membership,
            self._stewards,
            self._limits,
        )
        self._origins = StreamOrigins(cfg, self.view, self._membership)
        self.relay = Relay(
            cfg,
            self.view,
            self._admissions,
            self._origins,
            self._limits,
            codec,
            rnd,
        )
        self._quarantine_records = QuarantineRecords(
            store,
            self.view,
            self._membership,
            self.relay.quarantines.parts,
            self.relay.quarantines.requests,
        )
        self._origin_records = OriginRecords(
            cfg, store, self.view, self._origins
        )
        self._budget = ByteBudget.from_config(cfg.process)
        self._front = CallerServer.from_config(
            self.relay.handle, 'front', self._budget
        )
        self._ready = CallerServer.from_config(
            self._answer_ready, 'ready', self._budget
        )
        self._metrics = CallerServer.from_config(
            self._answer_metrics, 'metrics', self._budget
        )
        self._front.max_connections = cfg.process.caller_connections(
            resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        )
        for each in (self._ready, self._metrics):
            # Within the reserve of descriptors.
            each.max_connections = _OPERATOR_CONNECTIONS
            each.serves_operators = True
        self._paths = PathServer(
            self._resolve_target, self._learn_from_head, cfg.client
        )
        self._paths.draw_on(self._budget, self._front.relieve)
        self._codec = codec
        self._is_ready = False
        self._reach = FleetReach()
        # When a status was last sent because of what a target did.
        self._shared_at = float('-inf')
        self._connect_components()

    @classmethod
    def from_config(
        cls,
        cfg: NodeSettings,
        store: TransactionalStore,
        records: Records,
        codec: Codec,
    ) -> Self:
        """Create the components and register the life-cycle hooks."""
        node = cls(cfg, store, records, codec)
        node.application.on_start(node.start)
        node.application.on_drain(node.drain)
        node.application.on_stop(node.stop)
        return node

    async def start(self) -> None:
        """Listen and watch the store; become ready once it has been read."""
        facts = self._cfg.facts
        await self._front.start(*facts.front)
        await self._ready.start(*facts.ready)
        await self._metrics.start(facts.host, facts.metrics_port)
        supervise = self.application.supervise
        supervise('store', self._store_watcher.run, is_vital=True)
        supervise('lease', self._membership.run_lease)
        supervise('join', self._join, is_vital=True)

    async def drain(self) -> None:
        """Announce the stop, finish requests and close idle connections."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        self._is_ready = False
        self._front.is_draining = True
        end = started + self._cfg.bounds.grace - _CLOSING_SECONDS
        self.relay.planned_stop.ends_at = end
        leaving = asyncio.ensure_future(self._membership.leave())
        logger = self.application.logger
        logger.info(
            'Planned stop begins.',
            requests=self.relay.requests_under_way,
            seconds=round(end - started, 2),
        )
        while loop.time() < end:
            if loop.time() > started + _ACCEPT_SECONDS:
                was_listening = self._front.is_listening
                self._front.close_listener()
                self._front.close_idle()
                # What was accepted last is not among the connections yet.
                if not self._is_used and not was_listening:
                    break
            await asyncio.sleep(_POLL_SECONDS)
        logger.info(
            'Planned stop ends requests.',
            requests=self.relay.requests_under_way,
            seconds=round(loop.time() - started, 2),
        )
        await self.relay.end_requests()
        await asyncio.gather(leaving, return_exceptions=True)

    @property
    def _is_used(self) -> bool:
        """Tell whether anything is under way that should end first."""
        # Requests that have run are finished also after their callers left.
        is_serving = self._front.connections or self.relay.requests_under_way
        # Members' requests under way here end as the own ones do.
        return bool(is_serving or self._paths.sides)

    async def stop(self) -> None:
        """Deregister and close all components."""
        await self._membership.deregister()
        self._front.stop()
        self._ready.stop()
        self._metrics.stop()
        self._stewards.stop()
        self._limits.stop()
        self._paths.stop()
        self.relay.stop()
        if self._membership.mesh is not None:
            self._membership.mesh.stop()

    def _connect_components(self) -> None:
        sources = self._membership.status_exchange.sources
        sources.digests = self._stewards.digests
        sources.admitted = self.relay.quotas.counters
        sources.levels = self.relay.quotas.levels
        sources.in_use = self.relay.reservations.in_use
        sources.suspects = self.relay.quarantines.parts.reports
        sources.requests = self.relay.quarantines.requests.reports
        sources.leaving = self.view.leaving_targets
        sources.limits = self._limits.table.reports
        sources.brittle = self._limits.brittle.reports
        sources.unreached = self._limits.unreached
        sources.store_contact = self.view.store_contact.uninterrupted
        listeners = self._membership.status_exchange.listeners
        listeners.on_digests = self._admissions.record_digests
        listeners.on_admitted = self._charge
        listeners.on_levels = self.relay.quotas.converge
        listeners.on_adapter_use = self._stewards.record_adapter_use
        listeners.on_requests = self.relay.quarantines.requests.merge
        self.relay.crash_watch.on_recurrence = self._share_at_once
        listeners.on_leaving = self.view.mark_leaving
        listeners.on_limits = self._limits.merge
        listeners.on_brittle = self._limits.merge_brittle
        self._limits.on_brittle = self._share_at_once
        self._limits.departed = self._reach.departed
        self._limits.on_change = self._stewards.update_limits
        listeners.on_suspects = self.relay.quarantines.parts.merge
        listeners.on_store_contact = self._record_store_contact
        listeners.on_new_incarnation = self._admissions.notify_waiters
        self._stewards.on_steward_start = self._admissions.notify_waiters
        self._membership.on_message = self._receive
        self._membership.on_store_update = self._store_watcher.apply_update
        self._origins.catch_up = self._store_watcher.catch_up
        self._membership.on_authority = self._stewards.update
        self._membership.on_newer_era = self._store_watcher.read_soon
        self._store.era.listeners.append(self._membership.begin_era)
        self._store_watcher.is_reader = self._membership.is_reader
        self._store_watcher.forward = self._membership.forward
        ownership = self._membership.ownership
        ownership.unreachable = self._unreachable
        ownership.has_order_under_way = self._stewards.has_order_under_way
        ownership.cut_targets = self.relay.connector.cut_targets
        self._stewards.on_unreachable = self.relay.connector.examine
        self._membership.is_cut_off = self.relay.connector.is_cut_off
        self.view.listeners.append(self._changed)

    async def _join(self) -> None:
        """Join the fleet once the store's records are known."""
        while not self.view.is_complete:
            await asyncio.sleep(_START_SECONDS)
        await self._membership.ensure_fleet_key()
        facts = self._cfg.facts
        mesh = self._membership.open_mesh()
        await mesh.start(facts.host, facts.peer_port)
        self._membership.update_members()
        supervise = self.application.supervise
        supervise(
            'statuses', self._membership.run_status_exchange, is_vital=True
        )
        supervise('claims', self._membership.run_claims)
        supervise('stewards', self._stewards.run)
        supervise('admissions', self._admissions.run)
        supervise('quarantines', self._quarantine_records.run)
        supervise('origins', self._origin_records.run)
        supervise('upkeep', self._upkeep)
        supervise('paths', self._open_paths)
        supervise('probes', self.relay.connector.run)
        supervise('quotas', self._share_quotas)
        self._is_ready = True
        self.application.logger.info('Ready.')

    async def _open_paths(self) -> None:
        """Listen for members that do not reach a target."""
        facts = self._cfg.facts
        if facts.path_port:
            await self._paths.start(
                facts.host, facts.path_port, self.view.fleet_key
            )

    def _resolve_target(self, name: str, incarnation: int) -> Address | str:
        """Return the address of a target, or why members get no path to it."""
        if self._front.is_draining:
            return 'the member stops'
        target = self.view.targets.get(name)
        if target is None or target.incarnation != incarnation:
            return f'no target of incarnation {incarnation}'
        if target.is_leaving:
            return 'it leaves'
        if self.view.evacuated.is_evacuated(target.zone):
            return 'its zone is evacuated'
        if self.relay.pauses.wait(target.target, boot_seconds()):
            return 'it asked for a pause'
        if self.relay.connector.paths.is_cut(target.key):
            return 'it is reached through other members only'
        return target.address

    def _learn_from_head(
        self, name: str, incarnation: int, head: ResponseHead
    ) -> None:
        """Learn from a response to a request that a member has sent."""
        response = self._codec.read_response(head, '')
        if not response.is_from(name):
            return
        if response.is_leaving:
            self.view.mark_leaving((name, incarnation))
        if response.pause:
            self.relay.pauses.record(name, response.pause, boot_seconds())

    def _unreachable(self) -> frozenset[str]:
        """Return the workers that this instance does not reach itself."""
        cut = self.relay.connector.cut_targets()
        return self._stewards.unreachable() | cut

    async def _upkeep(self) -> None:
        while True:
            now = boot_seconds()
            self.view.remove_lapsed(now)
            self.relay.prune()
            self._limits.update()
            reachable, members = self._membership.reach(now)
            self.relay.budget.members = members
            self.relay.retry_after.is_isolated = reachable * 2 <= members
            await asyncio.sleep(_UPKEEP_SECONDS)

    async def _share_quotas(self) -> None:
        """Leave to silent members their share of the quotas."""
        while True:
            now = boot_seconds()
            self.relay.quotas.set_reachable(
                *self._reach.update(
                    self._membership.contacts(now),
                    self._membership.status_exchange.interval,
                    now,
                )
            )
            await asyncio.sleep(REACH_SECONDS)

    def _share_at_once(self) -> None:
        """Tell the others at once, before callers come to them."""
        now = boot_seconds()
        if now < self._shared_at + _SHARE_SECONDS:
            return
        self._shared_at = now
        self._membership.status_exchange.send_status(now)

    def _record_store_contact(self, seconds: float, now: float) -> None:
        self.view.store_contact.record_member(seconds, now)
        self.view.remove_lapsed(now)

    def _changed(self, topic: str) -> None:
        handlers = {
            'config': self._apply_config,
            'cold targets': self._limits.update,
            'evacuations': self._apply_evacuations,
            'members': self._membership.update_members,
            'ownership': self._apply_ownership,
            'quarantines': self._quarantine_records.restore,
            'streams': self._origin_records.restore,
            'versions': self._stewards.update_versions,
        }
        handler = handlers.get(topic)
        if handler is not None:
            handler()

    def _apply_config(self) -> None:
        cfg = self.view.config
        if cfg is not None:
            self._front.set_limits(cfg.limits)
            self.relay.log.configuration = cfg.version

    def _apply_ownership(self) -> None:
        self._stewards.update()
        self._membership.notify_ownership()

    def _apply_evacuations(self) -> None:
        self._stewards.update()
        self._limits.update()

    def _charge(
        self,
        source: str,
        counters: dict[str, float],
        now: float,
    ) -> None:
        workspaces = self.view.workspaces()
        self.relay.quotas.add_remote_counters(source, counters, workspaces, now)

    def _receive(self, peer: str, message: Message, reply: Reply) -> None:
        if self._stewards.receive(peer, message, reply):
            return
        if self._origins.receive(peer, message, reply):
            return
        if not isinstance(message, AdmissionReply):
            return
        if self._admissions.receive(message) or not message.is_granted:
            return
        # The request for this admission has ended.
        worker = message.worker
        reply(AdmissionEnd(message.request_id, worker, GrantOutcome.unused))

    async def _answer_ready(self, req: CallerRequest) -> None:
        is_ready = self._is_ready and self.application.is_sound
        req.respond(200 if is_ready else 503, [], b'')

    async def _answer_metrics(self, req: CallerRequest) -> None:
        lines = render_metrics(
            self.relay,
            self._stewards,
            self._membership,
            self._limits,
            self._store_watcher,
        )
        if self._cfg.capacity.is_enabled:
            lines += render_capacity(self.relay, self._stewards)
        lines.extend(render_budget(self._front))
        text = '\n'.join((*lines, '')).encode()
        req.respond(
            200, [(b'content-type', b'text/plain; version=0.0.4')], text
        )
