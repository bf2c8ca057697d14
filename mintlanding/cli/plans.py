"""Plans of commands: nothing runs before all words are understood.

The command line library looks at left-over words only after it has called the
command. Commands therefore return a plan, which is carried out afterwards.
"""

from collections.abc import Callable
from dataclasses import dataclass

from mintlanding.cli.client import AdminClient
from mintlanding.cli.exceptions import ExitCode
from mintlanding.cli.output import Output, Result


@dataclass(frozen=True, slots=True, repr=False)
class Options:
    """Options that all commands share."""

    output: Output
    url: str
    token_file: str

    def connect(self) -> AdminClient:
        """Return the connection to the administration API."""
        return AdminClient.from_environment(self.url, self.token_file)


class Plan:
    """A command with its words, ready to run."""

    __slots__ = ('_options', '_work')

    def __init__(self, options: Options, work: Callable[[], Result]) -> None:
        """Take what to do."""
        self._options = options
        self._work = work

    def _run(self) -> ExitCode:
        found = self._work()
        found.write(self._options.output)
        return found.exit_code


def run_plan(plan: Plan) -> ExitCode:
    """Carry a plan out."""
    return plan._run()  # noqa: SLF001, WPS437
