"""How requests, answers and orders are spelled; an adapter provides it."""

from typing import Protocol

from mintlanding.http1.models import Headers, ResponseHead
from mintlanding.residency.models import Order, OrderResult
from mintlanding.traffic.header_fields import (
    CallerFields,
    HopFields,
    TargetAnswer,
)


class Codec(Protocol):
    """The headers of callers and targets, and the orders of engines."""

    def read_caller(self, headers: Headers) -> CallerFields:
        """Decode what a caller declares."""

    def hop_head(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body_bytes: int,
        fields: HopFields,
    ) -> bytes:
        """Encode the head of a request to a target."""

    def read_answer(self, head: ResponseHead, request_id: str) -> TargetAnswer:
        """Decode what a target says of a request."""

    def answer_headers(self, head: ResponseHead) -> Headers:
        """Return the headers of an answer that go on to the caller."""

    def own_answer(self, request_id: str, retry_after: float) -> Headers:
        """Return the headers of an answer of our own."""

    def order_request(
        self,
        order: Order,
        target: str,
        holder: str,
        fencing: int,
        host: str,
    ) -> bytes:
        """Encode an order."""

    def report_request(self, target: str, host: str) -> bytes:
        """Encode a question for a report."""

    def order_result(self, status: int) -> OrderResult:
        """Decode the status of an order's answer."""
