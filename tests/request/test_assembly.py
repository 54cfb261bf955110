"""Assembly of an answer whose stream is resumed or taken from another run.

A resumed stream repeats or misses bytes, and a second run may answer
differently; the caller must get each byte once and of one answer only.
"""

from __future__ import annotations

import msgspec
import pytest

from cyclamenwing.request import assembly
from cyclamenwing.request import errors
from cyclamenwing.request import types
from cyclamenwing.transport import frame_codec


def make_frame(offset: int, data: bytes) -> types.Frame:
    return frame_codec.decode_frame(
        msgspec.json.encode(assembly.encode_part(offset, data))
    )


def test_overlapping_parts_return_each_byte_once() -> None:
    assembler = assembly.Assembler()
    received = [
        assembler.accept(make_frame(0, b"abc")),
        assembler.accept(make_frame(1, b"bcd")),
        assembler.accept(make_frame(0, b"ab")),
        assembler.accept(make_frame(4, b"\xff")),
    ]
    assert received == [b"abc", b"d", b"", b"\xff"]


def test_gap_raises_an_error() -> None:
    with pytest.raises(errors.AnswerBrokenError):
        assembly.Assembler().accept(make_frame(1, b"a"))


@pytest.mark.parametrize(
    ("second_run", "expected"),
    [
        ([(0, b"abc"), (3, b"def")], b"abcdef"),
        ([(0, b"a"), (1, b"bcdef")], b"abcdef"),
        ([(0, b"abX"), (3, b"def")], None),
        ([(3, b"def")], None),
    ],
)
def test_answers_of_two_runs_never_mix(
    second_run: list[tuple[int, bytes]], expected: bytes | None
) -> None:
    assembler = assembly.Assembler()
    received = assembler.accept(make_frame(0, b"abc"))
    assembler.rewind()
    try:
        for offset, data in second_run:
            received += assembler.accept(make_frame(offset, data))
    except errors.AnswerBrokenError:
        assert expected is None
        assert received == b"abc"
        return
    assert received == expected
