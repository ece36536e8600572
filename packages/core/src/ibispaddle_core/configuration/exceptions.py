"""Errors of the configuration layer."""


class ConfigurationError(Exception):
    """Raise when a configuration record cannot be interpreted."""


class RecordError(ConfigurationError):
    """Raise when a record of the stream does not have the documented form."""
