"""Guards against tests whose process finds its port taken by another socket.

A port that is free when it is chosen can be given to another process's
socket before the process that it is meant for binds it.
"""

from __future__ import annotations

import socket

import pytest
from tornado import netutil

from cyclamenwing.standin import addresses


def test_reserved_address_is_bound_only_by_its_server() -> None:
    host, _, port = addresses.reserve_address().rpartition(":")
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind((host, int(port)))
    (server,) = netutil.bind_sockets(int(port), host, socket.AF_INET)
    # The next process on the address binds it as well.
    server.close()
    (server,) = netutil.bind_sockets(int(port), host, socket.AF_INET)
    server.close()


def test_reserved_addresses_are_not_handed_out_again() -> None:
    reserved = {addresses.reserve_address() for _ in range(200)}
    assert len(reserved) == 200
    given = set()
    for _ in range(2000):
        with socket.socket() as other:
            other.bind(("127.0.0.1", 0))
            given.add(f"127.0.0.1:{other.getsockname()[1]}")
    assert not given & reserved
