"""Exceptions of the settings."""

from mintlanding.core.checks import CheckMessage
from mintlanding.core.exceptions import ConfigurationError


class SettingsError(ConfigurationError):
    """The settings are invalid; `messages` lists all mistakes."""

    def __init__(self, messages: list[CheckMessage]) -> None:
        """Keep the messages for display."""
        super().__init__('\n'.join(str(each) for each in messages))
        self.messages = messages
