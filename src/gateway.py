"""Entry point that runs a gateway without importing other subcommands."""

from __future__ import annotations

import argparse
import os
import sys

from cyclamenwing import errors
from cyclamenwing.cli import gateway
from cyclamenwing.cli import protocol


def main() -> int:
    """Parse the arguments and run the gateway; return the exit code."""
    command = gateway.GatewayCommand()
    parser = argparse.ArgumentParser(description=command.HELP)
    command.add_arguments(parser)
    try:
        return command.run(parser.parse_args())
    except errors.CodedError as err:
        print(f"{err.code}: {err.message}", file=sys.stderr)
        return protocol.EXIT_INVALID


if __name__ == "__main__":
    exit_code = main()
    sys.stdout.flush()
    sys.stderr.flush()
    # Nothing is left to write, and the teardown of the interpreter would take
    # a part of the shutdown grace, most of all on a busy host.
    os._exit(exit_code)
