"""Entry point of the operators' command line."""

import os
import sys
from collections.abc import Sequence

import fire

from mintlanding.cli.commands import Commands
from mintlanding.cli.exceptions import CommandError, ExitCode
from mintlanding.cli.help import HELP_ARGUMENTS, build_overview
from mintlanding.cli.parsing import quote_literals
from mintlanding.cli.plans import Plan, run_plan

NAME = 'mintlanding'


def run(args: Sequence[str]) -> int:
    """Run one command and return its exit code."""
    if not args or args[0] in HELP_ARGUMENTS:
        sys.stdout.write(f'{build_overview()}\n')
        return int(ExitCode.done if args else ExitCode.usage)
    try:
        return _run_command(args)
    except CommandError as exc:
        sys.stderr.write('{0}\n'.format('\n'.join(exc.lines())))
        return int(exc.exit_code)


def main() -> None:
    """Run the command of `sys.argv`."""
    try:
        code = run(sys.argv[1:])
        sys.stdout.flush()
    except BrokenPipeError:
        _discard_output()
        code = int(ExitCode.done)
    except KeyboardInterrupt:
        code = int(ExitCode.interrupted)
    sys.exit(code)


def _run_command(args: Sequence[str]) -> int:
    plan = fire.Fire(
        Commands,
        command=quote_literals(args),
        name=NAME,
        serialize=_serialize_result,
    )
    if isinstance(plan, Plan):
        return int(run_plan(plan))
    if isinstance(plan, str):
        return int(ExitCode.done)
    raise CommandError(
        ExitCode.usage,
        'the command is not complete',
        f'{NAME} --help lists the commands',
    )


def _discard_output() -> None:
    """Discard further output after the reader closed it, as `head` does."""
    devnull = os.open(os.devnull, os.O_WRONLY)
    os.dup2(devnull, sys.stdout.fileno())


def _serialize_result(found: object) -> str | None:
    """Let Fire print its completion script, but not a plan."""
    return found if isinstance(found, str) else None


if __name__ == '__main__':
    main()
