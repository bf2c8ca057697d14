"""Deferred commands: nothing runs before all arguments are parsed.

Fire reports extra arguments only after it has called the command. Commands
therefore return a plan, which runs afterwards.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

from mintlanding.cli.client import AdminClient
from mintlanding.cli.exceptions import ExitCode
from mintlanding.cli.output import Output, Result


@dataclass(frozen=True, slots=True, repr=False)
class Options:
    """Options that all commands share, as they were given.

    `output` is the format of the result, or the file that the command writes.
    """

    output: str
    url: str
    token_file: str

    def with_format(self, text: str) -> 'Options':
        """Return options with another format, raise CommandError if unknown."""
        return replace(self, output=Output.parse(text, 'format'))

    def connect(self) -> AdminClient:
        """Return a client of the administration API."""
        return AdminClient.from_environment(self.url, self.token_file)


class Plan:
    """A command with its parsed arguments, ready to run."""

    __slots__ = ('_output', '_action')

    def __init__(self, options: Options, action: Callable[[], Result]) -> None:
        """Set the action to run; raise CommandError for an unknown format."""
        self._output = Output.parse(options.output)
        self._action = action

    def _run(self) -> ExitCode:
        found = self._action()
        found.write(self._output)
        return found.exit_code


def run_plan(plan: Plan) -> ExitCode:
    """Run a plan; its method is private, as Fire offers public ones."""
    return plan._run()  # noqa: SLF001, WPS437
