"""Survey of the fleet: the state and revision of each process."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import NamedTuple
from typing import TypedDict

from cyclamenwing import errors as base_errors
from cyclamenwing.entry import fleet_status
from cyclamenwing.membership import types
from cyclamenwing.transport import protocol as transport

TIMEOUT_S = 2.0
MAX_CONCURRENT_CALLS = 32


class ProcessState(TypedDict):
    """Describe one process.

    `standing` is empty for a sidecar, `route` for an entry.
    """

    host: str
    role: types.Role
    zone: str
    address: str
    route: str
    revision: int
    standing: str
    leaving: bool
    load: int


class Survey(NamedTuple):
    """Hold the known processes by host, and why hosts are unreachable."""

    processes: dict[str, ProcessState]
    unreachable: dict[str, str]

    def list_outdated(self, revision: int) -> list[str]:
        """Return the hosts that follow a revision lower than the given one."""
        return sorted(
            host
            for host, state in self.processes.items()
            if state["revision"] < revision
        )


async def survey_fleet(
    client: transport.Client, seeds: Iterable[str]
) -> Survey:
    """Query the seeds and all entries that they know for their views.

    Each sidecar reports directly to some entry, so that the merged views
    contain the current revision of each process.

    :param seeds: peer addresses of entries
    """
    queried: set[str] = set()
    fleets: list[fleet_status.Fleet] = []
    failed: dict[str, str] = {}
    pending = set(seeds)
    limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
    while pending:
        queried |= pending
        answers = await asyncio.gather(
            *(
                _fetch_fleet(client, address, limit)
                for address in sorted(pending)
            )
        )
        for address, answer in zip(sorted(pending), answers, strict=True):
            if isinstance(answer, str):
                failed[address] = answer
            else:
                fleets.append(answer)
        pending = _list_entries(fleets) - queried
    return merge_fleets(fleets, failed)


def merge_fleets(
    fleets: list[fleet_status.Fleet], failed: dict[str, str]
) -> Survey:
    """Merge the views of entries into one survey.

    An entry's own view describes the entry, and only reports that a
    sidecar sent to an entry directly describe the sidecar.

    :param failed: error code by address of each call that failed
    """
    processes: dict[str, ProcessState] = {}
    unreachable: dict[str, str] = {}
    for fleet in fleets:
        for member in fleet["members"]:
            _merge_member(processes, unreachable, member, failed)
    for fleet in fleets:
        processes[fleet["host"]] = _describe_entry(fleet)
    unreachable_hosts = {**_list_unreported(fleets), **unreachable}
    known_addresses = {fleet["address"] for fleet in fleets}
    known_addresses |= _list_entries(fleets)
    for address, code in failed.items():
        if address not in known_addresses:
            unreachable_hosts.setdefault(address, code)
    return Survey(
        processes,
        {
            host: reason
            for host, reason in unreachable_hosts.items()
            if host not in processes
        },
    )


def _list_unreported(fleets: list[fleet_status.Fleet]) -> dict[str, str]:
    return {
        host["host"]: "not heard of"
        for fleet in fleets
        for host in fleet["hosts"]
        if host["state"] == "live"
    }


async def _fetch_fleet(
    client: transport.Client, address: str, limit: asyncio.Semaphore
) -> fleet_status.Fleet | str:
    async with limit:
        try:
            return await client.call(
                f"http://{address}/peer/fleet",
                {},
                fleet_status.Fleet,
                TIMEOUT_S,
            )
        except base_errors.CodedError as err:
            return err.code


def _list_entries(fleets: list[fleet_status.Fleet]) -> set[str]:
    return {
        member["address"]
        for fleet in fleets
        for member in fleet["members"]
        if member["role"] == "entry"
    }


def _merge_member(
    processes: dict[str, ProcessState],
    unreachable: dict[str, str],
    member: fleet_status.MemberState,
    failed: dict[str, str],
) -> None:
    host = member["host"]
    code = failed.get(member["address"])
    if member["role"] == "entry":
        if code is not None:
            unreachable[host] = code
        return
    if not member["live"]:
        unreachable.setdefault(host, "silent")
        return
    if not member["direct"]:
        unreachable.setdefault(host, "reports to no entry that answers")
        return
    state = processes.get(host)
    if state is None or state["revision"] < member["revision"]:
        processes[host] = {
            "host": host,
            "role": "sidecar",
            "zone": member["zone"],
            "address": member["address"],
            "route": member["route"],
            "revision": member["revision"],
            "standing": "",
            "leaving": member["leaving"],
            "load": member["load"],
        }


def _describe_entry(fleet: fleet_status.Fleet) -> ProcessState:
    return {
        "host": fleet["host"],
        "role": "entry",
        "zone": fleet["zone"],
        "address": fleet["address"],
        "route": "",
        "revision": fleet["revision"],
        "standing": fleet["standing"],
        "leaving": fleet["leaving"],
        "load": fleet["in_progress"],
    }


__all__ = (
    "ProcessState",
    "Survey",
    "merge_fleets",
    "survey_fleet",
)
