"""Checks of a file of settings or objects, without a server."""

from mintlanding.cli.exceptions import CommandError, ExitCode
from mintlanding.cli.files import (
    build_request,
    check_objects,
    is_settings,
    read_documents,
)
from mintlanding.cli.output import Result
from mintlanding.conf.exceptions import SettingsError
from mintlanding.conf.loader import load_settings


def check_file(file: str) -> Result:
    """Return what was checked; raise CommandError with every error found."""
    documents = read_documents(file)
    if is_settings(documents):
        return _check_settings(file)
    req = build_request(documents, file)
    mistakes = check_objects(req)
    if mistakes:
        raise CommandError(
            ExitCode.usage,
            f'{file} has {len(mistakes)} mistake(s)',
            'correct them and check again',
            mistakes,
        )
    count = len(req.objects) + len(req.deletions)
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
