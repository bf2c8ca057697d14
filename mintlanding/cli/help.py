"""Help text with an overview of all commands."""

import inspect
from collections.abc import Callable, Iterator

from mintlanding.cli.commands import Commands
from mintlanding.cli.groups import KeyCommands, ReportCommands

HELP_ARGUMENTS = frozenset(('--help', '-h', 'help'))
_GROUPS = {'keys': KeyCommands, 'report': ReportCommands}
_COLUMN = 34


def build_overview() -> str:
    """Return the usage and a summary of each command."""
    lines = [
        'usage: mintlanding COMMAND [ARGUMENTS] [OPTIONS]',
        '',
        inspect.getdoc(Commands) or '',
        '',
        'commands:',
    ]
    for prefix, group in (('', Commands), *_GROUPS.items()):
        for name, command in _iter_commands(group):
            usage = f'{prefix} {name} {_arguments(command)}'.strip()
            summary = (inspect.getdoc(command) or '').partition('\n')[0]
            lines.append(f'  {usage:<{_COLUMN}} {summary}')
    lines += [
        '',
        'options: --output table|json, --url URL, --token-file FILE',
        '`mintlanding COMMAND --help` shows the options of a command.',
    ]
    return '\n'.join(lines)


def _iter_commands(group: type) -> Iterator[tuple[str, Callable[..., object]]]:
    for name, member in group.__dict__.items():
        if inspect.isfunction(member) and not name.startswith('_'):
            yield name, member


def _arguments(command: Callable[..., object]) -> str:
    parameters = inspect.signature(command).parameters.values()
    required = [
        _format_parameter(parameter)
        for parameter in parameters
        if parameter.default is parameter.empty and parameter.name != 'self'
    ]
    return ' '.join(required)


def _format_parameter(parameter: inspect.Parameter) -> str:
    name = parameter.name.upper()
    if parameter.kind is parameter.KEYWORD_ONLY:
        return f'--{parameter.name} {name}'
    return name
