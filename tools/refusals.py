"""Count budget refusals in a gateway log that asked for tokens left over.

A log line holds seconds, host and the JSON of a message. The rest of a budget
is what was paid, less what requests have spent or hold reserved at that time,
and less what the releases of dead processes have closed. Tokens lost with a
process that was not released count as left, so the counts are upper bounds.
"""

from __future__ import annotations

import collections
import json
import pathlib
import re
import sys
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

# The decision of a holder precedes the refusal by at most the call between
# them and the wait before the call is repeated.
MAX_DECISION_AGE_S = 4.0
# A running request counts as ending soon if it ends within this time.
SOON_S = 1.0
# A store call that failed this recently shows that the store is away.
STORE_AWAY_S = 3.0
TOKENS_PATTERN = re.compile(r"^(\d+) tokens ")
CODES = ("budget_spent", "budget_unreachable")


class Line(NamedTuple):
    """Hold one message of a log."""

    at_s: float
    host: str
    message: dict[str, Any]


class Run(NamedTuple):
    """Describe a request that reserved tokens until it ended."""

    start_s: float
    end_s: float
    reserved: int
    spent: int


class Refusal(NamedTuple):
    """Describe a refused request and the rest of its budget.

    :param asked_holder: the gateway asked a holder and did not decide itself
    :param left: tokens neither spent nor reserved
    :param rest: `left` less the tokens of earlier refusals that fitted
    :param soon: reserved tokens that requests give back within `SOON_S`
    """

    at_s: float
    host: str
    code: str
    route: str
    workspace: str
    tokens: int
    asked_holder: bool
    left: int
    rest: int
    soon: int
    cause: str
    decision: dict[str, Any] | None

    @property
    def fits(self) -> bool:
        """Return whether the rest of the budget covered the request."""
        return self.tokens <= self.rest


