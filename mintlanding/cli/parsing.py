"""Read words of the command line."""

from collections.abc import Callable
from typing import TypeVar, cast

from fire.decorators import SetParseFns

from mintlanding.admin.objects import COLLECTIONS, collection_of
from mintlanding.cli.exceptions import CommandError, ExitCode

CommandT = TypeVar('CommandT', bound=Callable[..., object])


def texts(*names: str) -> Callable[[CommandT], CommandT]:
    """Return a decorator that keeps arguments as typed, such as 007."""
    parsers = dict.fromkeys(names, str)

    def decorate(command: CommandT) -> CommandT:
        return cast(CommandT, SetParseFns(**parsers)(command))

    return decorate


def parse_collection(text: str) -> str:
    """Read a kind in the singular or plural; raise naming the kinds."""
    word = text.lower().replace('_', '-')
    if word in COLLECTIONS:
        return word
    if word in COLLECTIONS.values():
        return collection_of(word)
    known = ', '.join(COLLECTIONS)
    raise CommandError(
        ExitCode.usage,
        f'unknown kind {text!r}',
        f'use one of: {known}',
    )


def parse_labels(text: str) -> dict[str, str]:
    """Read labels written as a=b,c=d."""
    found: dict[str, str] = {}
    for part in filter(None, (each.strip() for each in text.split(','))):
        label, separator, held = part.partition('=')
        if not separator:
            raise CommandError(
                ExitCode.usage,
                f'label {part!r} has no value',
                'write labels as a=b,c=d',
            )
        found[label.strip()] = held.strip()
    return found
