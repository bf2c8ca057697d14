"""The operators' command line."""

import sys
from collections.abc import Sequence

import fire

from mintlanding.cli.commands import Commands
from mintlanding.cli.exceptions import CommandError, ExitCode
from mintlanding.cli.plans import Plan, run_plan

NAME = 'mintlanding'
_HELP_FLAG = '--help'


def run(words: Sequence[str]) -> int:
    """Run one command and return its exit code."""
    try:
        plan = fire.Fire(
            Commands,
            command=list(words) or [_HELP_FLAG],
            name=NAME,
            serialize=_write_nothing,
        )
        if isinstance(plan, Plan):
            return int(run_plan(plan))
    except CommandError as exc:
        sys.stderr.write('{0}\n'.format('\n'.join(exc.lines())))
        return int(exc.exit_code)
    sys.stderr.write(
        f'error: the command is not complete\nhint: {NAME} {_HELP_FLAG}\n',
    )
    return int(ExitCode.usage)


def main() -> None:
    """Run the command that the process was started with."""
    sys.exit(run(sys.argv[1:]))


def _write_nothing(found: object) -> str:
    return ''


if __name__ == '__main__':
    main()
