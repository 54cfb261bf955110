"""Client of the platform's list of hosts."""

from __future__ import annotations

import msgspec

from cyclamenwing import decoding
from cyclamenwing.membership import errors
from cyclamenwing.membership import types
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import protocol as transport

READ_TIMEOUT_S = 2.0
MIN_POLL_S = 2.0
POLL_S_PER_ENTRY = 0.5


async def read_hosts(
    client: transport.Client, address: str
) -> list[types.Host]:
    """Return the hosts on the platform's list.

    :param address: ``ip:port`` of the platform's host list service
    :raises HostListError: if the list can't be read
    """
    try:
        answer = await client.fetch(
            "GET", f"http://{address}/hosts", {}, None, READ_TIMEOUT_S
        )
    except transport_errors.TransportError as err:
        raise errors.HostListError(err.message) from err
    if answer.status != 200:
        raise errors.HostListError(
            f"host list answered with status {answer.status}"
        )
    try:
        return decoding.decode(answer.body, list[types.Host])
    except msgspec.DecodeError as err:
        raise errors.HostListError(str(err)) from err


def compute_poll_interval_s(entries: int) -> float:
    """Return the time between reads of the host list.

    It grows with the number of entries, so that the request rate of all
    of them together stays bounded.
    """
    return max(MIN_POLL_S, POLL_S_PER_ENTRY * entries)


__all__ = (
    "compute_poll_interval_s",
    "read_hosts",
)
