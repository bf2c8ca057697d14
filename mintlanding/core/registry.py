"""Registries of named implementations, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from mintlanding.core.exceptions import ConfigurationError

EntryT = TypeVar('EntryT')


class Registry(Generic[EntryT]):
    """Named implementations of one kind, such as policies or checks."""

    def __init__(self, kind: str) -> None:
        """Create a registry; `kind` is used in error messages."""
        self._kind = kind
        self._entries: dict[str, EntryT] = {}

    def register(self, name: str) -> Callable[[EntryT], EntryT]:
        """Return a decorator that registers an entry under `name`."""

        def decorate(entry: EntryT) -> EntryT:
            if name in self._entries:
                raise ConfigurationError(
                    f'{self._kind} {name!r} is registered twice',
                )
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> EntryT:
        """Return an entry; raise ConfigurationError if it is unknown."""
        if name not in self._entries:
            known = ', '.join(sorted(self._entries))
            raise ConfigurationError(
                f'unknown {self._kind} {name!r}; known: {known}',
            )
        return self._entries[name]

    def names(self) -> list[str]:
        """Return the registered names, sorted."""
        return sorted(self._entries)

    def __iter__(self) -> Iterator[tuple[str, EntryT]]:
        """Iterate over names and entries in order of registration."""
        return iter(self._entries.items())
