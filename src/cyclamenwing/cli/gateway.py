"""Subcommand `gateway`: run a gateway."""

from __future__ import annotations

import argparse
import asyncio
import os
import pathlib
import signal
import sys

import eliot

from cyclamenwing.gateway import app
from cyclamenwing.gateway import follower
from cyclamenwing.gateway import logs
from cyclamenwing.gateway import settings as gateway_settings
from cyclamenwing.platform import configuration
from cyclamenwing.platform import endpoints
from cyclamenwing.platform import messages
from cyclamenwing.platform import store
from cyclamenwing.settings import errors

SETTINGS_VARIABLE = "CYCLAMENWING_CONFIG"
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

CODEC = follower.Codec(
    configuration_prefix=configuration.KEY_PREFIX,
    configuration_key=configuration.KEY,
    evacuations_prefix=configuration.EVACUATION_KEY_PREFIX,
    endpoints_prefix=endpoints.KEY_PREFIX,
    read_configuration=configuration.read_configuration,
    read_endpoint=endpoints.read_endpoint,
    read_endpoint_name=endpoints.read_name,
)


class GatewayCommand:
    """Run a gateway, which connects to the platform's endpoints itself."""

    NAME = "gateway"
    HELP = "run a gateway on the platform"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument(
            "settings",
            type=pathlib.Path,
            nargs="?",
            help=f"settings file (default: the value of {SETTINGS_VARIABLE})",
        )

    def run(self, args: argparse.Namespace) -> int:
        """Run a gateway until SIGTERM or SIGINT."""
        path = args.settings or os.environ.get(SETTINGS_VARIABLE)
        if path is None:
            raise errors.SettingsSyntaxError(
                f"no settings file given and {SETTINGS_VARIABLE} is not set"
            )
        settings = gateway_settings.load_settings(pathlib.Path(path))
        log = logs.BoundedLog(
            sys.stdout.fileno(),
            settings.log_lines_per_s,
            settings.log_line_bytes,
        )
        log.start()
        try:
            return asyncio.run(_run(pathlib.Path(path), settings))
        finally:
            log.flush()


async def _run(
    path: pathlib.Path, settings: gateway_settings.GatewaySettings
) -> int:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, path)
    running_gateway = app.Gateway.from_config(
        settings, store.KeyValueStore, CODEC, messages
    )
    await stopped.wait()
    await running_gateway.close()
    _ignore_signals(loop)
    return 0


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore further signals until the process has ended.

    The end of the event loop restores their default action, which would end
    the process before its log is written and with another exit code.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, logs.CONTROL_SIGNALS)
    for signal_number in logs.CONTROL_SIGNALS:
        loop.remove_signal_handler(signal_number)
        signal.signal(signal_number, signal.SIG_IGN)


def _reload(path: pathlib.Path) -> None:
    """Check a changed settings file on SIGHUP.

    The running process keeps its values, such as its addresses; changes
    take effect in a new process.
    """
    try:
        gateway_settings.load_settings(path)
        eliot.log_message("settings:reloaded", path=str(path))
    except errors.SettingsError as err:
        eliot.log_message("settings:unreadable", reason=err.message)


__all__ = ("GatewayCommand",)
