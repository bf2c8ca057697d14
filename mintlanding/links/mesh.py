"""Links to the other instances: framed messages over persistent connections.

Each instance dials every member; a reply is sent on the link on which its
request came. The kernel closes a link whose bytes stay unacknowledged, and it
is dialled again.
"""

import asyncio
import functools
import hashlib
import hmac
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import msgspec

from mintlanding.core.exceptions import MemberDataInvalid, MessageUnexpected
from mintlanding.core.listening import listen
from mintlanding.core.logs import Logger, describe_exception
from mintlanding.http1.client import Address, set_user_timeout
from mintlanding.links.messages import (
    MAX_FRAME_BYTES,
    Hello,
    Message,
    decode_message,
)

_LENGTH = struct.Struct('>I')
# Bytes that a peer has not read yet; a link with more is closed.
_MAX_BUFFERED_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class LinkOptions:
    """Timeouts in seconds: to connect, for unacknowledged bytes, and the
    pause before a link is dialled again.
    """

    connect_timeout: float = 0.5
    user_timeout: float = 1
    redial_pause: float = 0.1


@dataclass(frozen=True, slots=True)
class Identity:
    """Name and incarnation of this process, and the key shared by members."""

    instance: str
    incarnation: str
    fleet_key: bytes

    def hello(self) -> Hello:
        """Return the first message of a link."""
        return Hello(self.instance, self.incarnation, self.proof(self.instance))

    def proof(self, instance: str) -> str:
        """Return the proof that an instance knows the key."""
        digest = hmac.digest(self.fleet_key, instance.encode(), hashlib.sha256)
        return digest.hex()


