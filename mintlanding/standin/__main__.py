"""Command that runs one stand-in."""

import inspect
import sys
from pathlib import Path
from typing import Any

import fire
import yaml
from pydantic import ValidationError

from mintlanding.core.application import Application, run_application
from mintlanding.standin import (  # noqa: F401
    engine,
    instances,
    keyvalue,
    plain,
    weight_store,
)
from mintlanding.standin.base import KINDS
from mintlanding.standin.settings import StandinSettings

_EXIT_BAD_SETTINGS = 2


def build_application(settings: StandinSettings) -> Application:
    """Build an application that starts and stops the stand-in."""
    standin = KINDS.get(settings.kind)(settings)
    application = Application('standin')
    application.on_start(standin.start)
    application.on_stop(standin.stop)
    return application


def serve(settings: str = '', **options: Any) -> None:
    """Run a stand-in, with options such as --kind engine --port 9001.

    Args:
        settings: Path of a YAML file with the same fields; options override it.
        options: Fields of the settings.
    """
    fields: dict[str, Any] = {}
    if settings:
        fields.update(yaml.safe_load(Path(settings).read_text()) or {})
    fields.update(options)
    try:
        validated = StandinSettings.model_validate(fields)
    except ValidationError as exc:
        sys.stderr.write(f'{exc}\n')
        sys.exit(_EXIT_BAD_SETTINGS)
    run_application(lambda: build_application(validated))


def show_help() -> None:
    """Print the options, which are the fields of the settings."""
    lines = ['usage: mintlanding-standin --kind KIND [--FIELD VALUE ...]', '']
    lines.append(inspect.cleandoc(StandinSettings.__doc__ or ''))
    for name, field in StandinSettings.model_fields.items():
        default = '' if field.is_required() else f' [{field.default}]'
        lines.append(f'  --{name.replace("_", "-")}{default}')
    sys.stdout.write('{text}\n'.format(text='\n'.join(lines)))


def main() -> None:
    """Run the command."""
    if {'--help', '-h'} & set(sys.argv[1:]):
        show_help()
        return
    fire.Fire(serve, name='mintlanding-standin')


if __name__ == '__main__':
    main()
