"""Registry of the borders: where values of other writers come in."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

Decoder = TypeVar('Decoder', bound=Callable[..., Any])


@dataclass(frozen=True, slots=True)
class Border:
    """A decoder and the one error that it raises for invalid input."""

    decode: Callable[..., Any]
    error: type[Exception]


BORDERS: dict[str, Border] = {}


def border(name: str, error: type[Exception]) -> Callable[[Decoder], Decoder]:
    """Register a decoder, which raises only one type of error."""

    def register(decode: Decoder) -> Decoder:
        BORDERS[name] = Border(decode, error)
        return decode

    return register
