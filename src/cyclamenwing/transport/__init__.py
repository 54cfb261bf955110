"""HTTP/1.1 servers, clients and message framing."""

from __future__ import annotations

__all__ = ()
