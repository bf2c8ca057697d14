"""Measurement of single requests."""

from dataclasses import dataclass, field

from mintlanding.core.clock import Clock
from mintlanding.core.results import Failed, ResultCode
from mintlanding.reports.messages import RequestSample
from mintlanding.reports.samples import SampleBuffer

_JUSTIFIED_REFUSALS = frozenset(
    (
        ResultCode.rate_exceeded,
        ResultCode.larger_than_burst,
        ResultCode.idempotency_in_progress,
        ResultCode.idempotency_mismatch,
    ),
)
_WRONGFUL_REFUSALS = frozenset(
    (
        ResultCode.queue_full,
        ResultCode.deadline_unreachable,
        ResultCode.limits_unavailable,
    ),
)


@dataclass(slots=True)
class RequestMeter:
    """Measure one request, starting when it has passed all checks.

    A request that neither ended nor failed, for example because its caller
    disconnected, gives no sample.
    """

    samples: SampleBuffer
    clock: Clock
    workspace: str
    service: str
    adapter: str = ''
    _started_at: float = field(init=False)
    _first_token_at: float | None = field(init=False, default=None)
    _load_stall: float | None = field(init=False, default=None)

    def __post_init__(self) -> None:
        """Start the measurement."""
        self._started_at = self.clock.monotonic()

    def note_first_token(self, stalled: float) -> None:
        """Record the first token; `stalled` is its delay by a load."""
        self._first_token_at = self.clock.monotonic()
        self._load_stall = stalled

    def end(self, tokens: int = 0) -> None:
        """Add a sample of a completed request.

        The time between tokens is measured if there is more than one.
        """
        token_gap = None
        if self._first_token_at is not None and tokens > 1:
            token_gap = (self.clock.monotonic() - self._first_token_at) / (
                tokens - 1
            )
        self._add(token_gap=token_gap)

    def fail(self, failure: Failed) -> None:
        """Add a sample of a failure or refusal, by its result code."""
        is_wrongful = failure.code in _WRONGFUL_REFUSALS
        is_refused = is_wrongful or failure.code in _JUSTIFIED_REFUSALS
        self._add(
            is_available=is_refused,
            is_refused=is_refused,
            is_wrongful=is_wrongful,
        )

    def _add(
        self,
        is_available: bool = True,
        is_refused: bool = False,
        is_wrongful: bool = False,
        token_gap: float | None = None,
    ) -> None:
        first = (
            None
            if self._first_token_at is None
            else self._first_token_at - self._started_at
        )
        self.samples.add(
            RequestSample(
                self.workspace,
                self.service,
                self.adapter,
                is_available,
                is_refused,
                is_wrongful,
                first,
                token_gap,
                self._load_stall,
            ),
        )
