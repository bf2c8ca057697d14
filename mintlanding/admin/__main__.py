"""Command that runs the administration API."""

import fire

from mintlanding.admin.application import AdminApplication
from mintlanding.conf.command import run_binary


def serve(settings: str) -> None:
    """Run the administration API of the instance that a YAML file describes.

    Args:
        settings: Path of the settings file.
    """
    run_binary(
        settings,
        lambda cfg: AdminApplication.from_config(cfg).application,
    )


def main() -> None:
    """Run the command."""
    fire.Fire(serve, name='mintlanding-admin')


if __name__ == '__main__':
    main()
