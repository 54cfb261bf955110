"""Checks of the promises, from what callers and endpoints saw.

Each check returns its findings and the number of cases that it judged. A case
with a fault that excuses it is not judged.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable
from collections.abc import Iterator

from tests.soak import configuration
from tests.soak import fleet
from tests.soak import trace

from cyclamenwing.membership import delegates

# Time that answers take from a gateway to the caller on a loaded machine.
DEADLINE_SLACK_S = 0.5
# A process that was continued needs this long to catch up.
THAW_S = 0.5
# Time after SIGTERM in which idle connections stay open.
KEPT_OPEN_S = 2.5
# A request that was not read ends this soon, with the connection.
RESET_S = 0.1
# What is active this long after SIGTERM is interrupted.
INTERRUPTED_AFTER_S = fleet.GRACE_S - 0.8
# Bound on the time until gateways in touch with the store know of a drain.
DRAIN_BOUND_S = 2.0
# Gateways may have lost touch with the store this long after its faults.
STORE_REGAINED_S = 3.0
# A caller that was stalled itself for longer may give up too early.
MAX_LAG_S = 0.25
MAX_FDS = 400
MAX_MEMORY_MB = 150.0
LIMIT_WINDOW_S = 4.0
# Time after the first naming of a limit from which it binds, and after a fault
# of a gateway for which that is excused.
STABLE_S = 3.0
# A gateway counts once it has passed on an answer that names the limit.
TOLD_S = 1.0
NOT_RUN_STATUSES = (401, 402, 404, 429, 503)

Results = Iterator[trace.Finding | None]


def _find(check: str, request: trace.Request, detail: str) -> trace.Finding:
    return trace.Finding(
        check,
        round(request.end_s or request.sent_s, 3),
        request.gateway,
        request.request_id,
        f"{request.route}: {detail}",
    )


def _get_process(seen: trace.Trace, request: trace.Request) -> trace.Process:
    return next(
        p
        for p in seen.processes
        if (p.gateway, p.number) == (request.gateway, request.process)
    )


def _is_excused(seen: trace.Trace, request: trace.Request) -> bool:
    """Return whether the process was killed or frozen meanwhile."""
    process = _get_process(seen, request)
    if process.killed_s and process.killed_s <= request.end_s:
        return True
    return any(
        w.target == f"g{request.gateway}"
        for w in seen.find_windows(
            ("freeze",), request.sent_s - THAW_S, request.end_s
        )
    )


def _get_ended(seen: trace.Trace) -> list[trace.Request]:
    """Return what can be judged.

    After a stall of the soak itself, answers are read before it is known how
    long the stall was.
    """
    return [
        r for r in seen.requests if r.ended and r.end_s <= seen.lags_known_s
    ]


def check_answers(seen: trace.Trace) -> Results:
    """A request gets an answer, unless a gone process never read it."""
    for request in _get_ended(seen):
        if request.status:
            yield None
            continue
        lag_s = seen.count_lag(request.sent_s, request.end_s)
        if _is_excused(seen, request) or (
            request.timed_out and lag_s > MAX_LAG_S
        ):
            continue
        process = _get_process(seen, request)
        runs = len(seen.runs.get(request.request_id, ()))
        waited_s = request.end_s - request.sent_s
        after_s = request.sent_s - process.terminated_s
        may_be_unread = (
            process.terminated_s
            and after_s > KEPT_OPEN_S
            and not runs
            and waited_s < RESET_S + lag_s
        )
        yield (
            None
            if may_be_unread
            else _find(
                "answered",
                request,
                f"no answer after {waited_s:.3f} s, {runs} runs, sent"
                f" {after_s:.3f} s after SIGTERM"
                if process.terminated_s
                else f"no answer after {waited_s:.3f} s, {runs} runs",
            )
        )


def check_deadlines(seen: trace.Trace) -> Results:
    """A request ends by its deadline."""
    for request in _get_ended(seen):
        if _is_excused(seen, request):
            continue
        late_s = (
            request.end_s
            - request.deadline_s
            - seen.count_lag(request.sent_s, request.end_s)
        )
        yield (
            _find("deadline", request, f"{late_s:.3f} s late")
            if late_s > DEADLINE_SLACK_S
            else None
        )


def check_whole_answers(seen: trace.Trace) -> Results:
    """An answer that began is complete, unless its endpoint failed."""
    for request in _get_ended(seen):
        if not request.status or _is_excused(seen, request):
            continue
        process = _get_process(seen, request)
        interrupted = process.terminated_s and (
            request.end_s - process.terminated_s > INTERRUPTED_AFTER_S
        )
        late = request.end_s > request.deadline_s - 0.1
        faults = seen.find_windows(
            ("endpoint",), request.sent_s - 0.1, request.end_s
        )
        if not request.whole and (interrupted or late or faults):
            continue
        yield (
            None
            if request.whole
            else _find("whole", request, f"cut: {request.cause}")
        )


def check_content(seen: trace.Trace) -> Results:
    """An answer has the request's own id and body, and ordered events."""
    for request in _get_ended(seen):
        if request.status == 200:
            yield (
                _find("content", request, request.fault)
                if request.fault
                else None
            )


