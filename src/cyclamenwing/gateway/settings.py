"""Settings of a gateway, read from JSON with comments."""

from __future__ import annotations

import pathlib

import msgspec

from cyclamenwing import decoding
from cyclamenwing.settings import comments
from cyclamenwing.settings import errors


class Bounds(msgspec.Struct, kw_only=True):
    """Hold time and retry bounds of the deployment.

    `drain_ms`, `config_ms` and `settle_ms` are not read by the gateway.

    :param grace_s: time between the signal to stop and the end of a process
    :param retry_ratio: retries allowed per request of a service
    :param retry_window_s: window over which requests are counted for it
    :param retry_slack: retries allowed in a window beyond the ratio
    :param cold_over: multiple of a cold endpoint's rate that it may get in a
        second
    :param cold_slack: requests beyond that in the same second
    :param evacuate_ms: time after an order by which an availability zone gets
        no more requests
    """

    drain_ms: float = 2000.0
    grace_s: float = 8.0
    config_ms: float = 2000.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    settle_ms: float = 1500.0
    cold_over: float = 1.5
    cold_slack: float = 5.0
    evacuate_ms: float = 5000.0


class Limits(msgspec.Struct, kw_only=True):
    """Hold resource limits of the process.

    :param cpu_share: share of a core that the process may use
    :param cpus: speed of that core, as a multiple of an ordinary one
    """

    memory_mb: float = 150.0
    max_fds: int = 1024
    link_mbps: float = 1000.0
    cpu_share: float = 1.0
    cpus: float = 1.0

    @property
    def capacity(self) -> float:
        """Return a number that grows with the host's link and processors."""
        return self.link_mbps * self.cpu_share * self.cpus


class GatewaySettings(msgspec.Struct, kw_only=True):
    """Hold the settings of a gateway; addresses are ``ip:port``.

    :param region: region of the host, empty if not known
    :param regions: region of each availability zone
    :param listen: address for requests of clients
    :param ready: address for readiness checks of the load balancer
    :param control: address for calls of other gateways
    :param metrics: address for metrics scrapes, empty for none
    :param seeds: control addresses of gateways to contact first
    :param operator_key_sha256: SHA-256 digest of the key of operators' calls,
        in hexadecimal; empty to refuse these calls
    :param bootstrap: the whole fleet starts for the first time
    """

    host: str
    availability_zone: str
    listen: str
    ready: str
    control: str
    store: str
    region: str = ""
    regions: dict[str, str] = {}
    metrics: str = ""
    seeds: list[str] = []
    operator_key_sha256: str = ""
    bootstrap: bool = False
    limits: Limits = msgspec.field(default_factory=Limits)
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    log_lines_per_s: int = 200
    log_line_bytes: int = 2000


def load_settings(path: pathlib.Path) -> GatewaySettings:
    """Read a settings file.

    :raises SettingsError: if the file can't be read, parsed or validated
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as err:
        raise errors.SettingsSyntaxError(str(err), str(path)) from err
    plain = comments.blank_comments(text).encode()
    try:
        return decoding.decode(plain, GatewaySettings)
    except msgspec.ValidationError as err:
        raise errors.SettingsSchemaError(str(err), str(path)) from err
    except msgspec.DecodeError as err:
        raise errors.SettingsSyntaxError(str(err), str(path)) from err


__all__ = (
    "Bounds",
    "GatewaySettings",
    "Limits",
    "load_settings",
)
