"""Errors of settings."""

from mintlanding.core.checks import CheckMessage
from mintlanding.core.exceptions import ConfigurationError


class SettingsError(ConfigurationError):
    """Settings with mistakes; `messages` has every one of them."""

    def __init__(self, messages: list[CheckMessage]) -> None:
        """Keep the messages for a caller that shows them."""
        super().__init__('\n'.join(str(each) for each in messages))
        self.messages = messages
