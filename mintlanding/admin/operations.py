"""Registry of the API's operations, for its routes and its description."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from mintlanding.admin.errors import Refusal
from mintlanding.admin.messages import EmptyQuery
from mintlanding.admin.schemas import Schema
from mintlanding.core.registry import Registry

QueryT = TypeVar('QueryT', bound=Schema)


@dataclass(frozen=True, slots=True)
class Call:
    """A validated call of an operator."""

    operator: str
    path: dict[str, str]
    query: Any
    body: Any
    if_match: str | None = None
    write_id: str = ''


OperationHandler = Callable[[Any, Call], Awaitable[Schema | Refusal]]


@dataclass(frozen=True, slots=True)
class Operation:
    """One HTTP method on one path."""

    method: str
    path: str
    summary: str
    handler: OperationHandler
    answer: type[Schema]
    body: type[Schema] | None = None
    query: type[Schema] = EmptyQuery
    status: int = 200
    is_conditional: bool = False

    @property
    def key(self) -> str:
        """Return the key in the registry."""
        return f'{self.method} {self.path}'

    @property
    def names(self) -> list[str]:
        """Return the names of the path parameters."""
        parts = self.path.split('/')
        return [part[1:-1] for part in parts if part.startswith('{')]


OPERATIONS: Registry[Operation] = Registry('operation')


def add_operation(added: Operation) -> None:
    """Register an operation."""
    OPERATIONS.register(added.key)(added)


def operation(
    method: str,
    path: str,
    answer: type[Schema],
    *,
    body: type[Schema] | None = None,
    query: type[Schema] = EmptyQuery,
    status: int = 200,
) -> Callable[[OperationHandler], OperationHandler]:
    """Return a decorator that registers a handler as an operation.

    The first line of the handler's docstring becomes the summary.
    """

    def decorate(handler: OperationHandler) -> OperationHandler:
        summary = (handler.__doc__ or '').strip().partition('\n')[0]
        add_operation(
            Operation(
                method,
                path,
                summary,
                handler,
                answer,
                body,
                query,
                status,
            ),
        )
        return handler

    return decorate