class Budget:
    """Sum up what was paid, used and lost of one workspace over time."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        # Paid tokens by the time at which a gateway first named them.
        self.paid: list[tuple[float, int]] = []
        # Releases of dead processes, and the tokens that they closed.
        self.closed: list[tuple[float, int]] = []

    def measure_paid(self, at_s: float) -> int:
        """Return the prepaid tokens that were known at a time."""
        known = [paid for paid_s, paid in self.paid if paid_s <= at_s]
        return known[-1] if known else next((p for _, p in self.paid), 0)

    def measure_used(self, at_s: float, since_s: float = -1e9) -> int:
        """Return the tokens in use of requests that began in a time."""
        return sum(
            run.spent if run.end_s <= at_s else run.reserved
            for run in self.runs
            if since_s < run.start_s <= at_s
        )

    def measure_left(self, at_s: float) -> int:
        """Return the tokens left, at most."""
        used = self.measure_used(at_s)
        closures = [item for item in self.closed if item[0] <= at_s]
        if closures:
            closed = sum(tokens for _, tokens in closures)
            since_s = closures[-1][0]
            used = max(used, closed + self.measure_used(at_s, since_s))
        return self.measure_paid(at_s) - used

    def measure_lost(self) -> int:
        """Return the tokens that releases closed and no request used."""
        if not self.closed:
            return 0
        closed = sum(tokens for _, tokens in self.closed)
        return max(closed - self.measure_used(self.closed[-1][0]), 0)

    def measure_soon(self, at_s: float) -> int:
        """Return the reserved tokens that are given back soon."""
        return sum(
            run.reserved - run.spent
            for run in self.runs
            if run.start_s <= at_s < run.end_s <= at_s + SOON_S
        )


def read_lines(text: str) -> list[Line]:
    """Return the messages of a log in the order of their times."""
    lines = []
    for raw in text.splitlines():
        parts = raw.split(None, 2)
        try:
            line = Line(float(parts[0]), parts[1], json.loads(parts[2]))
        except (IndexError, ValueError):
            # The last line of a log may be cut off.
            continue
        lines.append(line)
    return sorted(lines, key=lambda line: line.at_s)


def read_budgets(lines: Iterable[Line]) -> dict[str, Budget]:
    """Return the budget of each workspace."""
    budgets: dict[str, Budget] = collections.defaultdict(Budget)
    for at_s, _, message in lines:
        kind = message["message_type"]
        if kind == "request:done" and message.get("workspace"):
            if message["tokens"] and message["reserved_ms"] is not None:
                duration_s = (message["ms"] - message["reserved_ms"]) / 1000
                budgets[message["workspace"]].runs.append(
                    Run(
                        at_s - duration_s,
                        at_s,
                        message["tokens"],
                        message["spent"],
                    )
                )
        elif kind == "funds:refused":
            paid = budgets[message["workspace"]].paid
            if not paid or paid[-1][1] != message["prepaid"]:
                paid.append((at_s, message["prepaid"]))
        elif kind == "funds:predecessor_closed":
            used = min(message["drawn"], message["bound"])
            budgets[message["workspace"]].closed.append((at_s, used))
    return budgets


class Reader:
    """Judge the refusals of a log, line by line."""

    def __init__(self, lines: list[Line]) -> None:
        self._budgets = read_budgets(lines)
        self._workspaces = {
            line.message["request"]: line.message["workspace"]
            for line in lines
            if line.message["message_type"] == "request:done"
        }
        self._decisions: dict[tuple[str, int], list[Line]] = (
            collections.defaultdict(list)
        )
        self._failed_s = -STORE_AWAY_S
        self._fitted: collections.Counter[str] = collections.Counter()

    def read(self, line: Line) -> Refusal | None:
        """Return the budget refusal that a line reports, if any."""
        message = line.message
        kind = message["message_type"]
        if kind == "funds:commit_failed":
            self._failed_s = line.at_s
        elif kind == "funds:refused":
            key = (message["workspace"], message["tokens"])
            self._decisions[key].append(line)
        elif kind == "request:refused" and message["code"] in CODES:
            match = TOKENS_PATTERN.match(message["reason"])
            workspace = self._workspaces.get(message["request"])
            if match is not None and workspace is not None:
                return self._judge(line, workspace, int(match.group(1)))
        return None

    def _judge(self, line: Line, workspace: str, tokens: int) -> Refusal:
        known = [
            decision
            for decision in self._decisions[workspace, tokens]
            if line.at_s - decision.at_s < MAX_DECISION_AGE_S
        ]
        own = [decision for decision in known if decision.host == line.host]
        found = own or known
        decision = found[-1].message if found else None
        budget = self._budgets[workspace]
        left = budget.measure_left(line.at_s)
        soon = budget.measure_soon(line.at_s)
        rest = left - self._fitted[workspace]
        away = line.at_s - self._failed_s < STORE_AWAY_S
        if tokens <= rest:
            self._fitted[workspace] += tokens
        return Refusal(
            line.at_s,
            line.host,
            line.message["code"],
            str(line.message["route"]),
            workspace,
            tokens,
            not own,
            left,
            rest,
            soon,
            name_cause(tokens, decision, rest, soon, away),
            decision,
        )


def find_refusals(lines: list[Line]) -> list[Refusal]:
    """Return the budget refusals of a log in the order of their times."""
    reader = Reader(lines)
    judged = [reader.read(line) for line in lines]
    return [refusal for refusal in judged if refusal is not None]


def name_cause(
    tokens: int,
    decision: dict[str, Any] | None,
    rest: int,
    soon: int,
    away: bool,
) -> str:
    """Name why a request was refused.

    :param decision: what the holder logged, None if none decided
    :param rest: tokens of the budget that were left
    :param soon: tokens that running requests give back soon
    :param away: calls to the store failed just before
    """
    if tokens > rest:
        return "reserved by running" if tokens <= rest + soon else "true end"
    if decision is None:
        return "no holder decided"
    if tokens <= decision["available"]:
        return "available after the wait"
    if tokens <= decision["held"]:
        return "held, above the usage bound"
    if decision["free"] <= 0 or tokens <= rest - decision["free"]:
        return "held by other gateways"
    return "free, store away" if away else "free, store in reach"


def format_losses(budgets: dict[str, Budget]) -> str:
    """Return what the releases of dead processes cost."""
    lost = sum(budget.measure_lost() for budget in budgets.values())
    paid = sum(budget.measure_paid(1e9) for budget in budgets.values())
    return f"lost with dead processes: {lost} of {paid} tokens"


def format_report(refusals: list[Refusal]) -> str:
    """Return tables of the refusals by code, cause, route and workspace."""
    out = []
    for code in CODES:
        chosen = [r for r in refusals if r.code == code]
        alone = sum(r.tokens <= r.left for r in chosen)
        out.append(
            f"{code}: {len(chosen)}, fitted {sum(r.fits for r in chosen)}"
            f" (each taken alone {alone})"
        )
        for (cause, asked), count in collections.Counter(
            (r.cause, r.asked_holder) for r in chosen
        ).most_common():
            way = "a holder was asked" if asked else "decided here"
            out.append(f"  {count:5} {cause}, {way}")
    for field in ("route", "workspace"):
        out.append(f"true ends by {field}: refusals, tokens asked for")
        counts: collections.Counter[str] = collections.Counter()
        sums: collections.Counter[str] = collections.Counter()
        for refusal in refusals:
            if not refusal.fits:
                counts[getattr(refusal, field)] += 1
                sums[getattr(refusal, field)] += refusal.tokens
        for name, count in counts.most_common():
            out.append(f"  {count:5} {sums[name]:9} {name}")
    return "\n".join(out)


def main(arguments: list[str]) -> int:
    """Print the report of one log; return the exit code."""
    if len(arguments) != 1:
        print("usage: python -m tools.refusals FILE", file=sys.stderr)
        return 2
    lines = read_lines(pathlib.Path(arguments[0]).read_text())
    print(format_report(find_refusals(lines)))
    print(format_losses(read_budgets(lines)))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

__all__ = (
    "Budget",
    "Line",
    "Refusal",
    "Run",
    "find_refusals",
    "format_losses",
    "format_report",
    "main",
    "name_cause",
    "read_budgets",
    "read_lines",
)
