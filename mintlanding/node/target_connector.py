"""Connect to targets directly, or through a member where the path is cut."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Self

from mintlanding.core.exceptions import RequestNotSent
from mintlanding.core.logs import Logger
from mintlanding.http1.client import ClientConnection, ConnectionPool
from mintlanding.http1.models import ClientOptions
from mintlanding.node.membership import Membership
from mintlanding.node.path_client import PathClient, PathIdentity
from mintlanding.node.settings import NodeSettings
from mintlanding.node.view import FleetView
from mintlanding.paths.path_table import PathTable, TargetKey
from mintlanding.traffic.homes import Homes
from mintlanding.traffic.models import Target

# Seconds after which a direct connection that is not open yet is also tried
# through a member; several times what one takes within a region.
_HEDGE_SECONDS = 0.06
# Seconds for which a connection must stay open to show that a path works; some
# paths open connections and reset them.
_LASTING_SECONDS = 0.06
# Seconds for a probe of a cut path.
_PROBE_SECONDS = 0.4
# Seconds between looks for cut paths to probe, and probes at a time.
_PROBE_INTERVAL = 0.25
_MAX_PROBES = 4
# Seconds for an examination of a path, and until the next one of the same.
_EXAMINE_SECONDS = 1.0
_EXAMINE_INTERVAL = 0.5


_Attempt = asyncio.Task[ClientConnection]


@dataclass(slots=True)
class _Attempts:
    """Attempts to connect to a target, and the one that is used."""

    direct: _Attempt
    begun_at: float
    indirect: _Attempt | None = None
    chosen: _Attempt | None = None

    def in_order(self) -> list[_Attempt]:
        """Return the attempts that were begun, the direct one first."""
        if self.indirect is None:
            return [self.direct]
        return [self.direct, self.indirect]

    def unused(self) -> list[_Attempt]:
        """Return the attempts that are not used."""
        return [each for each in self.in_order() if each is not self.chosen]


class TargetConnector:
    """The ways to the targets, and what is known about them."""

    def __init__(
        self, client: PathClient, view: FleetView, options: ClientOptions
    ) -> None:
        """Take the paths through members, and the targets in the view."""
        self.paths = PathTable()
        self.pool = ConnectionPool(options)
        self._client = client
        self._view = view
        self._connect_timeout = options.connect_timeout
        self._tasks: set[asyncio.Task[None]] = set()
        # Targets whose paths are or were just examined.
        self._examined: set[TargetKey] = set()
        self._logger = Logger('paths')

    @classmethod
    def from_config(
        cls, cfg: NodeSettings, view: FleetView, membership: Membership
    ) -> Self:
        """Create a connector that asks the members for paths."""
        client = PathClient(
            lambda: PathIdentity(membership.instance, view.fleet_key),
            membership.path_helpers,
            cfg.client,
        )
        return cls(client, view, cfg.client)

    @property
    def opened(self) -> int:
        """Return how many connections went through a member."""
        return self._client.opened

    def cut_targets(self) -> frozenset[str]:
        """Return the targets that only other members reach."""
        return self.paths.cut_targets()

    def is_cut_off(self) -> bool:
        """Tell whether most targets are reached through members only."""
        keys = [each.key for each in self._view.targets.values()]
        return self.paths.is_cut_off(keys)

    async def acquire(
        self,
        target: Target,
        *,
        is_fresh: bool,
        seconds: float,
        request_id: str = '',
        homes: Homes = None,
    ) -> ClientConnection:
        """Return a connection to a target; raise RequestNotSent without one.

        `seconds` is the time left for the request, `homes` are the regions in
        which it may run.
        """
        if self.paths.is_cut(target.key):
            timeout = min(self._connect_timeout, seconds)
            return await self._client.open(
                target, timeout, seconds, request_id, homes
            )
        if not is_fresh and self.paths.may_reuse(target.key):
            conn = self.pool.take_idle(target.address)
            if conn is not None:
                return conn
        return await self._connect(target, seconds, request_id, homes)

    async def is_refused(self, target: Target, seconds: float) -> bool:
        """Tell whether a target refuses connections, by one to it.

        If members reach it, the path is at fault and not the target, unless it
        accepts again: it was down for a moment.
        """
        if self.paths.is_cut(target.key):
            return not await self._is_reached_by_member(target, seconds)
        exc = await self._fail_to_connect(target, seconds)
        if exc is None:
            return False
        is_refused = isinstance(exc.__cause__, ConnectionRefusedError)
        if not await self._is_reached_by_member(target, seconds):
            return is_refused
        begun_at = _now()
        if is_refused and await self._fail_to_connect(target, seconds) is None:
            return True
        self._record_indirect(target, begun_at, str(exc))
        return False

    def examine(self, target: Target) -> None:
        """Find out whether members reach a target that this instance does not.

        Orders take no path through a member; without requests of its own the
        holder of an engine learns of a cut path only here.
        """
        if target.key in self._examined or self.paths.is_cut(target.key):
            return
        self._examined.add(target.key)
        self._spawn(self._examine(target))

    async def run(self) -> None:
        """Probe the cut paths until cancelled."""
        while True:
            await asyncio.sleep(_PROBE_INTERVAL)
            targets = {each.key: each for each in self._view.targets.values()}
            self.paths.retain(targets)
            self._client.retain(targets.keys())
            due = self.paths.due_probes(_now(), _MAX_PROBES)
            await asyncio.gather(*(self._probe(targets[key]) for key in due))

    def stop(self) -> None:
        """Cancel the connection attempts in progress."""
        for task in tuple(self._tasks):
            task.cancel()
        self.pool.close()

    async def _connect(
        self,
        target: Target,
        seconds: float,
        request_id: str,
        homes: Homes = None,
    ) -> ClientConnection:
        """Connect directly; after a short while also through a member."""
        timeout = min(self._connect_timeout, seconds)
        direct = asyncio.create_task(
            self.pool.acquire(target.address, is_fresh=True, seconds=timeout)
        )
        attempts = _Attempts(direct, _now())
        try:
            await asyncio.wait((direct,), timeout=_HEDGE_SECONDS)
            if not _succeeded(direct):
                attempts.indirect = asyncio.create_task(
                    self._client.open(
                        target, timeout, seconds, request_id, homes
                    )
                )
            attempts.chosen = await _first_success(attempts.in_order())
        finally:
            self._spawn(self._settle(target, attempts))
        if attempts.chosen is None:
            self.paths.record_unreachable(target.key)
            reasons = [_reason(each) for each in attempts.in_order()]
            raise RequestNotSent('; '.join(reasons)) from _cause(direct)
        return attempts.chosen.result()

    async def _examine(self, target: Target) -> None:
        try:
            conn = await self._connect(target, _EXAMINE_SECONDS, '')
        except RequestNotSent as exc:
            self._logger.info(
                'Target reached by nobody.',
                target=target.target,
                reason=str(exc),
            )
        else:
            conn.abort()
            if not conn.member:
                await self.is_refused(target, _EXAMINE_SECONDS)
        await asyncio.sleep(_EXAMINE_INTERVAL)
        self._examined.discard(target.key)

    async def _settle(self, target: Target, attempts: '_Attempts') -> None:
        """Learn from a direct attempt, and close what is not used."""
        direct, indirect = attempts.direct, attempts.indirect
        is_indirect = indirect is not None and attempts.chosen is indirect
        for each in attempts.unused():
            # Whether the direct path works is worth knowing.
            if each is not direct or not is_indirect:
                each.cancel()
            await asyncio.wait((each,))
            if _succeeded(each):
                each.result().abort()
        if _succeeded(direct):
            # It may be reset in a moment, which only probes find out.
            if not self.paths.is_cut(target.key):
                self._record_direct(target)
        elif is_indirect:
            self._record_indirect(target, attempts.begun_at, _reason(direct))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fail_to_connect(
        self, target: Target, seconds: float
    ) -> RequestNotSent | None:
        """Return why a target cannot be connected to, None if it can."""
        try:
            conn = await self.pool.acquire(
                target.address, is_fresh=True, seconds=seconds
            )
        except RequestNotSent as exc:
            return exc
        if await _lasts(conn):
            return None
        return RequestNotSent('the connection was closed at once')

    async def _is_reached_by_member(
        self, target: Target, seconds: float
    ) -> bool:
        try:
            conn = await self._client.open(target, seconds, seconds)
        except RequestNotSent:
            return False
        return await _lasts(conn)

    async def _probe(self, target: Target) -> None:
        if await self._fail_to_connect(target, _PROBE_SECONDS) is None:
            self._record_direct(target)

    def _record_direct(self, target: Target) -> None:
        if self.paths.is_cut(target.key):
            self._logger.info('Target reached directly.', target=target.target)
        self.paths.record_direct(target.key, _now())

    def _record_indirect(
        self, target: Target, begun_at: float, reason: str
    ) -> None:
        was_cut = self.paths.is_cut(target.key)
        self.paths.record_indirect(target.key, begun_at, _now())
        if self.paths.is_cut(target.key) and not was_cut:
            self._logger.warning(
                'Target reached through members only.',
                target=target.target,
                reason=reason,
            )


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _lasts(conn: ClientConnection) -> bool:
    """Tell whether a connection stays open for a moment, and close it."""
    await asyncio.sleep(_LASTING_SECONDS)
    is_open = conn.is_open
    conn.abort()
    return is_open


def _succeeded(task: _Attempt) -> bool:
    return task.done() and not task.cancelled() and task.exception() is None


def _cause(task: _Attempt) -> BaseException | None:
    """Return what a failed connection attempt raised, None if unknown."""
    exc = None
    if task.done() and not task.cancelled():
        exc = task.exception()
    return exc


def _reason(task: _Attempt) -> str:
    return str(_cause(task) or 'not connected in time')


async def _first_success(
    attempts: list[_Attempt],
) -> _Attempt | None:
    """Return the first attempt that connects, None if all fail."""
    pending = set(attempts)
    while True:
        for each in attempts:
            if _succeeded(each):
                return each
        if not pending:
            return None
        _, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
