"""Routers and clients of the targets that this entry knows."""

import random
from collections.abc import Collection, Sequence

from mintlanding.configuration.models import Change, Selector, Target
from mintlanding.configuration.resolver import Resolution
from mintlanding.core.clock import Clock
from mintlanding.core.http_client import HttpClient
from mintlanding.core.results import Outcome
from mintlanding.engines.client import EngineClient
from mintlanding.engines.models import TargetTimeouts
from mintlanding.engines.plain import PlainClient
from mintlanding.entry.view import EntryView
from mintlanding.placement.messages import AdapterRef, WorkerDigest
from mintlanding.placement.popularity import DecayedPopularity
from mintlanding.routing.models import (
    EngineRequest,
    PlainRequest,
    PlainTarget,
    TargetRoute,
    WorkerRoute,
)
from mintlanding.routing.plain import PlainRouter
from mintlanding.routing.workers import WorkerRouter

_ROUTED_KINDS = frozenset(('target', 'service', 'selector'))


class EntryTargets:
    """Choose targets and provide their clients.

    Updates of the view keep routers and clients current.
    """

    def __init__(
        self,
        view: EntryView,
        zone: str,
        clock: Clock,
        timeouts: TargetTimeouts,
    ) -> None:
        """Subscribe to `view` for an entry in `zone`."""
        self.workers = WorkerRouter.from_config(zone)
        self.plain = PlainRouter.from_config(zone)
        self.popularity = DecayedPopularity.from_config()
        self._view = view
        self._clock = clock
        self._timeouts = timeouts
        self._rnd = random.Random(zone)  # noqa: S311
        self._http = HttpClient.from_config()
        self._engines: dict[str, EngineClient] = {}
        self._plain_clients: dict[str, PlainClient] = {}
        view.on_change(self._on_changes)
        view.on_digest(self.workers.put_digest)
        view.on_member(self.workers.put_member)

    def choose_worker(
        self,
        pool: str,
        ref: AdapterRef,
        excluded: Collection[str],
    ) -> Outcome[WorkerRoute]:
        """Return the route to a worker and its steward for a request."""
        now = self._clock.monotonic()
        # Scaled by the members, as each entry sees a fraction of the requests.
        self.popularity.note(ref, now, max(1, len(self._view.members)))
        req = EngineRequest(ref, pool, frozenset(excluded))
        return self.workers.choose(req, self.popularity, now, self._rnd)

    def choose_plain(
        self,
        service: str,
        excluded: Collection[str],
        *,
        is_repeatable: bool,
    ) -> Outcome[TargetRoute]:
        """Return the target for a call of a plain service."""
        req = PlainRequest(service, frozenset(excluded), is_repeatable)
        return self.plain.choose(req, self._clock.monotonic(), self._rnd)

    def engine(self, worker: str) -> EngineClient | None:
        """Return the client of a worker, or None if the worker was removed."""
        target = self.find(worker)
        if target is None:
            self._engines.pop(worker, None)
            return None
        client = self._engines.get(worker)
        if client is None or client.url != target.url.rstrip('/'):
            client = EngineClient.from_config(
                target.url,
                self._timeouts,
                self._http,
            )
            self._engines[worker] = client
        return client

    def plain_client(self, route: TargetRoute) -> PlainClient:
        """Return the client of a plain target."""
        client = self._plain_clients.get(route.target)
        if client is None or client.url != route.url.rstrip('/'):
            client = PlainClient.from_config(
                route.url,
                self._timeouts,
                self._http,
            )
            self._plain_clients[route.target] = client
        return client

    def steward_address(self, worker: str) -> str:
        """Return the address of a worker's steward, empty if unknown."""
        digest: WorkerDigest | None = self._view.digests.get(worker)
        return digest.steward_address if digest else ''

    def is_current(self, worker: str, fencing: int) -> bool:
        """Return whether no newer steward of the worker is known here."""
        digest = self._view.digests.get(worker)
        return digest is None or digest.fencing <= fencing

    async def close(self) -> None:
        """Close the HTTP client."""
        await self._http.close()

    def find(self, name: str) -> Target | None:
        """Return a configured target, or None."""
        found = self._view.directory.get('target', name)
        return found if isinstance(found, Target) else None

    def _on_changes(self, changes: Sequence[Change]) -> None:
        if not any(change.kind in _ROUTED_KINDS for change in changes):
            return
        directory = self._view.directory
        targets = [
            each
            for each in directory.list('target')
            if isinstance(each, Target)
        ]
        engines = {
            each.name
            for each in directory.list('service')
            if getattr(each, 'engine', False)
        }
        self.plain.set_targets(
            PlainTarget(each.name, each.service, each.zone, each.url)
            for each in targets
            if each.service not in engines
        )
        for each in targets:
            self.plain.set_leaving(each.name, is_leaving=each.leaving)
        self.workers.set_pools(self._pools(targets, engines))
        for digest in self._view.digests.values():
            self.workers.put_digest(digest)

    def _pools(
        self,
        targets: Sequence[Target],
        engines: Collection[str],
    ) -> dict[str, frozenset[str]]:
        workers = [
            each
            for each in targets
            if each.service in engines and not each.leaving
        ]
        pools = {
            service: frozenset(
                each.name for each in workers if each.service == service
            )
            for service in engines
        }
        for selector in self._view.directory.list('selector'):
            if isinstance(selector, Selector) and selector.targets:
                pools.update(self._selected_pools(selector, workers, engines))
        return pools

    def _selected_pools(
        self,
        selector: Selector,
        workers: Sequence[Target],
        engines: Collection[str],
    ) -> dict[str, frozenset[str]]:
        matcher = self._view.resolver.compile_selector(selector).targets
        if matcher is None:
            return {}
        return {
            selected_pool(selector.name, service): frozenset(
                each.name
                for each in workers
                if each.service == service and matcher.matches(each.labels)
            )
            for service in engines
        }


def selected_pool(selector: str, service: str) -> str:
    """Return the pool name for a service's workers that match a selector."""
    return f'{service}?{selector}'


def pool_of(resolution: Resolution, model: str) -> str:
    """Return the pool name for a resolved request."""
    if resolution.targets is None:
        return resolution.service
    return selected_pool(model.partition(':')[2], resolution.service)
