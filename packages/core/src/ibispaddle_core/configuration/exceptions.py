"""Exceptions raised by the configuration package."""


class ConfigurationError(Exception):
    """Base class of configuration errors."""


class RecordError(ConfigurationError):
    """A record of the `config` stream does not match the documented format."""
