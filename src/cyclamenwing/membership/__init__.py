"""Membership: hosts, heartbeats, gossip, drain, leases and fencing."""

from __future__ import annotations

__all__ = ()
