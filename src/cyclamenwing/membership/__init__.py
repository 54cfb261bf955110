"""Hosts, heartbeats, sessions, drain and fencing."""

from __future__ import annotations

__all__ = ()
