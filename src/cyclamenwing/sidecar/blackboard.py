"""State of a sidecar that its controllers share."""

from __future__ import annotations

import dataclasses

from cyclamenwing.metrics import recorder
from cyclamenwing.request import journal
from cyclamenwing.request import run_table


@dataclasses.dataclass(slots=True)
class SidecarBoard:
    """Hold the state of a sidecar.

    `revision` is that of the configuration, `running` the number of runs in
    progress and `followers` the number of streams that follow runs.

    :param host: name of the host
    :param zone: availability zone of the host
    :param incarnation: identifier that differs at each start
    :param route: route that the endpoint serves
    """

    host: str
    zone: str
    incarnation: str
    route: str
    runs: run_table.RunTable = dataclasses.field(
        default_factory=run_table.RunTable
    )
    recorder: recorder.Recorder = dataclasses.field(
        default_factory=recorder.Recorder
    )
    journal: journal.Journal = dataclasses.field(
        default_factory=journal.Journal
    )
    revision: int = 0
    running: int = 0
    followers: int = 0


__all__ = ("SidecarBoard",)
