"""Comments and trailing commas of JSON documents, blanked in place."""

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
    """Return plain JSON of the same length and lines."""
    return _TOKENS.sub(_blank_token, text)


def _blank_token(match: re.Match[str]) -> str:
    if match["text"] is not None:
        return match["text"]
    return _VISIBLE.sub(" ", match[0])


__all__ = ("blank_comments",)
