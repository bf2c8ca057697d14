"""Parsing of command line arguments."""

from collections.abc import Sequence

from fire.parser import DefaultParseValue

from mintlanding.admin.objects import COLLECTIONS, collection_of
from mintlanding.cli.exceptions import CommandError, ExitCode

_TRUE_VALUES = frozenset(('1', 'on', 'true', 'yes'))


def quote_literals(args: Sequence[str]) -> list[str]:
    """Quote arguments that Fire would parse as literals, such as 007."""
    return [_quote_literal(arg) for arg in args]


def is_set(flag: object) -> bool:
    """Return whether a flag is set, given as --flag or --flag=true."""
    return str(flag).lower() in _TRUE_VALUES


def parse_number(name: str, text: str) -> int:
    """Parse a whole number that is not negative."""
    found = str(text)
    if not (found.isascii() and found.isdecimal()):
        raise CommandError(
            ExitCode.usage,
            f'--{name} {found!r} is not a whole number',
            f'write --{name} 5',
        )
    return int(found)


def parse_collection(text: str) -> str:
    """Return the collection of a kind, given in the singular or plural.

    Raise CommandError with the known kinds.
    """
    arg = text.lower().replace('_', '-')
    if arg in COLLECTIONS:
        return arg
    if arg in COLLECTIONS.values():
        return collection_of(arg)
    known = ', '.join(COLLECTIONS)
    raise CommandError(
        ExitCode.usage,
        f'unknown kind {text!r}',
        f'use one of: {known}',
    )


def parse_labels(text: str) -> dict[str, str]:
    """Parse labels written as a=b,c=d."""
    found: dict[str, str] = {}
    for pair in filter(None, (each.strip() for each in text.split(','))):
        label, separator, label_value = pair.partition('=')
        if not separator:
            raise CommandError(
                ExitCode.usage,
                f'label {pair!r} has no value',
                'write labels as a=b,c=d',
            )
        found[label.strip()] = label_value.strip()
    return found


def _quote_literal(arg: str) -> str:
    if arg.startswith('-'):
        flag, separator, text = arg.partition('=')
        return f'{flag}={_quote_literal(text)}' if separator and text else arg
    if isinstance(DefaultParseValue(arg), str):
        return arg
    return repr(arg)
