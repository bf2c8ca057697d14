"""Errors of load replay."""

from mintlanding.core.exceptions import MintlandingError


class RecordError(MintlandingError):
    """A record or its source is unusable; with location and remedy."""

    def __init__(self, place: str, message: str, remedy: str) -> None:
        """Set the file with line or field, what is wrong, and what to do."""
        super().__init__(f'{place}: {message}')
        self.place = place
        self.remedy = remedy


class PlotError(RecordError):
    """A plot cannot be made."""


class ReplayError(MintlandingError):
    """A replay broke a rule of its model, such as the slots of an engine."""
