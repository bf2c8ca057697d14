"""The operators' command line."""

import os
import sys
from collections.abc import Sequence

import fire

from mintlanding.cli.commands import Commands
from mintlanding.cli.exceptions import CommandError, ExitCode
from mintlanding.cli.help import HELP_WORDS, overview
from mintlanding.cli.parsing import keep_texts
from mintlanding.cli.plans import Plan, run_plan

NAME = 'mintlanding'


def run(words: Sequence[str]) -> int:
    """Run one command and return its exit code."""
    if not words or words[0] in HELP_WORDS:
        sys.stdout.write(f'{overview()}\n')
        return int(ExitCode.done if words else ExitCode.usage)
    try:
        return _run_command(words)
    except CommandError as exc:
        sys.stderr.write('{0}\n'.format('\n'.join(exc.lines())))
        return int(exc.exit_code)


def main() -> None:
    """Run the command that the process was started with."""
    try:
        code = run(sys.argv[1:])
        sys.stdout.flush()
    except BrokenPipeError:
        _drop_output()
        code = int(ExitCode.done)
    except KeyboardInterrupt:
        code = int(ExitCode.interrupted)
    sys.exit(code)


def _run_command(words: Sequence[str]) -> int:
    plan = fire.Fire(
        Commands,
        command=keep_texts(words),
        name=NAME,
        serialize=_write_script,
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


def _drop_output() -> None:
    """Write no more to a reader that left, such as `head`."""
    nowhere = os.open(os.devnull, os.O_WRONLY)
    os.dup2(nowhere, sys.stdout.fileno())


def _write_script(found: object) -> str | None:
    """Let the library write its completion script, but no plan."""
    return found if isinstance(found, str) else None


if __name__ == '__main__':
    main()
