"""Fault tables: the faults that a stand-in injects into its calls."""

from __future__ import annotations

import asyncio
import pathlib
from typing import Literal
from typing import TypedDict

import msgspec

from cyclamenwing.settings import documents
from cyclamenwing.settings import errors as settings_errors

FaultKind = Literal["down", "slow", "lost_answer", "cut", "silent", "garbage"]


class Fault(TypedDict):
    """Describe a fault of the calls whose path contains `call`.

    The first `skip` matching calls are served normally; the next `count`
    calls have the fault, or all of them if `count` is -1. `delay_s` is
    the delay before the call is served.
    """

    call: str
    kind: FaultKind
    skip: int
    count: int
    delay_s: float


class FaultTable:
    """Choose the fault of each call.

    :param faults: the faults in order of precedence
    """

    def __init__(self, faults: list[Fault] | None = None) -> None:
        self.faults = faults or []

    def match(self, call: str) -> Fault | None:
        """Return the fault of a call and update its `skip` and `count`.

        The first fault that matches the call and is not used up applies.
        """
        for fault in self.faults:
            if fault["call"] not in call:
                continue
            if fault["skip"] > 0:
                fault["skip"] -= 1
                continue
            if fault["count"] == 0:
                continue
            fault["count"] -= 1
            return fault
        return None

    @classmethod
    def from_file(cls, path: pathlib.Path) -> FaultTable:
        """Read a table from a JSON file with comments.

        :raises SettingsSyntaxError: if the file is unreadable or not JSON
        :raises SettingsSchemaError: if a fault has the wrong form
        """
        document = documents.read_document(path)
        try:
            return cls(msgspec.convert(document.data, list[Fault]))
        except msgspec.ValidationError as err:
            raise settings_errors.SettingsSchemaError(
                str(err), document.file
            ) from err

    async def delay(self, fault: Fault | None) -> None:
        """Wait for a fault's delay, if there is one."""
        if fault is not None and fault["delay_s"] > 0:
            await asyncio.sleep(fault["delay_s"])


__all__ = (
    "Fault",
    "FaultKind",
    "FaultTable",
)
