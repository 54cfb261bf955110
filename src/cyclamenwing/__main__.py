"""Entry point of ``python -m cyclamenwing``."""

from __future__ import annotations

import sys

from cyclamenwing.cli import main

if __name__ == "__main__":
    sys.exit(main.run(sys.argv[1:]))

__all__ = ()
