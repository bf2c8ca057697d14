"""Errors of the configuration packages."""

from mintlanding.core.exceptions import ConfigurationError, PlatformError


class StoredConfigurationError(PlatformError):
    """The stored data cannot be read as a configuration."""


class ConfigurationTooLarge(ConfigurationError):
    """The configuration exceeds the size limits of the key-value service."""
