from __future__ import annotations

import pytest

from cyclamenwing.settings import documents

HEAD = '{"url": "http://x//y /* z */",'
TEXTS = (
    (HEAD + ' // c "\n// more\n"b": 1}', 3),
    ("/* one\n two */ // three\n" + HEAD + '"b": 1 /* " */, }', 3),
    (HEAD + '\n"a": "\\"//", /* \n\n */ "b": [1, 2,]}', 4),
)


@pytest.mark.parametrize(("text", "line"), TEXTS)
def test_comments_do_not_shift_lines(text: str, line: int) -> None:
    document = documents.parse_document("f", text)
    assert document.data["url"] == "http://x//y /* z */"
    assert document.find_line(["b"]) == line
