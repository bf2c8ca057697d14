"""Open paths to targets through other members."""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass

import msgspec

from mintlanding.core.exceptions import (
    MemberDataInvalid,
    RequestNotSent,
    ResponseLost,
)
from mintlanding.http1.client import (
    Address,
    ClientConnection,
    set_user_timeout,
)
from mintlanding.http1.models import ClientOptions
from mintlanding.paths.frames import FrameBuffer, FrameTooLarge, frame
from mintlanding.paths.messages import (
    OpenPath,
    PathReply,
    decode_reply,
    path_proof,
)
from mintlanding.paths.path_table import TargetKey
from mintlanding.traffic.homes import Homes
from mintlanding.traffic.models import Target

# Seconds in which a member must have opened a path or refused it.
_MEMBER_SECONDS = 0.12
# Members that are asked before a target counts as unreachable.
_MAX_MEMBERS = 4
# Seconds for which a member that had no path to a target is asked last.
_FAILURE_SECONDS = 1.0

_ENCODER = msgspec.msgpack.Encoder()


@dataclass(frozen=True, slots=True)
class PathIdentity:
    """Name of this instance, and the key shared by members."""

    instance: str
    fleet_key: bytes


class IndirectConnection(ClientConnection):
    """A connection to a target whose bytes a member passes on.

    It carries one request.
    """

    def __init__(self, options: ClientOptions, address: Address) -> None:
        """Take the address of the member."""
        super().__init__(options, address)
        self._frames = FrameBuffer()
        self._reply: asyncio.Future[PathReply] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def member(self) -> str:
        """Return the address of the member that passes the bytes on."""
        return '{0}:{1}'.format(*self.address)

    @property
    def is_reusable(self) -> bool:
        """Tell that the path ends with its request."""
        return False

    async def opened(self, request: OpenPath) -> None:
        """Ask for the path; raise RequestNotSent if the member has none."""
        if self._transport is None or not self.is_open:
            raise RequestNotSent('the member closed the connection')
        self._transport.write(frame(_ENCODER.encode(request)))
        reply = await self._reply
        if reply.reason:
            raise RequestNotSent(reply.reason)

    def data_received(self, chunk: bytes) -> None:
        """Take the reply of the member, then the bytes of the target."""
        self._frames.feed(chunk)
        try:
            self._receive_frames()
        except (FrameTooLarge, MemberDataInvalid) as exc:
            self._lose(f'invalid bytes from the member: {exc}')

    def eof_received(self) -> bool:
        """Lose a response whose end the member has not confirmed."""
        self._lose('the member closed the path')
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Lose a response whose end the member has not confirmed."""
        self._lose(repr(exc) if exc else 'the path was closed')
        super().connection_lost(exc)

    def _receive_frames(self) -> None:
        payload = self._frames.take()
        while payload is not None:
            if not self._reply.done():
                self._reply.set_result(decode_reply(payload))
            elif payload:
                ClientConnection.data_received(self, payload)
            else:
                ClientConnection.eof_received(self)
            payload = self._frames.take()

    def _await_delivery(self) -> None:
        """Lose the response: nothing is passed on after the target's end."""
        self._lose('the target ended before the request was passed on')

    def _lose(self, reason: str) -> None:
        if not self._reply.done():
            self._reply.set_result(PathReply(reason))
        if self._is_busy and not self._is_complete:
            self._fail(ResponseLost(reason))
        self.abort()


class PathClient:
    """Opens paths through the members that a callable offers."""

    def __init__(
        self,
        identity: Callable[[], PathIdentity],
        helpers: Callable[[Homes], list[Address]],
        options: ClientOptions,
    ) -> None:
        """Take what names this instance and its possible helpers in order."""
        self.opened = 0
        # The member that opened the last path to each target.
        self._helper_of: dict[TargetKey, Address] = {}
        # When a member last had no path to a target.
        self._failed: dict[tuple[Address, TargetKey], float] = {}
        self._identity = identity
        self._helpers = helpers
        self._options = options

    async def open(
        self,
        target: Target,
        seconds: float,
        lifetime: float,
        request_id: str = '',
        homes: Homes = None,
    ) -> ClientConnection:
        """Return a path to a target within `seconds`.

        The member closes it after `lifetime` seconds. Of members in other
        regions than `homes` only those in the own region are asked. Raise
        RequestNotSent if none of the helpers has a path.
        """
        reason = 'no member to ask for a path'
        request = self._request(target, lifetime, request_id)
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        for address in self._in_order(target, loop.time(), homes):
            left = min(end - loop.time(), _MEMBER_SECONDS)
            if left <= 0:
                break
            try:
                async with asyncio.timeout(left):
                    conn = await self._open_through(address, request)
            except (RequestNotSent, OSError, ValueError) as exc:
                reason = str(exc) or repr(exc)
                self._failed[(address, target.key)] = loop.time()
                continue
            self._helper_of[target.key] = address
            return conn
        raise RequestNotSent(f'no path through a member: {reason}')

    def retain(self, targets: Collection[TargetKey]) -> None:
        """Forget what was learned about all targets except those given."""
        for key in self._helper_of.keys() - targets:
            self._helper_of.pop(key)
        now = asyncio.get_running_loop().time()
        self._failed = {
            pair: at
            for pair, at in self._failed.items()
            if now < at + _FAILURE_SECONDS
        }

    def _in_order(
        self, target: Target, now: float, homes: Homes
    ) -> list[Address]:
        """Return the members to ask: the last helper, then untried ones."""
        last = self._helper_of.get(target.key)

        def rank(address: Address) -> int:
            failed_at = self._failed.get((address, target.key), float('-inf'))
            if now < failed_at + _FAILURE_SECONDS:
                return 2
            return 0 if address == last else 1

        return sorted(self._helpers(homes), key=rank)[:_MAX_MEMBERS]

    def _request(
        self, target: Target, lifetime: float, request_id: str
    ) -> OpenPath:
        identity = self._identity()
        return OpenPath(
            identity.instance,
            path_proof(identity.fleet_key, identity.instance),
            target.target,
            target.incarnation,
            lifetime,
            request_id,
        )

    async def _open_through(
        self, address: Address, request: OpenPath
    ) -> ClientConnection:
        conn = IndirectConnection(self._options, address)
        transport, _ = await asyncio.get_running_loop().create_connection(
            lambda: conn, *address
        )
        set_user_timeout(transport, self._options.user_timeout)
        try:
            await conn.opened(request)
        except BaseException:
            conn.abort()
            raise
        self.opened += 1
        return conn
