"""Validation of request bodies of the callers' API."""

from typing import Any, Self

import msgspec
import xxhash
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from mintlanding.core.results import Done, Failed, Outcome, ResultCode
from mintlanding.placement.messages import Priority

DEFAULT_MAX_TOKENS = 256
BYTES_PER_TOKEN = 4
PREFIX_BYTES = 256
JSON_PREFIX = 'application/json'


class CompletionBody(BaseModel):
    """Fields of a completion that the entry reads; others pass through."""

    model_config = ConfigDict(extra='allow', strict=True)

    model: str = Field(min_length=1, max_length=300)
    stream: bool = False
    max_tokens: int | None = Field(default=None, ge=1, le=1_000_000)
    max_completion_tokens: int | None = Field(default=None, ge=1, le=1_000_000)
    messages: list[dict[str, Any]] | None = None
    prompt: str | list[Any] | None = None
    user: str = ''

    @property
    def output_tokens(self) -> int:
        """Return the maximum number of tokens to generate."""
        return (
            self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS
        )


class Completion(msgspec.Struct, frozen=True):
    """A validated completion request; `document` is the decoded body."""

    body: CompletionBody
    document: dict[str, Any]
    input_tokens: int

    @classmethod
    def from_body(cls, raw: bytes, content_type: str) -> Outcome[Self]:
        """Check content type, JSON and fields; a failure names the field."""
        if not content_type.lower().startswith(JSON_PREFIX):
            return Failed.of(ResultCode.wrong_content_type)
        try:
            document = msgspec.json.decode(raw)
        except (msgspec.DecodeError, RecursionError) as exc:
            return Failed.of(ResultCode.malformed_json, str(exc))
        try:
            body = CompletionBody.model_validate(document)
        except ValidationError as invalid:
            return Failed.of(ResultCode.missing_field, _describe(invalid))
        if body.messages is None and body.prompt is None:
            return Failed.of(
                ResultCode.missing_field,
                'Set "messages" or "prompt".',
            )
        return Done(cls(body, document, max(1, len(raw) // BYTES_PER_TOKEN)))

    @property
    def total_tokens(self) -> int:
        """Return the tokens to reserve: input and maximum output."""
        return self.input_tokens + self.body.output_tokens

    @property
    def priority(self) -> Priority:
        """Return the priority class that the caller asks for."""
        if self.document.get('service_tier') == 'batch':
            return Priority.batch
        return Priority.interactive

    @property
    def prefix_hash(self) -> int:
        """Return a hash of the start of the prompt, for prefix caches."""
        start = self.document.get('messages') or self.document.get('prompt')
        text = msgspec.json.encode(start)[:PREFIX_BYTES]
        return xxhash.xxh64_intdigest(text)

    def encode_for(self, model: str) -> bytes:
        """Encode the body for an engine that knows the adapter as `model`."""
        return msgspec.json.encode(
            {
                **self.document,
                'model': model,
                'max_tokens': self.body.output_tokens,
            }
        )


def _describe(invalid: ValidationError) -> str:
    return '; '.join(
        f'{".".join(str(part) for part in each["loc"])}: {each["msg"]}'
        for each in invalid.errors()
    )
