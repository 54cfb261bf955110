"""Start a gateway without loading the other commands."""

from __future__ import annotations

import argparse
import sys

from cyclamenwing import errors
from cyclamenwing.cli import gateway
from cyclamenwing.cli import protocol


def main() -> int:
    """Run the gateway's command line."""
    command = gateway.GatewayCommand()
    parser = argparse.ArgumentParser(description=command.HELP)
    command.add_arguments(parser)
    try:
        return command.run(parser.parse_args())
    except errors.CodedError as err:
        print(f"{err.code}: {err.message}", file=sys.stderr)
        return protocol.EXIT_INVALID


if __name__ == "__main__":
    sys.exit(main())
