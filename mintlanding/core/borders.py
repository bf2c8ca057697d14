"""Registry of the borders: where values of other writers come in."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from mintlanding.core.bounds import MAX_AMOUNT, MAX_WHOLE

Decoder = TypeVar('Decoder', bound=Callable[..., Any])
Value = TypeVar('Value')

# Bytes of the longest text that a record may bring.
_MAX_TEXT_BYTES = 4000


@dataclass(frozen=True, slots=True)
class ValueBounds:
    """Bounds of every number and text in a decoded value.

    `least` and `most` are those of fractional numbers, `text_bytes` that of a
    text in UTF-8.
    """

    most_whole: int = MAX_WHOLE
    least: float = 0
    most: float = MAX_AMOUNT
    text_bytes: int = _MAX_TEXT_BYTES


@dataclass(frozen=True, slots=True)
class Border:
    """A decoder, the bounds of its values, and its error for invalid input.

    Without an error, the decoder treats invalid fields as absent.
    """

    decode: Callable[..., Any]
    error: type[Exception] | None
    bounds: ValueBounds


BORDERS: dict[str, Border] = {}


def border(
    name: str,
    error: type[Exception] | None,
    bounds: ValueBounds | None = None,
) -> Callable[[Decoder], Decoder]:
    """Register a decoder, which raises only one type of error."""

    def register(decode: Decoder) -> Decoder:
        BORDERS[name] = Border(decode, error, bounds or ValueBounds())
        return decode

    return register


def decode_with(
    decoder: Callable[[bytes], Value],
    content: bytes,
    error: type[Exception],
) -> Value:
    """Decode by a decoder of msgspec; raise the border's error."""
    try:
        return decoder(content)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise error(f'{len(content)} bytes are invalid: {exc}') from exc
