"""Errors of settings files."""

from __future__ import annotations

from cyclamenwing import errors


class SettingsError(errors.CodedError):
    """Report a settings file that can't be used."""

    code = "settings_error"


class SettingsSyntaxError(SettingsError):
    """Report a file that is not JSON with comments."""

    code = "settings_syntax"


class SettingsSchemaError(SettingsError):
    """Report an unknown key, a wrong type or a wrong value."""

    code = "settings_schema"


class SettingsAddressError(SettingsError):
    """Report an address that can't be bound."""

    code = "settings_address"


__all__ = (
    "SettingsAddressError",
    "SettingsError",
    "SettingsSchemaError",
    "SettingsSyntaxError",
)
