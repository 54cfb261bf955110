"""Subcommand `where`: explain where a request would go now, and why."""

from __future__ import annotations

import argparse

import msgspec

from cyclamenwing.cli import protocol
from cyclamenwing.cli import remote
from cyclamenwing.gateway import explanation

TIMEOUT_S = 3.0


class WhereCommand:
    """Explain where a gateway would send a request, without sending it."""

    NAME = "where"
    HELP = "explain where a gateway would send a request, without sending it"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument("path", help="path of the request")
        parser.add_argument(
            "--gateway", required=True, help="control ip:port of a gateway"
        )
        parser.add_argument(
            "--host", required=True, help="virtual host of the request"
        )
        parser.add_argument("--workspace", default="", help="its name")
        parser.add_argument(
            "--service",
            default="",
            help="one of the services that share the route",
        )
        parser.add_argument(
            "--tokens",
            type=parse_size,
            default=(0, 0),
            metavar="IN,OUT",
            help="prompt tokens and most output tokens",
        )
        parser.add_argument(
            "--part",
            type=parse_part,
            action="append",
            default=[],
            metavar="NAME:TOKENS",
            help="a part of the prompt, in order; may be repeated",
        )
        parser.add_argument("--json", action="store_true")

    def run(self, args: argparse.Namespace) -> int:
        """Print the explanation; return 1 if no endpoint may get it."""
        answer = remote.run_async(_ask(args))
        if args.json:
            print(msgspec.json.encode(answer).decode())
        else:
            print("\n".join(describe(answer)))
        return protocol.EXIT_OK if answer.endpoint else protocol.EXIT_FAILED


def parse_size(text: str) -> tuple[int, int]:
    """Parse the token counts of a request."""
    prompt, separator, output = text.partition(",")
    if not separator or not prompt.isdigit() or not output.isdigit():
        raise argparse.ArgumentTypeError("must be two numbers, IN,OUT")
    return int(prompt), int(output)


def parse_part(text: str) -> tuple[str, int]:
    """Parse a part of a prompt."""
    name, _, tokens = text.rpartition(":")
    if not name or not tokens.isdigit():
        raise argparse.ArgumentTypeError("must be NAME:TOKENS")
    return name, int(tokens)


def describe(answer: explanation.Explanation) -> list[str]:
    """Return human-readable lines."""
    lines = [
        f"gateway {answer.gateway}, configuration {answer.version}, store"
        f" {answer.store_age_s:.1f} s ago, {answer.live_gateways} gateways",
        f"route {answer.route}, service {answer.service}: "
        + (answer.endpoint or "no endpoint may get it")
        + (" (of a sample)" if answer.endpoint and answer.sampled else ""),
    ]
    budget = answer.budget
    if budget is not None:
        age = (
            "not known"
            if budget.pool_age_s is None
            else f"{budget.pool_age_s:.1f} s old"
        )
        lines.append(
            f"budget of {budget.workspace}: asks {budget.tokens}, available"
            f" {budget.available} of {budget.held} held, pool has"
            f" {budget.free} free of {budget.prepaid} ({age})"
            + ("" if budget.holds else "; reserved through a holder")
        )
    lines += [_describe_candidate(item) for item in answer.candidates]
    return lines


def _describe_candidate(item: explanation.Candidate) -> str:
    age = "-" if item.load_age_s is None else f"{item.load_age_s:.2f} s"
    return (
        f"  {item.cost_ms:9.1f} ms {item.endpoint} {item.zone}"
        f" running {item.running} uncached {item.uncached_tokens}"
        f" backlog {item.backlog_tokens} failures {item.failure_cost_ms:.0f}"
        f" ms loads {age}"
        + (f" [{', '.join(item.obstacles)}]" if item.obstacles else "")
    )


async def _ask(args: argparse.Namespace) -> explanation.Explanation:
    prompt_tokens, output_tokens = args.tokens
    query = explanation.Query(
        virtual_host=args.host,
        path=args.path,
        workspace=args.workspace,
        service=args.service,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        parts=args.part,
    )
    async with remote.open_client() as client:
        return await client.call(
            f"http://{args.gateway}{explanation.EXPLAIN_PATH}",
            query,
            explanation.Explanation,
            TIMEOUT_S,
        )


__all__ = (
    "WhereCommand",
    "describe",
    "parse_part",
    "parse_size",
)
