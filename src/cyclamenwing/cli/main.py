"""Parser and dispatch of the command line."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Sequence

import cyclamenwing
from cyclamenwing import errors
from cyclamenwing.cli import audit
from cyclamenwing.cli import bench
from cyclamenwing.cli import bills
from cyclamenwing.cli import check
from cyclamenwing.cli import demo
from cyclamenwing.cli import entry
from cyclamenwing.cli import epilogs
from cyclamenwing.cli import explain
from cyclamenwing.cli import gateway
from cyclamenwing.cli import order
from cyclamenwing.cli import protocol
from cyclamenwing.cli import publish
from cyclamenwing.cli import quarantine
from cyclamenwing.cli import replay
from cyclamenwing.cli import settle
from cyclamenwing.cli import sidecar
from cyclamenwing.cli import standin
from cyclamenwing.cli import status
from cyclamenwing.cli import top_up
from cyclamenwing.cli import where
from cyclamenwing.settings import errors as settings_errors
from cyclamenwing.store import errors as store_errors
from cyclamenwing.transport import errors as transport_errors

COMMANDS: tuple[protocol.Command, ...] = (
    entry.EntryCommand(),
    sidecar.SidecarCommand(),
    gateway.GatewayCommand(),
    check.CheckCommand(),
    publish.PublishCommand(),
    order.OrderCommand(),
    audit.AuditCommand(),
    status.StatusCommand(),
    top_up.TopUpCommand(),
    bills.BillsCommand(),
    settle.SettleCommand(),
    explain.ExplainCommand(),
    where.WhereCommand(),
    quarantine.QuarantineCommand(),
    standin.StandinCommand(),
    demo.DemoCommand(),
    replay.ReplayCommand(),
    bench.BenchCommand(),
)

_EXIT_CODES: tuple[tuple[type[errors.CodedError], int], ...] = (
    (settings_errors.SettingsError, protocol.EXIT_INVALID),
    (transport_errors.BindFailedError, protocol.EXIT_INVALID),
    (store_errors.StoreError, protocol.EXIT_UNAVAILABLE),
    (transport_errors.TransportError, protocol.EXIT_UNAVAILABLE),
)


def make_parser() -> argparse.ArgumentParser:
    """Return the parser with all subcommands."""
    parser = argparse.ArgumentParser(
        prog="cyclamenwing",
        description="Router fleet for prepaid token budgets.",
        epilog=epilogs.PROGRAM,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--version", action="version", version=cyclamenwing.__version__
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for command in COMMANDS:
        command_parser = commands.add_parser(
            command.NAME,
            help=command.HELP,
            description=f"{command.HELP[0].upper()}{command.HELP[1:]}.",
            epilog=epilogs.COMMANDS.get(command.NAME),
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        command.add_arguments(command_parser)
        command_parser.set_defaults(run=command.run)
    return parser


def run(arguments: Sequence[str]) -> int:
    """Run the subcommand of a command line and return the exit code."""
    args = make_parser().parse_args(arguments)
    try:
        return int(args.run(args))
    except settings_errors.SettingsError as err:
        # The message already contains the file, line and code.
        print(err.message, file=sys.stderr)
        return find_exit_code(err)
    except errors.CodedError as err:
        print(f"{err.code}: {err.message}", file=sys.stderr)
        return find_exit_code(err)
    except BrokenPipeError:
        # The reader of standard output, such as head, closed the pipe. A
        # new stream avoids another error when Python flushes it at exit.
        sys.stdout = open(os.devnull, "w")  # noqa: SIM115
        return protocol.EXIT_FAILED
    except OSError as err:
        print(f"system_error: {err}", file=sys.stderr)
        return protocol.EXIT_FAILED
    except KeyboardInterrupt:
        return protocol.EXIT_INTERRUPTED


def find_exit_code(error: errors.CodedError) -> int:
    """Return the exit code of a coded error."""
    for kind, code in _EXIT_CODES:
        if isinstance(error, kind):
            return code
    return protocol.EXIT_FAILED


def main() -> None:
    """Run the command line of the process and exit."""
    sys.exit(run(sys.argv[1:]))


__all__ = (
    "COMMANDS",
    "find_exit_code",
    "main",
    "make_parser",
    "run",
)
