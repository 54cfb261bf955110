from __future__ import annotations

import msgspec
import pytest

from cyclamenwing.request import assembly
from cyclamenwing.request import errors
from cyclamenwing.request import types
from cyclamenwing.transport import lines


def make_frame(offset: int, data: bytes) -> types.Frame:
    return lines.decode_frame(
        msgspec.json.encode(assembly.encode_part(offset, data))
    )


def test_overlapping_parts_pass_each_byte_once() -> None:
    assembler = assembly.Assembler()
    passed = [
        assembler.accept(make_frame(0, b"abc")),
        assembler.accept(make_frame(1, b"bcd")),
        assembler.accept(make_frame(0, b"ab")),
        assembler.accept(make_frame(4, b"\xff")),
    ]
    assert passed == [b"abc", b"d", b"", b"\xff"]


def test_gap_is_refused() -> None:
    with pytest.raises(errors.AnswerBrokenError):
        assembly.Assembler().accept(make_frame(1, b"a"))
