"""Check a file of settings or of objects, without a server."""

from mintlanding.cli.exceptions import CommandError, ExitCode
from mintlanding.cli.files import (
    check_objects,
    is_settings,
    read_documents,
    request_of,
)
from mintlanding.cli.output import Result
from mintlanding.conf.exceptions import SettingsError
from mintlanding.conf.loader import load_settings


def check_file(file: str) -> Result:
    """Return what was checked; raise CommandError with every mistake."""
    documents = read_documents(file)
    if is_settings(documents):
        return _check_settings(file)
    wanted = request_of(documents, file)
    mistakes = check_objects(wanted)
    if mistakes:
        raise CommandError(
            ExitCode.usage,
            f'{file} has {len(mistakes)} mistake(s)',
            'correct them and check again',
            mistakes,
        )
    count = len(wanted.objects) + len(wanted.deletions)
    text = (
        f'{file}: {count} object(s), no mistakes; `mintlanding diff` compares'
    )
    return Result({'file': file, 'objects': count, 'mistakes': []}, text)


def _check_settings(file: str) -> Result:
    try:
        load_settings(file)
    except SettingsError as exc:
        raise CommandError(
            ExitCode.usage,
            f'the settings cannot be used\n{exc}',
            'docs/reference/settings.md describes each setting',
        ) from exc
    found = {'file': file, 'settings': True, 'mistakes': []}
    return Result(found, f'{file}: settings, no mistakes')