class LinkProtocol(asyncio.Protocol):
    """One connection, dialled or accepted."""

    def __init__(self, mesh: 'Mesh', peer: str = '') -> None:
        """Attach to a mesh; `peer` is known only on a dialled link."""
        self.peer = peer
        self.is_lost = asyncio.Event()
        self._mesh = mesh
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and notify the mesh."""
        self._transport = cast(asyncio.Transport, transport)
        set_user_timeout(transport, self._mesh.options.user_timeout)
        self._mesh.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the mesh."""
        self.is_lost.set()
        self._mesh.closed(self)

    def data_received(self, chunk: bytes) -> None:
        """Extract whole frames from the buffer."""
        self._buffer += chunk
        while len(self._buffer) >= _LENGTH.size:
            size = int(_LENGTH.unpack_from(self._buffer)[0])
            if size > MAX_FRAME_BYTES:
                self._mesh.logger.error(
                    'Oversized frame received.',
                    peer=self.peer,
                    size=size,
                )
                self.abort()
                return
            end = _LENGTH.size + size
            if len(self._buffer) < end:
                return
            frame = bytes(self._buffer[_LENGTH.size : end])
            del self._buffer[:end]
            self._mesh.received(self, frame)

    def send(self, frame: bytes) -> bool:
        """Write a frame; return false if the link is closed or congested."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        if transport.get_write_buffer_size() > _MAX_BUFFERED_BYTES:
            self.abort()
            return False
        transport.write(_LENGTH.pack(len(frame)) + frame)
        return True

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()


Reply = Callable[[Message], bool]
Receiver = Callable[[str, Message, Reply], None]


class Mesh:
    """Links to all members, dialled again whenever they are lost."""

    def __init__(
        self,
        identity: Identity,
        receiver: Receiver,
        options: LinkOptions,
        logger: Logger,
    ) -> None:
        """Take the identity and the callable that handles messages."""
        self.options = options
        self.logger = logger
        self.on_link_up: Callable[[str], None] | None = None
        self._identity = identity
        self._receiver = receiver
        self._encoder = msgspec.msgpack.Encoder()
        self._listener: asyncio.Server | None = None
        self._accepted: set[LinkProtocol] = set()
        # Dialled and accepted links by peer, the newest last.
        self._links: dict[str, list[LinkProtocol]] = {}
        self._dialers: dict[str, tuple[Address, asyncio.Task[None]]] = {}

    @classmethod
    def from_config(
        cls,
        identity: Identity,
        receiver: Receiver,
        options: LinkOptions | None = None,
    ) -> 'Mesh':
        """Create a mesh without links."""
        return cls(
            identity, receiver, options or LinkOptions(), Logger('links')
        )

    async def start(self, host: str, port: int) -> None:
        """Listen for connections of members, unless it does already.

        Raise AddressNotAvailable if the address is in use.
        """
        if self._listener is not None:
            return
        self._listener = await listen(lambda: LinkProtocol(self), host, port)

    def set_members(self, members: dict[str, Address]) -> None:
        """Dial new members and close the links to removed ones."""
        for removed in self._dialers.keys() - members.keys():
            self._drop(removed)
        for member, address in members.items():
            dialer = self._dialers.get(member)
            if dialer is not None and dialer[0] == address:
                continue
            if dialer is not None:
                self._drop(member)
            task = asyncio.create_task(self._keep_link(member, address))
            self._dialers[member] = (address, task)

    def send(self, member: str, message: Message) -> bool:
        """Send to a member; return false without a usable link."""
        links = self._links.get(member, [])
        return bool(links) and self._send(links[-1], message)

    def broadcast(self, message: Message) -> bool:
        """Send to every linked member; return false if it has no frame."""
        frame = self._encode(message)
        if frame is None:
            return False
        for links in tuple(self._links.values()):
            links[-1].send(frame)
        return True

    def redial(self, member: str) -> None:
        """Close the link to a member that does not reply on it."""
        links = self._links.get(member, [])
        if links:
            links[-1].abort()

    def stop(self) -> None:
        """Stop listening and close all links."""
        if self._listener is not None:
            self._listener.close()
        for member in tuple(self._dialers):
            self._drop(member)
        for link in tuple(self._accepted):
            link.abort()

    # Callbacks of the links.

    def opened(self, link: LinkProtocol) -> None:
        """Send the hello message on a dialled link."""
        if link.peer:
            self._send(link, self._identity.hello())
        else:
            self._accepted.add(link)

    def closed(self, link: LinkProtocol) -> None:
        """Forget a link."""
        self._accepted.discard(link)
        links = self._links.get(link.peer, [])
        if link not in links:
            return
        links.remove(link)
        if not links:
            self._links.pop(link.peer)
            self.logger.warning('Link lost.', peer=link.peer)

    def received(self, link: LinkProtocol, frame: bytes) -> None:
        """Decode a frame and pass the message to the receiver."""
        try:
            message = decode_message(frame)
        except MemberDataInvalid as exc:
            self.logger.error(
                'Invalid message received.',
                peer=link.peer,
                reason=str(exc),
            )
            is_known = link.peer and isinstance(exc, MessageUnexpected)
            if not is_known:
                link.abort()
            return
        if isinstance(message, Hello):
            self._welcome(link, message)
            return
        if not link.peer:
            self.logger.error('Message received before the hello message.')
            link.abort()
            return

        def reply(own_message: Message) -> bool:
            return self._send(link, own_message)

        try:
            self._receiver(link.peer, message, reply)
        except Exception as exc:
            self.logger.error(
                'Processing a message failed.',
                peer=link.peer,
                type=type(message).__name__,
                **describe_exception(exc),
            )

    def _send(self, link: LinkProtocol, message: Message) -> bool:
        frame = self._encode(message)
        return frame is not None and link.send(frame)

    def _encode(self, message: Message) -> bytes | None:
        """Return the frame of a message, None if it has none within bounds."""
        try:
            frame = self._encoder.encode(message)
        except Exception as exc:
            # Integers beyond 64 bits or lone surrogates, among others.
            self.logger.error(
                'Encoding a message failed.',
                type=type(message).__name__,
                **describe_exception(exc),
            )
            return None
        if len(frame) <= MAX_FRAME_BYTES:
            return frame
        # The receiver would close the link.
        self.logger.error(
            'Message too large to be sent.',
            type=type(message).__name__,
            size=len(frame),
            limit=MAX_FRAME_BYTES,
        )
        return None

    def _welcome(self, link: LinkProtocol, hello: Hello) -> None:
        proof = self._identity.proof(hello.instance)
        if not hmac.compare_digest(proof.encode(), hello.proof.encode()):
            self.logger.error(
                'Peer rejected for an invalid proof of the fleet key.',
                peer=hello.instance,
            )
            link.abort()
            return
        # A peer dials again when it has lost its link or restarted.
        for former in self._links.get(hello.instance, ()):
            if former in self._accepted:
                former.abort()
        link.peer = hello.instance
        self._add(link)

    def _add(self, link: LinkProtocol) -> None:
        """Use a link for sending, whether it was dialled or accepted.

        A starting instance dials the others before they know its entry in the
        store.
        """
        links = self._links.setdefault(link.peer, [])
        if not links:
            self.logger.info('Link established.', peer=link.peer)
        links.append(link)
        if self.on_link_up is None:
            return
        try:
            self.on_link_up(link.peer)
        except Exception as exc:
            self.logger.error(
                'Greeting a member failed.',
                peer=link.peer,
                **describe_exception(exc),
            )

    def _drop(self, member: str) -> None:
        dialer = self._dialers.pop(member, None)
        if dialer is not None:
            dialer[1].cancel()
        for link in self._links.pop(member, ()):
            link.abort()

    async def _keep_link(self, member: str, address: Address) -> None:
        loop = asyncio.get_running_loop()
        factory = functools.partial(LinkProtocol, self, member)
        while True:
            try:
                async with asyncio.timeout(self.options.connect_timeout):
                    _, link = await loop.create_connection(factory, *address)
            except (OSError, OverflowError, ValueError):
                # Addresses that cannot exist raise the last two.
                # Not logged: unreachable members are dialled over and over.
                await asyncio.sleep(self.options.redial_pause)
                continue
            self._add(link)
            await link.is_lost.wait()
            await asyncio.sleep(self.options.redial_pause)
