"""Take the times of one request and make its sample."""

from dataclasses import dataclass, field

from mintlanding.core.clock import Clock
from mintlanding.core.results import Failed, ResultCode
from mintlanding.reports.messages import RequestSample
from mintlanding.reports.samples import SampleBuffer

_RIGHTLY_REFUSED = frozenset(
    (
        ResultCode.rate_exceeded,
        ResultCode.larger_than_burst,
        ResultCode.idempotency_in_progress,
        ResultCode.idempotency_mismatch,
    ),
)
_WRONGLY_REFUSED = frozenset(
    (
        ResultCode.queue_full,
        ResultCode.deadline_unreachable,
        ResultCode.limits_unavailable,
    ),
)


@dataclass(slots=True)
class RequestMeter:
    """Meter one request from the moment that it passed all checks.

    A request that neither ended nor failed, such as one whose caller left,
    is no sample.
    """

    samples: SampleBuffer
    clock: Clock
    workspace: str
    service: str
    adapter: str = ''
    _began: float = field(init=False)
    _first: float | None = field(init=False, default=None)
    _stalled: float | None = field(init=False, default=None)

    def __post_init__(self) -> None:
        """Begin."""
        self._began = self.clock.monotonic()

    def note_first_token(self, stalled: float) -> None:
        """Take the time of the first token; a load stalled it so long."""
        self._first = self.clock.monotonic()
        self._stalled = stalled

    def end(self, tokens: int = 0) -> None:
        """Count an answer; more than one token give the time between them."""
        between = None
        if self._first is not None and tokens > 1:
            between = (self.clock.monotonic() - self._first) / (tokens - 1)
        self._add(between=between)

    def fail(self, failure: Failed) -> None:
        """Count a failure or a refusal by its result code."""
        is_wrong = failure.code in _WRONGLY_REFUSED
        is_refused = is_wrong or failure.code in _RIGHTLY_REFUSED
        self._add(
            is_available=is_refused,
            is_refused=is_refused,
            is_wrong=is_wrong,
        )

    def _add(
        self,
        is_available: bool = True,
        is_refused: bool = False,
        is_wrong: bool = False,
        between: float | None = None,
    ) -> None:
        first = None if self._first is None else self._first - self._began
        self.samples.add(
            RequestSample(
                self.workspace,
                self.service,
                self.adapter,
                is_available,
                is_refused,
                is_wrong,
                first,
                between,
                self._stalled,
            ),
        )
