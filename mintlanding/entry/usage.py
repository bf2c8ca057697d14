"""Tokens that a request has used, also if it failed."""

from dataclasses import dataclass

import msgspec

from mintlanding.core.results import Failed, Ran
from mintlanding.engines.client import OpenedResponse, WholeResponse


class _UsageField(msgspec.Struct):
    total_tokens: int = 0


class _AnswerUsage(msgspec.Struct):
    usage: _UsageField = msgspec.field(default_factory=_UsageField)


@dataclass(slots=True)
class Usage:
    """Count the tokens of one request.

    Input tokens count once the request ran, output tokens as they are relayed.
    A request that may have run but returned no response is charged its input.
    """

    input_tokens: int
    output_tokens: int = 0
    has_run: bool = False

    @property
    def total(self) -> float:
        """Return the tokens to charge."""
        return self.input_tokens + self.output_tokens if self.has_run else 0

    def note_failure(self, failure: Failed) -> None:
        """Record a failure before the first byte of the response."""
        self.has_run = failure.ran is not Ran.not_run

    def note_answer(self, answer: OpenedResponse) -> None:
        """Count the output of a response, complete or broken off."""
        if isinstance(answer, WholeResponse):
            self.output_tokens = _output_of(answer.body, self.input_tokens)
            return
        self.output_tokens = answer.offset


def _output_of(body: bytes, input_tokens: int) -> int:
    try:
        found = msgspec.json.decode(body, type=_AnswerUsage)
    except msgspec.DecodeError:
        return 0
    return max(0, found.usage.total_tokens - input_tokens)
