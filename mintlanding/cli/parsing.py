"""Read words of the command line."""

from collections.abc import Sequence

from fire.parser import DefaultParseValue

from mintlanding.admin.objects import COLLECTIONS, collection_of
from mintlanding.cli.exceptions import CommandError, ExitCode

_SET_WORDS = frozenset(('1', 'on', 'true', 'yes'))


def keep_texts(words: Sequence[str]) -> list[str]:
    """Quote words that the library would take for numbers, such as 007."""
    return [_keep_text(word) for word in words]


def is_set(flag: object) -> bool:
    """Read a flag, given bare or as --flag=true."""
    return str(flag).lower() in _SET_WORDS


def parse_number(name: str, text: str) -> int:
    """Read a whole number that is not negative."""
    found = str(text)
    if not (found.isascii() and found.isdecimal()):
        raise CommandError(
            ExitCode.usage,
            f'--{name} {found!r} is not a whole number',
            f'write --{name} 5',
        )
    return int(found)


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


def _keep_text(word: str) -> str:
    if word.startswith('-'):
        flag, separator, text = word.partition('=')
        return f'{flag}={_keep_text(text)}' if separator and text else word
    if isinstance(DefaultParseValue(word), str):
        return word
    return repr(word)
