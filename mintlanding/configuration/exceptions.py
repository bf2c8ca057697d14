"""Errors of the configuration packages."""

from mintlanding.core.exceptions import ConfigurationError, PlatformError


class StoredConfigurationError(PlatformError):
    """What the key-value service holds cannot be read as configuration."""


class ConfigurationTooLarge(ConfigurationError):
    """A configuration that does not fit the key-value service."""