def check_refusals(seen: trace.Trace) -> Results:
    """A request that is refused never runs."""
    for request in _get_ended(seen):
        if request.status in NOT_RUN_STATUSES:
            runs = seen.runs.get(request.request_id)
            yield (
                _find(
                    "refused",
                    request,
                    f"{request.status}, run by {runs[0].endpoint} at"
                    f" {runs[0].time_s:.3f} s",
                )
                if runs
                else None
            )


def check_single_runs(seen: trace.Trace) -> Results:
    """What can't be repeated runs at most once."""
    tasks = collections.defaultdict(list)
    for request in seen.requests:
        if request.route not in configuration.REPEATABLE:
            tasks[request.task].append(request)
    for requests in tasks.values():
        runs = [
            run for r in requests for run in seen.runs.get(r.request_id, ())
        ]
        where = [f"{r.endpoint} {r.time_s:.3f} s" for r in runs]
        yield (
            _find("once", requests[-1], f"ran at {', '.join(where)}")
            if len(runs) > 1
            else None
        )


def _get_end(request: trace.Request) -> float:
    return request.end_s or math.inf


def check_budgets(seen: trace.Trace) -> Results:
    """A workspace's requests take no more than its prepaid tokens."""
    for workspace in configuration.WORKSPACES:
        payments = [p for p in seen.payments if p.workspace == workspace]
        spent = 0
        over: trace.Request | None = None
        for request in sorted(seen.requests, key=_get_end):
            if request.workspace != workspace or not request.prompt_tokens:
                continue
            if request.request_id in seen.runs:
                spent += request.prompt_tokens
                spent += request.events * configuration.STRIDE
            paid = max(
                (p.tokens for p in payments if p.time_s <= _get_end(request)),
                default=0,
            )
            if spent > paid:
                over = over or request
        yield (
            _find("budget", over, f"{workspace} spent more than it paid")
            if over
            else None
        )


def _lost_touch(
    seen: trace.Trace, gateway: int, begin_s: float, end_s: float
) -> bool:
    """Return whether a gateway may have been out of touch with the store."""
    gateways = {p.gateway for p in seen.processes}
    kinds: tuple[str, ...] = (
        "store-away",
        "store-error",
        "store-link",
        "freeze",
    )
    if len(gateways) > delegates.MIN_DELEGATES:
        # Others watch the store for it, which may leave or die.
        kinds = (*kinds, "term", "kill")
    return any(
        w.target in {"store", f"g{gateway}"}
        or len(gateways) > delegates.MIN_DELEGATES
        for w in seen.find_windows(kinds, begin_s - STORE_REGAINED_S, end_s)
    )


def check_drains(seen: trace.Trace) -> Results:
    """A draining endpoint gets nothing after the bound."""
    requests = {r.request_id: r for r in seen.requests}
    for window in seen.find_windows(("drain",), 0.0, seen.read_time()):
        begin_s, end_s = window.begin_s, window.end_s or seen.read_time()
        late = [
            (requests[run.request_id], run)
            for runs in seen.runs.values()
            for run in runs
            if run.endpoint == window.target
            and requests[run.request_id].sent_s > begin_s + DRAIN_BOUND_S
            and run.time_s < end_s
        ]
        for request, run in late:
            if not _lost_touch(seen, request.gateway, begin_s, run.time_s):
                yield _find(
                    "drain",
                    request,
                    f"sent {request.sent_s - begin_s:.3f} s after the drain"
                    f" of {run.endpoint}",
                )
        for gateway in {p.gateway for p in seen.processes}:
            if not _lost_touch(
                seen, gateway, begin_s, begin_s + DRAIN_BOUND_S
            ):
                yield None


