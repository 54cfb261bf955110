"""Collect the pinned run-time packages for the binary, without a network.

Each distribution in the lock file is copied from the current environment,
so the binary contains exactly the packages that the tests ran with.
"""

from __future__ import annotations

import argparse
import pathlib
import shutil
import sys
from collections.abc import Iterator
from importlib import metadata

SKIPPED_SUFFIXES = (".pyc", ".pyi", ".c", ".h", ".pyx", ".pxd")
SKIPPED_PARTS = frozenset(("__pycache__", "tests", "test", ".."))


def read_lock(path: pathlib.Path) -> Iterator[tuple[str, str]]:
    """Yield the name and version of each pinned distribution."""
    for line in path.read_text().splitlines():
        name, separator, version = line.partition("==")
        if separator and not line.startswith("#"):
            yield name.strip(), version.split()[0]


def copy_distribution(name: str, version: str, target: pathlib.Path) -> int:
    """Copy a distribution's files and return their size in bytes.

    :raises SystemExit: if the installed version is not the pinned one
    """
    distribution = metadata.distribution(name)
    if distribution.version != version:
        raise SystemExit(
            f"{name} {distribution.version} is installed, not {version}"
        )
    size = 0
    for file in distribution.files or []:
        if SKIPPED_PARTS & set(file.parts) or file.suffix in SKIPPED_SUFFIXES:
            continue
        source = pathlib.Path(str(file.locate()))
        destination = target / file
        destination.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(source, destination)
        size += source.stat().st_size
    return size


def main() -> None:
    """Copy the distributions of the lock file, except setuptools."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("lock", type=pathlib.Path)
    parser.add_argument("target", type=pathlib.Path)
    args = parser.parse_args()
    shutil.rmtree(args.target, ignore_errors=True)
    for name, version in read_lock(args.lock):
        if name != "setuptools":
            size = copy_distribution(name, version, args.target)
            print(f"{name} {version}: {size} bytes", file=sys.stderr)


if __name__ == "__main__":
    main()

__all__ = (
    "copy_distribution",
    "read_lock",
)
