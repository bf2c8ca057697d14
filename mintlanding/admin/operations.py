"""The operations of the API: one registry feeds the routes and the page."""

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
    """A checked call of an operator."""

    operator: str
    path: dict[str, str]
    query: Any
    body: Any
    if_match: str | None = None
    write_id: str = ''


OperationHandler = Callable[[Any, Call], Awaitable[Schema | Refusal]]


@dataclass(frozen=True, slots=True)
class Operation:
    """One method on one path; `names` are the parameters of the path."""

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
        """Return the name in the registry."""
        return f'{self.method} {self.path}'

    @property
    def names(self) -> list[str]:
        """Return the parameters of the path."""
        parts = self.path.split('/')
        return [part[1:-1] for part in parts if part.startswith('{')]


OPERATIONS: Registry[Operation] = Registry('operation')


def add_operation(offered: Operation) -> None:
    """File an operation that is built in a loop."""
    OPERATIONS.register(offered.key)(offered)


def operation(
    method: str,
    path: str,
    answer: type[Schema],
    *,
    body: type[Schema] | None = None,
    query: type[Schema] = EmptyQuery,
    status: int = 200,
) -> Callable[[OperationHandler], OperationHandler]:
    """Return a decorator that files a handler as an operation."""

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
