"""Interface to the platform's encoding of requests, responses and orders."""

from typing import Protocol

from mintlanding.http1.models import Headers, ResponseHead
from mintlanding.residency.models import Order, OrderResult
from mintlanding.traffic.header_fields import (
    CallerFields,
    HopFields,
    TargetResponse,
)


class Codec(Protocol):
    """Encode and decode headers of callers and targets, and engine orders."""

    def read_caller(self, headers: Headers) -> CallerFields:
        """Decode the headers of a caller's request."""

    def target_request_head(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body_bytes: int,
        fields: HopFields,
    ) -> bytes:
        """Encode the head of a request to a target."""

    def read_response(
        self, head: ResponseHead, request_id: str
    ) -> TargetResponse:
        """Decode the head of a target's response to a request."""

    def response_headers(self, head: ResponseHead) -> Headers:
        """Return the headers of a response that are passed to the caller."""

    def own_response_headers(
        self, request_id: str, retry_after: float
    ) -> Headers:
        """Return the headers of a response of the instance itself."""

    def order_request(
        self,
        order: Order,
        target: str,
        holder: str,
        fencing: int,
        host: str,
    ) -> bytes:
        """Encode an order to an engine."""

    def report_request(self, target: str, host: str) -> bytes:
        """Encode a request for an engine's report."""

    def order_result(self, status: int) -> OrderResult:
        """Decode the status of the response to an order."""
