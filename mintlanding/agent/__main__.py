"""The command that runs the agent of an instance."""

import fire

from mintlanding.agent.application import AgentApplication
from mintlanding.conf.command import run_binary


def serve(settings: str) -> None:
    """Run the agent of the instance that a YAML file describes.

    Args:
        settings: Path of the settings file.
    """
    run_binary(
        settings,
        lambda cfg: AgentApplication.from_config(cfg).application,
    )


def main() -> None:
    """Run the command."""
    fire.Fire(serve, name='mintlanding-agent')


if __name__ == '__main__':
    main()
