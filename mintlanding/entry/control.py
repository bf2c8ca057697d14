"""The entry's calls to its own agent (tokens) and to stewards (workers)."""

from dataclasses import dataclass

from mintlanding.agent.messages import (
    RELEASE_WORKER,
    RESERVE_TOKENS,
    RESERVE_WORKER,
    SETTLE_TOKENS,
    SettleRequest,
    TokenRequest,
)
from mintlanding.core.exceptions import PeerError
from mintlanding.core.logs import Logger
from mintlanding.core.results import Done, Failed, Outcome, ResultCode
from mintlanding.peers.client import PeerClient
from mintlanding.placement.messages import (
    ReleaseRequest,
    ReserveReply,
    ReserveRequest,
)

TOKENS_TIMEOUT_SECONDS = 2
RELEASE_TIMEOUT_SECONDS = 2
RELEASE_ATTEMPTS = 3
GRANT_MARGIN_SECONDS = 1
RETRY_SECONDS = 1

_logger = Logger('entry')


@dataclass(slots=True)
class ControlClient:
    """Typed calls to the agent of this instance and to stewards."""

    peers: PeerClient
    agent_address: str

    async def reserve_tokens(self, req: TokenRequest) -> Outcome[TokenRequest]:
        """Reserve tokens of the workspace's quota."""
        try:
            reply = await self.peers.call(
                self.agent_address,
                RESERVE_TOKENS,
                req,
                TOKENS_TIMEOUT_SECONDS,
            )
        except PeerError as exc:
            _logger.warning('Reserving tokens failed.', reason=str(exc))
            await self.settle_tokens(_unused(req))
            return Failed(
                ResultCode.limits_unavailable,
                retry_after=RETRY_SECONDS,
            )
        if reply.code:
            return Failed(
                ResultCode(reply.code),
                reply.detail,
                retry_after=reply.retry_after or None,
            )
        return Done(req)

    async def settle_tokens(self, req: SettleRequest) -> None:
        """Report to the agent how many tokens a request has used."""
        try:
            await self.peers.call(
                self.agent_address,
                SETTLE_TOKENS,
                req,
                TOKENS_TIMEOUT_SECONDS,
            )
        except PeerError as exc:
            _logger.warning('Settling tokens failed.', reason=str(exc))

    async def reserve_worker(
        self,
        address: str,
        req: ReserveRequest,
    ) -> Outcome[ReserveReply]:
        """Wait at the steward until the worker can take the request."""
        try:
            reply = await self.peers.call(
                address,
                RESERVE_WORKER,
                req,
                req.wait + GRANT_MARGIN_SECONDS,
            )
        except PeerError as exc:
            _logger.warning('Steward did not reply.', reason=str(exc))
            return Failed(ResultCode.no_target, retry_after=RETRY_SECONDS)
        if reply.code:
            return Failed(
                ResultCode(reply.code),
                reply.detail,
                retry_after=reply.retry_after or None,
            )
        return Done(reply)

    async def release_worker(self, address: str, req: ReleaseRequest) -> None:
        """Release a reservation; retried, since a release is idempotent."""
        for _ in range(RELEASE_ATTEMPTS):
            try:
                await self.peers.call(
                    address,
                    RELEASE_WORKER,
                    req,
                    RELEASE_TIMEOUT_SECONDS,
                )
            except PeerError as exc:
                _logger.warning('Release not acknowledged.', reason=str(exc))
            else:
                return


def _unused(req: TokenRequest) -> SettleRequest:
    return SettleRequest(req.request_id, req.workspace, req.tokens, 0)
