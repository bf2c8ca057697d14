"""Command that runs the entry of an instance."""

import fire

from mintlanding.conf.command import run_binary
from mintlanding.entry.application import EntryApplication


def serve(settings: str) -> None:
    """Run the entry of the instance that a YAML file describes.

    Args:
        settings: Path of the settings file.
    """
    run_binary(
        settings,
        lambda cfg: EntryApplication.from_config(cfg).application,
    )


def main() -> None:
    """Run the command."""
    fire.Fire(serve, name='mintlanding-entry')


if __name__ == '__main__':
    main()
