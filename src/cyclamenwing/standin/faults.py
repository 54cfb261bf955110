"""Tables of faults that a stand-in brings about."""

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
    """Describe a fault of calls whose path contains `call`.

    It spares `skip` calls first and then hits `count`, -1 for all;
    `delay_s` passes before the call.
    """

    call: str
    kind: FaultKind
    skip: int
    count: int
    delay_s: float


class FaultTable:
    """Choose the fault of each call.

    :param faults: rows, the first that matches applies
    """

    def __init__(self, faults: list[Fault] | None = None) -> None:
        self.faults = faults or []

    def match(self, call: str) -> Fault | None:
        """Count a call against the table and return its fault."""
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
        """Read a table from JSON with comments; raise a coded error."""
        document = documents.read_document(path)
        try:
            return cls(msgspec.convert(document.data, list[Fault]))
        except msgspec.ValidationError as err:
            raise settings_errors.SettingsSchemaError(
                str(err), document.file
            ) from err

    async def delay(self, fault: Fault | None) -> None:
        """Wait as long as a fault says."""
        if fault is not None and fault["delay_s"] > 0:
            await asyncio.sleep(fault["delay_s"])


__all__ = (
    "Fault",
    "FaultKind",
    "FaultTable",
)