def check_versions(seen: trace.Trace) -> Results:
    """A process that has served a configuration serves no older one."""
    newest: dict[tuple[int, int], list[tuple[float, int]]] = {}
    served = [
        (min(r.time_s for r in seen.runs[request.request_id]), request)
        for request in seen.requests
        if request.version and request.request_id in seen.runs
    ]
    for time_s, request in sorted(served, key=lambda item: item[0]):
        key = (request.gateway, request.process)
        before = newest.setdefault(key, [])
        newer = [v for t, v in before if t < request.sent_s]
        before.append((time_s, request.version))
        yield (
            _find(
                "version",
                request,
                f"version {request.version} after {max(newer)}",
            )
            if newer and max(newer) > request.version
            else None
        )


def check_software(seen: trace.Trace) -> Results:
    """A stream holds events of one software version, over all attempts."""
    streams: dict[str, list[trace.Request]] = {}
    for request in _get_ended(seen):
        if request.software:
            begun_by = request.begun_by or request.request_id
            streams.setdefault(begun_by, []).append(request)
    for requests in streams.values():
        names = {name for r in requests for name in r.software}
        yield (
            _find("software", requests[-1], f"events of {sorted(names)}")
            if len(names) > 1
            else None
        )


def check_limits(seen: trace.Trace) -> Results:
    """An endpoint gets no more than the limit that it named to gateways."""
    requests = {r.request_id: r for r in seen.requests}
    for window in seen.find_windows(("limit",), 0.0, seen.read_time()):
        told: dict[tuple[int, int], float] = {}
        judged = []
        for arrival in seen.arrivals:
            request = requests.get(arrival.request_id)
            if (
                arrival.endpoint != window.target
                or request is None
                or not window.begin_s <= arrival.time_s < window.end_s
            ):
                continue
            key = (request.gateway, request.process)
            told_s = told.setdefault(key, arrival.time_s + TOLD_S)
            if arrival.time_s >= max(told_s, window.begin_s + STABLE_S):
                judged.append(arrival.time_s)
                if _was_disturbed(seen, request.gateway, arrival.time_s):
                    judged.pop()
        allowed = 1.5 * LIMIT_WINDOW_S * seen.limits[window.target] + 5
        for index, start_s in enumerate(judged):
            end_s = start_s + LIMIT_WINDOW_S
            count = sum(t < end_s for t in judged[index:])
            yield (
                trace.Finding(
                    "limit",
                    round(start_s, 3),
                    -1,
                    window.target,
                    f"{count} requests in 4 s, {allowed:g} allowed",
                )
                if count > allowed
                else None
            )


def _was_disturbed(seen: trace.Trace, gateway: int, time_s: float) -> bool:
    kinds = ("term", "kill", "freeze", "hup")
    return any(
        w.target == f"g{gateway}"
        for w in seen.find_windows(kinds, time_s - STABLE_S, time_s)
    )


def check_processes(seen: trace.Trace) -> Results:
    """A process ends in its grace with 0 and keeps to its limits."""
    for process in seen.processes:
        details = []
        if process.ended_s and not process.killed_s:
            if process.exit_code != 0:
                details.append(f"exit code {process.exit_code}")
            frozen = [
                w
                for w in seen.find_windows(
                    ("freeze",), process.terminated_s, process.ended_s
                )
                if w.target == f"g{process.gateway}"
            ]
            took_s = process.ended_s - process.terminated_s
            if not process.terminated_s:
                details.append("ended by itself")
            elif took_s > fleet.GRACE_S and not frozen:
                details.append(f"took {took_s:.3f} s to end")
        if process.max_fds > MAX_FDS:
            details.append(f"{process.max_fds} descriptors")
        if process.max_memory_mb > MAX_MEMORY_MB:
            details.append(f"{process.max_memory_mb:.0f} MB")
        yield (
            trace.Finding(
                "process",
                round(process.ended_s, 3),
                process.gateway,
                f"process {process.number}",
                ", ".join(details),
            )
            if details
            else None
        )


CHECKS: dict[str, Callable[[trace.Trace], Results]] = {
    "answered": check_answers,
    "deadline": check_deadlines,
    "whole": check_whole_answers,
    "content": check_content,
    "refused": check_refusals,
    "once": check_single_runs,
    "budget": check_budgets,
    "drain": check_drains,
    "version": check_versions,
    "software": check_software,
    "limit": check_limits,
    "process": check_processes,
}


def check(seen: trace.Trace) -> dict[str, int]:
    """Add the findings of all checks; return the cases that each judged."""
    counts = {}
    for name, run in CHECKS.items():
        results = list(run(seen))
        counts[name] = len(results)
        known = {(f.check, f.request_id, f.gateway) for f in seen.findings}
        seen.findings += [
            f
            for f in results
            if f is not None
            and (f.check, f.request_id, f.gateway) not in known
        ]
    return counts


__all__ = ("CHECKS", "check")
