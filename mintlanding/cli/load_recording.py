"""The commands that make records of load."""

from collections.abc import Callable, Sequence
from dataclasses import asdict
from typing import ParamSpec, TypeVar

from mintlanding.cli.exceptions import CommandError, ExitCode
from mintlanding.cli.output import Output, Result
from mintlanding.load_replay.exceptions import RecordError
from mintlanding.load_replay.log_reader import (
    FleetFile,
    LogReader,
    read_fleet_file,
)
from mintlanding.load_replay.record_file import write_record

_Params = ParamSpec('_Params')
_FoundT = TypeVar('_FoundT')


def record_load(files: Sequence[str], output: str, fleet: str = '') -> Result:
    """Write the record of log files and return what was read.

    Raise CommandError if a file is unusable or a limit is exceeded.
    """
    check_output(output)
    if not files:
        raise CommandError(
            ExitCode.usage,
            'no log file is given',
            'give files with the standard output of instances',
        )
    return call_with_errors(_record, files, output, fleet)


def check_output(output: str) -> None:
    """Raise CommandError if --output names a format, or no file.

    For all other commands it is the format of the result.
    """
    if output in tuple(Output):
        raise CommandError(
            ExitCode.usage,
            'no file to write is given',
            'write --output FILE; --format json sets the format of the result',
        )


def call_with_errors(
    action: Callable[_Params, _FoundT],
    *args: _Params.args,
    **kwargs: _Params.kwargs,
) -> _FoundT:
    """Call a function; report its RecordError as an error of the command."""
    try:
        return action(*args, **kwargs)
    except RecordError as exc:
        raise CommandError(ExitCode.usage, str(exc), exc.remedy) from exc


def _record(files: Sequence[str], output: str, fleet: str) -> Result:
    reader = LogReader(read_fleet_file(fleet) if fleet else FleetFile())
    reader.read_files(files)
    record = reader.make_record()
    size = write_record(record, output)
    found = {
        'file': output,
        'bytes': size,
        'requests': len(record.requests),
        'engines': len(record.header.engines),
        'lines': asdict(reader.counts),
    }
    lines = ', '.join(
        f'{count} {name.replace("_", " ")}'
        for name, count in asdict(reader.counts).items()
    )
    text = (
        f'{output}: {len(record.requests)} request(s), '
        f'{len(record.header.engines)} engine(s), {size} bytes\nlines: {lines}'
    )
    return Result(found, text)
