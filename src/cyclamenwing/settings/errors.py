"""Errors of settings files and their values."""

from __future__ import annotations

from cyclamenwing import errors


class SettingsError(errors.CodedError):
    """Report a settings file that can't be used.

    :param reason: description of the fault
    :param file: file that contains the fault, empty if there is none
    :param line: line in the file, counted from 1
    """

    code = "settings_error"

    def __init__(self, reason: str, file: str = "", line: int = 1) -> None:
        place = f"{file}:{line}: " if file else ""
        super().__init__(f"{place}{self.code}: {reason}")
        self.reason = reason
        self.file = file
        self.line = line


class SettingsSyntaxError(SettingsError):
    """Report a file that can't be read or is not JSON with comments."""

    code = "settings_syntax"


class SettingsSchemaError(SettingsError):
    """Report an unknown key, or a value of a wrong type or range."""

    code = "settings_schema"


class SettingsAddressError(SettingsError):
    """Report an address that is invalid or can't be bound."""

    code = "settings_address"


__all__ = (
    "SettingsAddressError",
    "SettingsError",
    "SettingsSchemaError",
    "SettingsSyntaxError",
)
