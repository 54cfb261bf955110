"""Removal of comments and trailing commas from JSON documents."""

from __future__ import annotations

import re

_TOKENS = re.compile(
    r'(?P<text>"(?:\\.|[^"\\\n])*")'
    r"|(?P<comment>//[^\n]*|/\*.*?\*/)"
    r"|(?P<comma>,(?=(?:\s|//[^\n]*\n|/\*.*?\*/)*[}\]]))",
    re.DOTALL,
)
_VISIBLE = re.compile(r"[^\n]")


def blank_comments(text: str) -> str:
    """Replace comments and trailing commas by spaces.

    The text keeps its length and line breaks, so that positions in the
    result are valid in the original.
    """
    return _TOKENS.sub(_blank_token, text)


def _blank_token(match: re.Match[str]) -> str:
    if match["text"] is not None:
        return match["text"]
    return _VISIBLE.sub(" ", match[0])


__all__ = ("blank_comments",)
