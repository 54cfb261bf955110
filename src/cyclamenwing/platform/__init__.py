"""Translation between the users' platform and the product's own types."""

from __future__ import annotations

__all__ = ()
