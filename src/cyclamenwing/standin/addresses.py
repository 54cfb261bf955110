"""Reservation of loopback addresses for processes that start later."""

from __future__ import annotations

import socket

# Bound sockets that do not listen. The kernel hands none of their ports to
# another socket, but a server that sets SO_REUSEADDR, as Tornado's do, can
# still bind them.
_reserved: list[socket.socket] = []


def reserve_address() -> str:
    """Return a free ``ip:port`` that stays reserved for this process."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    _reserved.append(sock)
    return f"127.0.0.1:{sock.getsockname()[1]}"


__all__ = ("reserve_address",)
