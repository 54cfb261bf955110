"""Client of the platform's list of hosts."""

from __future__ import annotations

import msgspec

from cyclamenwing.membership import errors
from cyclamenwing.membership import types
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import protocol as transport

TIMEOUT_S = 2.0
MIN_POLL_S = 2.0
POLL_S_A_ENTRY = 0.5


async def read_hosts(
    client: transport.Client, address: str
) -> list[types.Host]:
    """Read the list; raise `HostListError`."""
    try:
        answer = await client.fetch(
            "GET", f"http://{address}/hosts", {}, None, TIMEOUT_S
        )
    except transport_errors.TransportError as err:
        raise errors.HostListError(err.message) from err
    if answer.status != 200:
        raise errors.HostListError(f"status {answer.status}")
    try:
        return msgspec.json.decode(answer.body, type=list[types.Host])
    except (msgspec.ValidationError, msgspec.DecodeError) as err:
        raise errors.HostListError(str(err)) from err


def compute_poll_interval_s(entries: int) -> float:
    """Return the time between reads, so that all entries read little."""
    return max(MIN_POLL_S, POLL_S_A_ENTRY * entries)


__all__ = (
    "compute_poll_interval_s",
    "read_hosts",
)
