"""Errors of settings files."""

from __future__ import annotations

from cyclamenwing import errors


class SettingsError(errors.CodedError):
    """Report a settings file that can't be used.

    :param reason: what is wrong
    :param file: file that holds it, if one is to blame
    :param line: line in the file, from 1
    """

    code = "settings_error"

    def __init__(self, reason: str, file: str = "", line: int = 1) -> None:
        place = f"{file}:{line}: " if file else ""
        super().__init__(f"{place}{self.code}: {reason}")
        self.reason = reason
        self.file = file
        self.line = line


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
