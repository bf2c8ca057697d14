"""Errors of commands, with exit code and hint."""

from collections.abc import Sequence
from enum import IntEnum

from mintlanding.core.exceptions import MintlandingError


class ExitCode(IntEnum):
    """Exit codes, described in docs/reference/commands.md.

    `check-config` uses 1 and 2 for what it has found.
    """

    done = 0
    refused = 1
    has_warnings = 1
    usage = 2
    has_errors = 2
    conflict = 3
    unknown_object = 4
    unavailable = 5
    not_offered = 6
    unauthorized = 7
    outcome_unknown = 8
    differs = 10
    not_in_force = 11
    interrupted = 130


class CommandError(MintlandingError):
    """A command failed; the hint says what to do."""

    def __init__(
        self,
        exit_code: ExitCode,
        message: str,
        hint: str = '',
        details: Sequence[str] = (),
    ) -> None:
        """Set exit code, message, hint and further lines of detail."""
        super().__init__(message)
        self.exit_code = exit_code
        self.hint = hint
        self.details = list(details)

    def lines(self) -> list[str]:
        """Return the lines for standard error."""
        hint = [f'hint: {self.hint}'] if self.hint else []
        return [f'error: {self}', *self.details, *hint]
